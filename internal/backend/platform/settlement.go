package platform

import (
	"docksail/internal/decide/inflight"
	"docksail/internal/decide/serverconn"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/policy"
	"slices"
)

// settlement carries out what effects.Settlement decides for one request: it sends releases, and watches the connections of
// attempts that were given up for their end. It outlives the request.
type settlement struct {
	exit       *Exit
	account    inflight.Settlement
	request    policy.RequestID
	name       []byte            // the client's name for the request
	tries      []*conn           // that carry a release without an answer
	besideRead bool              // they were begun while a read was out
	round      int               // of tries since one was answered
	tried      []policy.ServerID // in these rounds
	retryAt    eventloop.Nanos   // the next round
	watched    []*conn           // that show the end of an attempt given up
	timer      eventloop.Timer
	onTimer    func(eventloop.Nanos)
	next       *dispatch.Request // a read of the request that waits for its release
	acting     bool
	over       bool
}

// settlement gives that of a request, made if there is none; nil if there may be no more.
func (x *Exit) settlement(req *dispatch.Request) *settlement {
	if s := x.settlements[req.ID]; s != nil {
		return s
	}
	if !inflight.MaySettle(len(x.settlements)) {
		x.releaseLost(req.ClientID, "too many are under way", 0, 0)
		return nil
	}
	s := &settlement{exit: x, account: inflight.NewSettlement(x.releaseTime, x.keeper.Idle), request: req.ID, name: slices.Clone(req.ClientID)}
	s.onTimer = s.act
	x.settlements[req.ID] = s
	return s
}

// Release implements dispatch.Exit: any server that runs takes a release.
func (x *Exit) Release(now eventloop.Nanos, req *dispatch.Request, _ policy.ServerID, _ policy.AttemptNumber, since eventloop.Nanos) {
	s := x.settlement(req)
	if s == nil {
		return
	}
	x.Counts.Releases++
	s.account.Want(now, since)
	s.actSoon(now)
}

// underWay tells that a release is owed or under way: a read that passed it would lose its state to it.
func (s *settlement) underWay() bool { return s.account.Owed() || len(s.tries) > 0 }

// actSoon has the settlement act at the end of the turn: what else becomes of the request in it is known by then.
func (s *settlement) actSoon(now eventloop.Nanos) { s.exit.loop.At(&s.timer, now, s.onTimer) }

// act does what is due now.
func (s *settlement) act(now eventloop.Nanos) {
	if s.acting || s.over {
		return
	}
	s.acting = true
	defer func() { s.acting = false }()
	x := s.exit
	permit, out := x.dispatcher.MayRelease(s.request)
	if s.account.Lost(now) {
		x.releaseLost(s.name, "no server has taken it in time", len(s.tried), s.account.HeldFor(now))
	}
	action, at := s.account.Next(now, permit, out)
	switch action {
	case inflight.Send:
		if now >= s.retryAt {
			s.besideRead = permit == inflight.Reluctantly
			s.sendRound(now)
		}
		x.loop.At(&s.timer, max(s.retryAt, now+1), s.onTimer)
	case inflight.Wait:
		x.loop.At(&s.timer, max(at, now+1), s.onTimer)
		s.sendNext(now)
	case inflight.Expired:
		s.expire(now)
		s.end(now)
	case inflight.Settled:
		s.end(now)
	}
}

// sendRound sends the release by some servers that have not been asked yet, and passes over those to which there is no connection to be had.
func (s *settlement) sendRound(now eventloop.Nanos) {
	s.retryAt = now + s.account.RoundTimeout(s.round)
	for sent, anew := 0, false; sent < inflight.Parallel(s.round); {
		srv, again := s.chooseServer(now)
		if srv == nil {
			break
		}
		if again { // all have been asked: the next round begins with any, this one only if no server has it
			s.tried = s.tried[:0]
			if anew || len(s.tries) > 0 {
				break
			}
			anew = true
		}
		s.tried = append(s.tried, srv.id)
		if s.sendBy(now, srv) {
			sent++
		}
	}
	s.round++
}

