package batchmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Load is the load of a server as reported by the server.
type Load struct {
	Requests           float64 // number of queued and running requests
	MemoryUtilization  float64 // fraction of the memory in use
	QueuedPromptTokens float64 // prompt tokens that are not prefilled or fetched yet
	QueueTime          Nanos   // time to prefill QueuedPromptTokens at the current rate
}

// Reporter produces load reports with the flaws of those of real servers: they are updated at intervals, available
// only after a delay, and noisy. Create it with NewReporter.
type Reporter struct {
	interval     Nanos
	delay        Nanos
	noise        float64
	random       *rand.Rand
	observations [maxObservations]observation // ring buffer
	count        int                          // number of observations so far
}

// maxObservations is the number of stored observations. If more are within the delay, the oldest are lost.
const maxObservations = 64

// maxNoise bounds the noise of a reporter.
const maxNoise = 2

type observation struct {
	at   Nanos
	load Load
}

// NewReporter returns a reporter that records the load once per interval and whose reports are available after a
// delay. Each value is multiplied by a random factor; noise is the standard deviation of the factor's logarithm.
func NewReporter(seed uint64, interval, delay Nanos, noise float64) (*Reporter, error) {
	if interval < 0 || delay < 0 || noise < 0 || noise > maxNoise {
		return nil, fmt.Errorf("report interval is %d, delay %d and noise %v, must be at least 0, and noise at most %d",
			interval, delay, noise, maxNoise)
	}
	random := rand.New(rand.NewPCG(seed, 0x7265706f7274))
	return &Reporter{interval: interval, delay: delay, noise: noise, random: random}, nil
}

// SetDelay changes the delay, also of observations already recorded.
func (r *Reporter) SetDelay(delay Nanos) { r.delay = delay }

// Observe records the load at the given time. It has no effect if less than an interval has passed since the last
// observation.
func (r *Reporter) Observe(now Nanos, load Load) {
	if r.count > 0 && now < r.observations[(r.count-1)%maxObservations].at+r.interval {
		return
	}
	noisy := Load{
		Requests:           r.addNoise(load.Requests),
		MemoryUtilization:  min(r.addNoise(load.MemoryUtilization), 1),
		QueuedPromptTokens: r.addNoise(load.QueuedPromptTokens),
		QueueTime:          Nanos(r.addNoise(float64(load.QueueTime))),
	}
	r.observations[r.count%maxObservations] = observation{at: now, load: noisy}
	r.count++
}

func (r *Reporter) addNoise(x float64) float64 {
	return x * math.Exp(r.random.NormFloat64()*r.noise)
}

// Latest returns the newest report available at the given time, and its age. It returns false if there is none.
func (r *Reporter) Latest(now Nanos) (Load, Nanos, bool) {
	for i := r.count - 1; i >= 0 && i >= r.count-maxObservations; i-- {
		o := &r.observations[i%maxObservations]
		if now >= o.at+r.delay {
			return o.load, now - o.at, true
		}
	}
	return Load{}, 0, false
}
