package batchscheduler

// InFlight returns the number of lines in flight. Only tests use it.
func (s *Scheduler) InFlight() int { return s.inFlight }