// sendBy sends the release by a server; false: there is no connection to be had.
func (s *settlement) sendBy(now eventloop.Nanos, srv *server) bool {
	x := s.exit
	c := x.connTo(now, srv, x.maxConns, true)
	if c == nil {
		return false
	}
	x.Counts.ReleaseTries++
	if len(s.tries) >= inflight.MostTries {
		s.dropTry(s.tries[0])
	}
	c.release = s
	s.tries = append(s.tries, c)
	c.carry(inflight.Release)
	if c.ready {
		c.writeRelease(now)
	}
	return true
}

// chooseServer gives the server by which a release goes next; nil if there is none. again: it has been asked already.
func (s *settlement) chooseServer(now eventloop.Nanos) (srv *server, again bool) {
	x := s.exit
	for {
		x.candidates = x.candidates[:0]
		for _, srv := range x.servers {
			x.candidates = append(x.candidates, serverconn.Candidate{
				Heard: srv.heardAt, Ready: srv.restingConn(now) != nil,
				Tried: slices.Contains(s.tried, srv.id), Gone: srv.health == policy.Gone,
			})
		}
		i := serverconn.Choose(x.candidates, s.round)
		if i < 0 {
			return nil, false
		}
		if srv := x.servers[i]; !x.candidates[i].Ready || srv.usableConn(now) != nil {
			return srv, x.candidates[i].Tried
		}
	}
}

// releaseAnswered is when a server has answered a release.
func (s *settlement) releaseAnswered(now eventloop.Nanos, c *conn, status int) {
	x := s.exit
	s.forget(c)
	if status/100 != 2 {
		x.Counts.ReleasesRefused++
		x.log.Info("release refused", "request", string(s.name), "server", c.server.name, "status", status)
		s.actSoon(now)
		return
	}
	owed, held := s.account.Owed(), s.account.HeldFor(now)
	if !owed {
		x.Counts.ReleasesRepeated++
	}
	if owed {
		x.Counts.ReleaseSlowest = max(x.Counts.ReleaseSlowest, held)
	}
	if owed && held > x.releaseTime+inflight.HeldSlack {
		x.Counts.ReleasesLate++
		x.log.Warn("release late", "request", string(s.name), "server", c.server.name, "held", held, "tries", len(s.tried))
	}
	if x.debug {
		x.log.Debug("release answered", "request", string(s.name), "server", c.server.name, "tries", len(s.tried), "held", held, "owed", owed)
	}
	s.account.Answered(c.sentAt)
	s.dropTries()
	s.round, s.tried, s.retryAt = 0, s.tried[:0], 0
	s.act(now)
	x.loop.Again()
}

// tryLost is when the connection of a release has ended without an answer. Other servers are asked when the round is over; at once if
// none has it.
func (s *settlement) tryLost(now eventloop.Nanos, c *conn) {
	s.forget(c)
	if len(s.tries) == 0 && len(s.tried) < len(s.exit.servers) {
		s.retryAt = now
	}
	s.actSoon(now)
}

// forget takes a try off the settlement.
func (s *settlement) forget(c *conn) {
	if i := slices.Index(s.tries, c); i >= 0 {
		s.tries = slices.Delete(s.tries, i, i+1)
	}
}

// dropTries gives up the releases that have no answer.
func (s *settlement) dropTries() {
	for len(s.tries) > 0 {
		s.dropTry(s.tries[0])
	}
}

// dropTry gives up a release that has no answer.
func (s *settlement) dropTry(c *conn) {
	s.forget(c)
	c.drop()
}

// sendNext sends the read that waits, once no release is under way that could take its state.
func (s *settlement) sendNext(now eventloop.Nanos) {
	req := s.next
	if req == nil || s.underWay() {
		return
	}
	s.next = nil
	x := s.exit
	var sent dispatch.Attempt
	if c := x.send(now, req); c != nil {
		sent = c
	}
	x.dispatcher.Reassigned(now, req, sent)
	x.loop.Again()
}

