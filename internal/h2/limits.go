package h2

// Limits bound what one connection may hold.
type Limits struct {
	MaxStreams         uint32 // streams open at once, as a server
	StreamWindow       uint32 // bytes that the peer may send on one stream before they are consumed
	ConnWindow         uint32 // bytes that the peer may send on all streams together; at least 65,535
	MaxHeaderListBytes uint32 // size of one header list
	MaxMessageBytes    uint32 // size of one message
}

// DefaultLimits are the limits of a connection without settings of its own. A stream's window holds a few thousand
// tokens, a message a prompt of some megabytes.
var DefaultLimits = Limits{
	MaxStreams:         10000,
	StreamWindow:       64 << 10,
	ConnWindow:         4 << 20,
	MaxHeaderListBytes: 16 << 10,
	MaxMessageBytes:    4 << 20,
}

// budgetSharePerConn is the part of a PartialMessageBudget that one connection may use: one in so many.
const budgetSharePerConn = 8

// PartialMessageBudget bounds the bytes of messages that have arrived in part, over all connections that share it. One
// connection may use an eighth of it. It belongs to the goroutine that feeds the connections.
type PartialMessageBudget struct {
	MaxBytes        int64
	RejectedStreams uint64 // streams that were ended because the budget was spent
	usedBytes       int64
}

// SetPartialMessageBudget makes the connection use a budget that it shares with others.
func (c *Conn) SetPartialMessageBudget(budget *PartialMessageBudget) { c.budget = budget }

// reservePartialBytes takes n bytes from the budget, or returns -n bytes to it. It reports whether the budget had them.
func (c *Conn) reservePartialBytes(n int64) bool {
	if c.budget == nil {
		return true
	}
	maxConnBytes := c.budget.MaxBytes / budgetSharePerConn
	if n > 0 && (c.budget.usedBytes+n > c.budget.MaxBytes || c.partialBytes+n > maxConnBytes) {
		c.budget.RejectedStreams++
		return false
	}
	c.partialBytes += n
	c.budget.usedBytes += n
	return true
}
