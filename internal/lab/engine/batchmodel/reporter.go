package batchmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Load are what a host reports of itself.
type Load struct {
	Requests           float64 // that it holds
	MemoryUtilization  float64 // share in use
	QueuedPromptTokens float64 // prompt tokens that wait to be read or fetched
	QueueTime          Nanos   // until what waits now would be read, at its present pace
}

// Reporter makes reports as hosts do: taken now and then, known some time later, a little wrong. Make it with
// NewReporter.
type Reporter struct {
	every, late Nanos
	noise       float64
	rng         *rand.Rand
	taken       [reports]taken
	n           int
}

const reports = 64 // kept: of more that are not known yet, the oldest goes

type taken struct {
	at Nanos
	f  Load
}

// NewReporter makes a reporter that takes figures every so often, whose reports are known so late, and whose figures
// are off by a factor with a spread of noise (the standard deviation of its logarithm).
func NewReporter(seed uint64, every, late Nanos, noise float64) (*Reporter, error) {
	if every < 0 || late < 0 || noise < 0 || noise > 2 {
		return nil, fmt.Errorf("reports every %d, %d late, with noise %v: want none below 0 and noise up to 2", every, late, noise)
	}
	return &Reporter{every: every, late: late, noise: noise, rng: rand.New(rand.NewPCG(seed, 0x7265706f7274))}, nil
}

// SetDelay changes how late reports are known, for those that are under way too.
func (r *Reporter) SetDelay(t Nanos) { r.late = t }

// Observe takes the figures of now, if it is time again.
func (r *Reporter) Observe(now Nanos, f Load) {
	if r.n > 0 && now < r.taken[(r.n-1)%reports].at+r.every {
		return
	}
	off := func(x float64) float64 { return x * math.Exp(r.rng.NormFloat64()*r.noise) }
	f.Requests, f.MemoryUtilization, f.QueuedPromptTokens, f.QueueTime = off(f.Requests), min(off(f.MemoryUtilization), 1), off(f.QueuedPromptTokens), Nanos(off(float64(f.QueueTime)))
	r.taken[r.n%reports] = taken{now, f}
	r.n++
}

// Latest gives the newest report that is known now, and its age.
func (r *Reporter) Latest(now Nanos) (Load, Nanos, bool) {
	for i := r.n - 1; i >= 0 && i >= r.n-reports; i-- {
		if t := r.taken[i%reports]; now >= t.at+r.late {
			return t.f, now - t.at, true
		}
	}
	return Load{}, 0, false
}