// expire takes down that something may be left.
func (s *settlement) expire(now eventloop.Nanos) {
	if s.account.Owed() {
		s.exit.log.Warn("release given up", "request", string(s.name), "tries", len(s.tried), "held", s.account.HeldFor(now))
		return
	}
	s.exit.log.Info("end of an attempt not confirmed", "request", string(s.name), "connections", len(s.watched))
}

// end ends the settlement: a read that waits is sent.
func (s *settlement) end(now eventloop.Nanos) {
	x := s.exit
	s.over = true
	x.loop.Cancel(&s.timer)
	delete(x.settlements, s.request)
	s.dropTries()
	for _, c := range s.watched {
		x.Counts.Unconfirmed++
		c.settles = nil
		c.conn.Close()
		c.leave()
	}
	s.watched = nil
	s.sendNext(now)
	x.loop.Again()
}

// releaseLost takes down that a state is left to the servers' own time, or is longer than it may be. What it logs are values: the log is written beside.
func (x *Exit) releaseLost(name []byte, why string, tried int, held int64) {
	x.Counts.ReleasesLost++
	x.log.Warn("release lost", "request", string(name), "why", why, "tries", tried, "held", held)
}

// ---- A read that waits for the release, as the dispatcher holds it.

// End implements dispatch.Attempt for a read that waits.
func (s *settlement) End(eventloop.Nanos) bool {
	s.next = nil
	return false
}

// Ended implements dispatch.Attempt.
func (s *settlement) Ended(eventloop.Nanos) {}

// Credit implements dispatch.Attempt.
func (s *settlement) Credit(int) {}

// Stage implements dispatch.Attempt.
func (s *settlement) Stage() inflight.Stage { return inflight.Planned }

// ServerHeard implements dispatch.Attempt.
func (s *settlement) ServerHeard() bool { return false }

// ---- Connections of attempts that were given up.

// watch keeps the connection of an attempt that is given up: its sending is ended, which is how the server learns of it, and the server's
// own end tells that it has.
func (c *conn) watch(now eventloop.Nanos, s *settlement) {
	c.settles, c.givenUpAt = s, now
	c.exit.loop.Cancel(&c.timer)
	c.conn.Pause(false)
	c.conn.EndOutput()
	s.watched = append(s.watched, c)
	s.account.GivenUp(now, now+c.exit.longestWait, true)
	s.actSoon(now)
}

// unwatch gives up a connection that was to show the end of an attempt.
func (c *conn) unwatch(now eventloop.Nanos, why string) {
	s := c.settles
	c.stopWatching(s)
	c.exit.Counts.Unconfirmed++
	if c.exit.debug {
		c.exit.log.Debug("attempt not confirmed over", "request", string(s.name), "server", c.server.name, "conn", c.number, "why", why)
	}
	s.account.Unwatched()
	s.actSoon(now)
}

// watchLost is when a watched connection broke.
func (c *conn) watchLost(now eventloop.Nanos) {
	if c.settles.account.ShowsEnd(now, c.givenUpAt, false) {
		c.confirm(now)
		return
	}
	c.unwatch(now, "the connection broke")
}

// confirm takes down that the server has shown the end of an attempt that was given up.
func (c *conn) confirm(now eventloop.Nanos) {
	s := c.settles
	c.stopWatching(s)
	c.exit.Counts.Confirmed++
	if c.exit.debug {
		c.exit.log.Debug("effect", "request", string(s.name), "kind", c.effect.Kind, "from", inflight.GivenUp, "to", inflight.Over, "server", c.server.name, "conn", c.number, "uses", c.uses)
	}
	s.account.Confirmed(now)
	s.actSoon(now)
}

func (c *conn) stopWatching(s *settlement) {
	c.settles = nil
	if i := slices.Index(s.watched, c); i >= 0 {
		s.watched = slices.Delete(s.watched, i, i+1)
	}
	c.conn.Close()
	c.leave()
}
