// Package pace measures how fast work is done while some of it waits, and so how long new work would wait.
//
// The package does no I/O and reads no clock. All times are nanoseconds on one clock of the caller.
package pace

import "math"

// memory is the time constant, in nanoseconds, with which older measurements decay. It is long enough that a single gap
// has little effect.
const memory = 4e9

// minMeasured is the time in nanoseconds over which work must have been done before there is a measurement.
const minMeasured = memory / 64

const (
	// standingTime is how long, in nanoseconds, a queue must have been longer than needed before it stands. A shorter
	// burst waits and is worked off.
	standingTime = int64(1e9)
	// minTolerance is the wait in nanoseconds that is not too long for any work: servers end their work unevenly, and
	// would be idle in between without a short queue.
	minTolerance = int64(100e6)
	// usualMemory is the number of pieces of work over which their usual time is averaged.
	usualMemory = 64
)

// Meter measures the cost of the work done per nanosecond while other work waits. Only then is it determined by the
// capacity behind the queue rather than by the rate of arrivals. It counts the times between one piece of work and the
// next: a pause in which nothing can be done says nothing of the pace after it. Older measurements decay with the time
// counted. The zero value is ready for use.
type Meter struct {
	waiting    bool
	hasLast    bool    // work was done since something has waited
	lastDoneAt int64   // when work was last done, if hasLast
	elapsed    float64 // nanoseconds counted, decayed
	cost       float64 // cost of the work done in that time, decayed
	usual      float64 // nanoseconds that the work usually takes itself, a moving average
	longSince  int64   // since when the queue has been longer than needed; 0 = it is not
	stands     bool    // has been for standingTime, and not been empty since
}

// SetWaiting records whether work waits.
func (m *Meter) SetWaiting(waiting bool) {
	if waiting != m.waiting {
		m.waiting, m.hasLast, m.longSince, m.stands = waiting, false, 0, false
	}
}

// ObserveQueue records the cost of all work that waits, before more is added, and how long the new work usually takes
// itself. A queue is longer than needed if it takes longer than the work of one request.
func (m *Meter) ObserveQueue(now int64, cost float64, usual int64) {
	m.usual += (float64(usual) - m.usual) / usualMemory
	switch {
	case m.stands:
	case m.Wait(cost) <= m.tolerance():
		m.longSince = 0
	case m.longSince == 0:
		m.longSince = max(now, 1)
	default:
		m.stands = now-m.longSince >= standingTime
	}
}

// IsTooLong reports whether new work should not wait behind work of a cost. A queue that becomes empty now and then
// bridges a burst. One that stands serves nobody more: each piece of work waits as long as the one before it, for as
// long as the servers are offered more than they can do. It is then kept so short that nobody waits longer than the
// work of a request usually takes.
func (m *Meter) IsTooLong(cost float64) bool { return m.stands && m.Wait(cost) > m.tolerance() }

// tolerance returns the wait that is not too long.
func (m *Meter) tolerance() int64 { return max(int64(m.usual), minTolerance) }

// Record records that work of a cost was done. It counts nothing while no work waits.
func (m *Meter) Record(now int64, cost float64) {
	if !m.waiting {
		return
	}
	if m.hasLast {
		elapsed := float64(max(now-m.lastDoneAt, 0))
		decay := math.Exp(-elapsed / memory)
		m.elapsed = m.elapsed*decay + elapsed
		m.cost = m.cost*decay + cost
	}
	m.hasLast, m.lastDoneAt = true, now
}

// CostPerNano returns the cost of the work done per nanosecond; 0 if it has not been measured for long enough.
func (m *Meter) CostPerNano() float64 {
	if m.elapsed < minMeasured {
		return 0
	}
	return m.cost / m.elapsed
}

// Wait returns the time in which work of a cost is done; 0 if the pace is unknown.
func (m *Meter) Wait(cost float64) int64 {
	perNano := m.CostPerNano()
	if perNano <= 0 {
		return 0
	}
	return int64(min(cost/perNano, math.MaxInt64/2))
}
