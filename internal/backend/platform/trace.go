package platform

import "docksail/internal/decide/inflight"

// isBusy tells that an attempt or a release is on the connection.
func (c *conn) isBusy() bool { return c.request != nil || c.release != nil }

// startOperation takes down that the connection is to carry something from now on.
func (c *conn) startOperation(kind inflight.OperationKind) {
	c.operation = inflight.NewOperation(kind)
	if !c.connected {
		c.advance(inflight.Connecting)
	}
}

// advance takes down how far what the connection carries has come. A change that cannot be is counted and logged.
func (c *conn) advance(to inflight.DeliveryState) {
	from, x := c.operation.State(), c.backend
	if err := c.operation.Advance(to); err != nil {
		x.recordViolation([]byte(c.clientID()), c.server, err)
		return
	}
	if x.debug {
		x.log.Debug("effect", "request", c.clientID(), "kind", c.operation.Kind, "from", from, "to", to, "server", c.server.name, "conn", c.number, "uses", c.useCount)
	}
}

// recordViolation takes down that something was about to be done that the rules forbid.
func (b *Backend) recordViolation(request []byte, srv *server, err error) {
	b.Counts.Violations++
	b.log.Error("rule violated", "request", string(request), "server", srv.name, "err", err)
}

// abandon takes down that what the connection carries ends here. Whether it is over at the server is known only where it
// cannot have come there.
func (c *conn) abandon() {
	switch {
	case !c.isBusy() || c.operation.State() == inflight.Completed:
	case c.operation.MayHaveBeenReceived():
		c.advance(inflight.Abandoned)
	default:
		c.advance(inflight.Completed)
	}
}

// clientID is the client's name for the request that the connection carries something for.
func (c *conn) clientID() string {
	switch {
	case c.request != nil:
		return string(c.request.ClientRequestID)
	case c.release != nil:
		return string(c.release.clientID)
	}
	return ""
}
