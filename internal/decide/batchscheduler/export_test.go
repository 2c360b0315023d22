package batchscheduler

// InFlight returns the number of lines in flight. Only tests use it.
func (s *Scheduler) InFlight() int { return s.inFlight }

// String names the verdict in messages of tests.
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
