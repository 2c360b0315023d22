// Package background decides how much background work may be at hand beside the work that somebody waits for: it fills
// what the fleet has idle and yields at the first sign that others wait for it. It does no I/O and reads no clock.
package background

// Nanos is a time or a span in nanoseconds.
type Nanos = int64

// Limit is the account of background requests that were let in. Make it with New.
type Limit struct {
	target      Nanos   // shortest expected time of the work that somebody waits for
	allow       float64 // so many may be at hand
	outstanding int     // so many are
	starting    int     // of them, those that no token has come of yet
	until       Nanos   // none is let in before
	cutAt       Nanos   // the last time that the allowance was cut
	full        bool    // one more would have gone in since the allowance last grew
	Counts      Counts
}

// Counts are what was counted.
type Counts struct{ Begun, Served, Cuts, Stops uint64 }

const (
	// waitSign of the shortest expected time in the admission queue is a sign: an idle fleet takes a request at once.
	waitSign = 1.0 / 32
	// slowSign of a request's own expected time until its first token is a sign, half of it a strong one: on an idle fleet
	// it is a small part.
	slowSign, slowStop = 1.0 / 3, 1.0 / 2
	// cutEvery of the shortest expected time the allowance is cut once at most: what was let in before the cut needs
	// that long to show.
	cutEvery = 1.0 / 2
	// rest is how many expected times nothing is let in after a strong sign.
	rest = 2
	// startPart of the allowance may be waiting for a first token at once: reads stand before others' reads, answers
	// run beside them.
	startPart = 1.0 / 4
	// grow is by how much the allowance grows with each served request, over itself: by that many a round of all of them.
	grow = 1
)

// New makes an account; expected is the shortest expected time of the work that somebody waits for.
func New(expected Nanos) *Limit { return &Limit{target: max(expected, 1), allow: 1} }

// May tells whether another background request, which waits, may be let in now.
func (s *Limit) May(now Nanos) bool {
	if now < s.until {
		return false
	}
	may := s.outstanding < max(int(s.allow), 1) && s.starting < max(int(s.allow*startPart), 1)
	s.full = s.full || !may
	return may
}

// Until is when May can change by time alone; false if it does not.
func (s *Limit) Until(now Nanos) (Nanos, bool) { return s.until, s.until > now }

// Out counts the background requests at hand, Allowance how many there may be.
func (s *Limit) Out() int { return s.outstanding }

// Allowance is how many background requests may be at hand.
func (s *Limit) Allowance() float64 { return s.allow }

// Admit tells that a background request was let in.
func (s *Limit) Admit() {
	s.outstanding++
	s.starting++
	s.Counts.Begun++
}

// Began tells of a background request's first token.
func (s *Limit) Began() { s.starting = max(s.starting-1, 0) }

// Finished tells that a background request is over: whether its first token had come, and whether it was served.
func (s *Limit) Finished(now Nanos, began, served bool) {
	s.outstanding = max(s.outstanding-1, 0)
	if !began {
		s.starting = max(s.starting-1, 0)
	}
	if !served { // the fleet had no place for it
		s.cut(now)
		return
	}
	s.Counts.Served++
	if s.full { // what was not used says nothing
		s.allow += grow / s.allow
		s.full = false
	}
}

// Waited tells how long a request that somebody waits for stood in the admission queue.
func (s *Limit) Waited(now Nanos, by Nanos) {
	if s.outstanding > 0 && float64(by) > waitSign*float64(s.target) {
		s.cut(now)
	}
}

// FirstToken tells how long such a request took to its first token, of its expected time.
func (s *Limit) FirstToken(now Nanos, took, expected Nanos) {
	switch part := float64(took) / float64(max(expected, 1)); {
	case part > slowStop:
		s.Refused(now)
	case part > slowSign && s.outstanding > 0:
		s.cut(now)
	}
}

// Refused tells that such a request was refused, or came late: there is nothing to spare.
func (s *Limit) Refused(now Nanos) {
	s.Counts.Stops++
	s.until = max(s.until, now+rest*s.target)
	s.cut(now)
}

func (s *Limit) cut(now Nanos) {
	if s.Counts.Cuts > 0 && now < s.cutAt+Nanos(cutEvery*float64(s.target)) {
		return
	}
	s.Counts.Cuts++
	s.cutAt = now
	s.allow, s.full = max(s.allow/2, 1), false
}
