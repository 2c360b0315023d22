package policy

import "slices"

const (
	// latencyWindow is the length of the window that quantiles are computed over.
	latencyWindow = Nanos(8e9)
	// highQuantile is the quantile of latencies that servers are compared by. It ignores one slow request in ten.
	highQuantile = 0.9
	// sampleRingSize is the number of samples that a sampleRing keeps.
	sampleRingSize = 32
	// minSamples is the number of samples needed for a quantile.
	minSamples = 3
)

// sampleRing keeps the last samples with their times.
type sampleRing struct {
	count  int
	times  [sampleRingSize]Nanos
	values [sampleRingSize]float64
}

func (s *sampleRing) add(now Nanos, value float64) {
	s.values[s.count%sampleRingSize], s.times[s.count%sampleRingSize] = value, now
	s.count++
}

// quantile returns a quantile of the samples since a time, or 0 if they are fewer than minSamples.
func (s *sampleRing) quantile(since Nanos, q float64) float64 {
	if s.count < minSamples || s.times[(s.count-minSamples)%sampleRingSize] < since {
		return 0
	}
	var recent [sampleRingSize]float64
	n := 0
	for i := range min(s.count, sampleRingSize) {
		if s.times[i] >= since {
			recent[n] = s.values[i]
			n++
		}
	}
	slices.Sort(recent[:n])
	return recent[int(q*float64(n-1))]
}

// latencyStats summarizes the recent latencies of first responses by role, as multiples of the service time of their
// work.
type latencyStats struct {
	samples    [roleCount]sampleRing
	median     [roleCount]float64
	high       [roleCount]float64 // high quantile
	medianHigh [roleCount]float64 // median over the servers of each one's high quantile

	attemptTime [roleCount]Nanos // how long attempts take of late; 0 if that is unknown
}

// summarizeLatencies computes the quantiles of the latencies since a time, of each server and of each role. It returns
// the number of servers up to the last one with enough samples; in a large fleet, few servers have enough.
func (r *Router) summarizeLatencies(since Nanos) int {
	end := 0
	for i := range r.servers {
		if srv := &r.servers[i]; srv.latencies != nil {
			if srv.highLatency = srv.latencies.quantile(since, highQuantile); srv.highLatency > 0 {
				end = i + 1
			}
		}
	}
	for role := range roleCount {
		r.latency.high[role] = r.latency.samples[role].quantile(since, highQuantile)
		r.latency.median[role] = r.latency.samples[role].quantile(since, 0.5)
		r.latency.attemptTime[role] = r.usualAttemptTime(role)
		r.latency.medianHigh[role] = 0
		if end > 0 {
			r.latency.medianHigh[role] = r.medianOverServers(role, func(srv *server) float64 { return srv.highLatency })
		}
	}
	return end
}

// medianOverServers returns the median of a metric over those serving servers of a role whose metric is above 0.
func (r *Router) medianOverServers(role Role, metric func(srv *server) float64) float64 {
	values := r.scratch[:0]
	for i := range r.servers {
		if srv := &r.servers[i]; srv.role == role && srv.health == Serving {
			if x := metric(srv); x > 0 {
				values = append(values, x)
			}
		}
	}
	r.scratch = values
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
