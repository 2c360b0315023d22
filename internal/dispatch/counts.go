package dispatch

// Counts are the counters of a dispatcher since its start. They are written to the status file and to the log, so the
// names and the order of the fields in JSON must not change.
type Counts struct {
	Requests          uint64
	Served            uint64
	Rejected          uint64
	Failed            uint64
	ClientDisconnects uint64 `json:"ClientsLeft"`
	RejectedAtIntake  uint64 `json:"Refused"`
	Attempts          uint64
	Cancels           uint64
	TimedOut          uint64 // attempts
	Broken            uint64 // attempts whose connection was lost
	Releases          uint64
	ReleasesLost      uint64
	Messages          uint64 // messages relayed to clients
	StaleLoadReports  uint64 `json:"LateReports"`
	LoadReports       uint64 `json:"Reports"`
	// InvalidDecisions counts decisions that the request's state does not allow. Each indicates a bug.
	InvalidDecisions uint64
	// MissedDeadlines counts requests that the module had not answered intake.OverdueMarginNanos after their deadline.
	// Each indicates a bug.
	MissedDeadlines uint64 `json:"Overdue"`
	Pings           uint64
	DeadConnections uint64
}

// Add adds the counters of other.
func (c *Counts) Add(other Counts) {
	c.Requests += other.Requests
	c.Served += other.Served
	c.Rejected += other.Rejected
	c.Failed += other.Failed
	c.ClientDisconnects += other.ClientDisconnects
	c.RejectedAtIntake += other.RejectedAtIntake
	c.Attempts += other.Attempts
	c.Cancels += other.Cancels
	c.TimedOut += other.TimedOut
	c.Broken += other.Broken
	c.Releases += other.Releases
	c.ReleasesLost += other.ReleasesLost
	c.Messages += other.Messages
	c.StaleLoadReports += other.StaleLoadReports
	c.LoadReports += other.LoadReports
	c.InvalidDecisions += other.InvalidDecisions
	c.MissedDeadlines += other.MissedDeadlines
	c.Pings += other.Pings
	c.DeadConnections += other.DeadConnections
}
