package h2

// Limits bound the streams of one connection and their memory.
type Limits struct {
	MaxStreams         uint32 // maximum of concurrent streams, on a server
	StreamWindow       uint32 // bytes that the peer may send on one stream before they are consumed
	ConnWindow         uint32 // bytes that the peer may send on all streams together; at least 65,535
	MaxHeaderListBytes uint32 // maximum size of a header list
	MaxMessageBytes    uint32 // maximum size of a received message
}

// DefaultLimits are the limits of a connection for which none are configured. A stream's window holds a few thousand
// tokens, and a message holds a prompt of some megabytes.
var DefaultLimits = Limits{
	MaxStreams:         10000,
	StreamWindow:       64 << 10,
	ConnWindow:         4 << 20,
	MaxHeaderListBytes: 16 << 10,
	MaxMessageBytes:    4 << 20,
}

// budgetShareDivisor divides a PartialMessageBudget into the share that one connection may use.
const budgetShareDivisor = 8

// PartialMessageBudget bounds the bytes of partially received messages over all connections that share it. One
// connection may use an eighth of it. Only the goroutine that feeds the connections may access it.
type PartialMessageBudget struct {
	MaxBytes        int64
	RejectedStreams uint64 // streams that were ended because the budget was exhausted
	usedBytes       int64
}

// SetPartialMessageBudget sets the budget for partially received messages, which may be shared with other connections.
func (c *Conn) SetPartialMessageBudget(budget *PartialMessageBudget) { c.budget = budget }

// reservePartialBytes reserves n bytes of the budget, or releases -n bytes if n is negative. It returns false and
// counts a rejected stream if the budget is exhausted.
func (c *Conn) reservePartialBytes(n int64) bool {
	if c.budget == nil {
		return true
	}
	maxConnBytes := c.budget.MaxBytes / budgetShareDivisor
	if n > 0 && (c.budget.usedBytes+n > c.budget.MaxBytes || c.partialBytes+n > maxConnBytes) {
		c.budget.RejectedStreams++
		return false
	}
	c.partialBytes += n
	c.budget.usedBytes += n
	return true
}
