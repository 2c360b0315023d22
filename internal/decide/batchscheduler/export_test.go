package batchscheduler

// InFlight returns the number of lines in flight.
func (s *Scheduler) InFlight() int { return s.inFlight }

// String returns the verdict's name for test failure messages.
func (v Verdict) String() string {
	switch v {
	case VerdictCompleted:
		return "completed"
	case VerdictRetry:
		return "retry"
	case VerdictFailed:
		return "failed"
	}
	return "unknown"
}
