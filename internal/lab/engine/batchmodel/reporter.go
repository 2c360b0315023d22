package batchmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Load is what a server reports about itself.
type Load struct {
	Requests           float64 // queued and running
	MemoryUtilization  float64 // share of memory in use
	QueuedPromptTokens float64 // prompt tokens still to be read or fetched
	QueueTime          Nanos   // how long reading them takes at the present rate
}

// Reporter makes load reports as real servers do: observed at intervals, known after a delay, and inexact. Make it
// with NewReporter.
type Reporter struct {
	interval     Nanos
	delay        Nanos
	noise        float64
	random       *rand.Rand
	observations [maxObservations]observation // ring buffer
	count        int                          // observations made so far
}

// maxObservations is how many observations are kept; while more are not known yet, the oldest are lost.
const maxObservations = 64

// maxNoise bounds the noise of a reporter.
const maxNoise = 2

type observation struct {
	at   Nanos
	load Load
}

// NewReporter returns a reporter that observes the load once an interval and whose reports are known after a delay.
// Each figure is off by a random factor; noise is the standard deviation of its logarithm.
func NewReporter(seed uint64, interval, delay Nanos, noise float64) (*Reporter, error) {
	if interval < 0 || delay < 0 || noise < 0 || noise > maxNoise {
		return nil, fmt.Errorf("reports with interval %d, delay %d and noise %v: want none below 0 and noise up to %d",
			interval, delay, noise, maxNoise)
	}
	random := rand.New(rand.NewPCG(seed, 0x7265706f7274))
	return &Reporter{interval: interval, delay: delay, noise: noise, random: random}, nil
}

// SetDelay changes the delay, also of reports that are not known yet.
func (r *Reporter) SetDelay(delay Nanos) { r.delay = delay }

// Observe records the load at a time. It has no effect until an interval has passed since the last observation.
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

// Latest returns the newest report that is known at a time, and its age. It returns false if none is known.
func (r *Reporter) Latest(now Nanos) (Load, Nanos, bool) {
	for i := r.count - 1; i >= 0 && i >= r.count-maxObservations; i-- {
		o := &r.observations[i%maxObservations]
		if now >= o.at+r.delay {
			return o.load, now - o.at, true
		}
	}
	return Load{}, 0, false
}
