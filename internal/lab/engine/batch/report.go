package batch

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Figures are what a host reports of itself.
type Figures struct {
	Requests float64 // that it holds
	Memory   float64 // share in use
	Unread   float64 // prompt tokens that wait to be read or fetched
	Finish   Nanos   // until what waits now would be read, at its present pace
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
	f  Figures
}

// NewReporter makes a reporter that takes figures every so often, whose reports are known so late, and whose figures
// are off by a factor with a spread of noise (the standard deviation of its logarithm).
func NewReporter(seed uint64, every, late Nanos, noise float64) (*Reporter, error) {
	if every < 0 || late < 0 || noise < 0 || noise > 2 {
		return nil, fmt.Errorf("reports every %d, %d late, with noise %v: want none below 0 and noise up to 2", every, late, noise)
	}
	return &Reporter{every: every, late: late, noise: noise, rng: rand.New(rand.NewPCG(seed, 0x7265706f7274))}, nil
}

// Late changes how late reports are known, for those that are under way too.
func (r *Reporter) Late(t Nanos) { r.late = t }

// See takes the figures of now, if it is time again.
func (r *Reporter) See(now Nanos, f Figures) {
	if r.n > 0 && now < r.taken[(r.n-1)%reports].at+r.every {
		return
	}
	off := func(x float64) float64 { return x * math.Exp(r.rng.NormFloat64()*r.noise) }
	f.Requests, f.Memory, f.Unread, f.Finish = off(f.Requests), min(off(f.Memory), 1), off(f.Unread), Nanos(off(float64(f.Finish)))
	r.taken[r.n%reports] = taken{now, f}
	r.n++
}

// Known gives the newest report that is known now, and its age.
func (r *Reporter) Known(now Nanos) (Figures, Nanos, bool) {
	for i := r.n - 1; i >= 0 && i >= r.n-reports; i-- {
		if t := r.taken[i%reports]; now >= t.at+r.late {
			return t.f, now - t.at, true
		}
	}
	return Figures{}, 0, false
}
