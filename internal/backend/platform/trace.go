package platform

import "docksail/internal/decide/inflight"

// carries tells that an attempt or a release is on the connection.
func (c *conn) carries() bool { return c.request != nil || c.release != nil }

// carry takes down that the connection is to carry something from now on.
func (c *conn) carry(kind inflight.Kind) {
	c.effect = inflight.New(kind)
	if !c.ready {
		c.advance(inflight.Connecting)
	}
}

// advance takes down how far what the connection carries has come. A change that cannot be is counted and logged.
func (c *conn) advance(to inflight.Stage) {
	from, x := c.effect.Stage(), c.exit
	if err := c.effect.Advance(to); err != nil {
		x.violated([]byte(c.requestName()), c.server, err)
		return
	}
	if x.debug {
		x.log.Debug("effect", "request", c.requestName(), "kind", c.effect.Kind, "from", from, "to", to, "server", c.server.name, "conn", c.number, "uses", c.uses)
	}
}

// violated takes down that something was about to be done that the rules forbid.
func (x *Exit) violated(request []byte, srv *server, err error) {
	x.Counts.Violations++
	x.log.Error("rule violated", "request", string(request), "server", srv.name, "err", err)
}

// abandon takes down that what the connection carries ends here. Whether it is over at the server is known only where it
// cannot have come there.
func (c *conn) abandon() {
	switch {
	case !c.carries() || c.effect.Stage() == inflight.Over:
	case c.effect.MayHaveArrived():
		c.advance(inflight.GivenUp)
	default:
		c.advance(inflight.Over)
	}
}

// requestName is the client's name for the request that the connection carries something for.
func (c *conn) requestName() string {
	switch {
	case c.request != nil:
		return string(c.request.ClientID)
	case c.release != nil:
		return string(c.release.name)
	}
	return ""
}
