package simulation

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	pb "docksail/api/docksail/v1"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/internal/lab/userclient"
)

const (
	defaultConnsPerDispatcher = 2
	connectTimeout            = int64(200 * time.Millisecond)

	// zeroRateStep and maxArrivalStep limit the steps to the next arrival, so that changes of the rate take effect.
	zeroRateStep   = 10 * time.Millisecond
	maxArrivalStep = 200 * time.Millisecond
)

// clientGroup holds the clients of one class, on one simulated loop. They behave like those of package userclient.
type clientGroup struct {
	sim          *Simulation
	class        userclient.Class
	loop         *eventloop.Loop
	conns        [][]*grpcConn // by dispatcher, then by number
	summary      *userclient.Summary
	nextConn     int
	openSessions int
}

func newClientGroup(s *Simulation, class userclient.Class, loop *eventloop.Loop) *clientGroup {
	g := &clientGroup{sim: s, class: class, loop: loop, summary: &userclient.Summary{}}
	for range s.dispatchers {
		g.conns = append(g.conns, make([]*grpcConn, max(defaultConnsPerDispatcher, class.ConnsPerDispatcher)))
	}
	return g
}

func (g *clientGroup) now() eventloop.Nanos { return g.loop.ReadClock() }

// conn returns connection i to a dispatcher. It dials a new one if the existing one cannot be used, and returns nil if
// that fails.
func (g *clientGroup) conn(dispatcher, i int) *grpcConn {
	c := g.conns[dispatcher][i]
	if c != nil && !c.isClosed && (!c.isOpen || c.http2.CanOpenStream()) {
		return c
	}
	c = &grpcConn{loop: g.loop, handler: &clientConnHandler{}}
	c.http2 = h2.NewClientConn(h2.DefaultLimits, c)
	transport, err := g.loop.Dial(g.sim.dispatchers[dispatcher].addr, connectTimeout, c)
	if err != nil {
		return nil
	}
	c.transport = transport
	g.conns[dispatcher][i] = c
	return c
}

// startSession starts the first turn of a new session.
func (g *clientGroup) startSession(index, promptFactor int, random *rand.Rand) {
	class := &g.class
	s := &session{group: g, index: index, random: random, promptFactor: promptFactor}
	s.request = &pb.GenerateRequest{
		Track:     class.Name,
		Tenant:    class.Tenant,
		Session:   "s" + strconv.Itoa(index),
		MaxTokens: uint32(class.MaxAnswerTokens),
		Client:    g.clientName(index),
	}
	if class.PrefixTokens > 0 {
		s.request.Beginning = class.DrawPrefix(random)
		s.request.BeginningTokens = uint32(class.PrefixTokens)
		s.promptTokens = class.PrefixTokens
	}
	g.openSessions++
	s.turnCount = 1 + random.IntN(max(class.MaxTurns, 1))
	s.startTurn()
}

// clientName returns the client name of a session, or the empty string for unnamed clients.
func (g *clientGroup) clientName(session int) string {
	switch {
	case g.class.NewClientPerSession:
		return fmt.Sprintf("%s-made-%d", g.class.Name, session)
	case g.class.ClientCount > 0:
		return fmt.Sprintf("%s-%d", g.class.Name, session%g.class.ClientCount)
	default:
		return ""
	}
}

// arrivals schedules the starts of sessions at random times.
type arrivals struct {
	sim          *Simulation
	random       *rand.Rand
	promptFactor func(at time.Duration) int
	at           time.Duration // of the last arrival, since the start of the load
	count        int
}

// scheduleSessions schedules the first session of the script.
func (s *Simulation) scheduleSessions() {
	a := &arrivals{
		sim: s, random: rand.New(rand.NewPCG(uint64(s.Script.Seed), 1)), promptFactor: s.Script.PromptFactors(),
	}
	a.scheduleNext()
}

// scheduleNext schedules the next session, unless the load has ended. Each session schedules the one after it.
func (a *arrivals) scheduleNext() {
	if !a.advance() {
		return
	}
	group := a.drawGroup()
	seed, index, promptFactor := a.random.Uint64(), a.count, a.promptFactor(a.at)
	a.count++
	a.sim.scheduleAt(a.sim.loadStart+int64(a.at), func() {
		group.loop.Post(func() {
			group.startSession(index, promptFactor, rand.New(rand.NewPCG(seed, uint64(index))))
		})
		a.scheduleNext()
	})
}

// advance draws the time of the next arrival. It returns false if that is not before the end of the load.
func (a *arrivals) advance() bool {
	for {
		rate := a.sim.Script.SessionRate(a.at)
		if rate <= 0 {
			a.at += zeroRateStep
		} else {
			a.at += min(time.Duration(a.random.ExpFloat64()/rate*1e9), maxArrivalStep)
		}
		if a.at >= a.sim.Script.Duration {
			return false
		}
		if rate > 0 {
			return true
		}
	}
}

// drawGroup draws the client group of a session by the shares of the classes.
func (a *arrivals) drawGroup() *clientGroup {
	x := a.random.Float64()
	for _, group := range a.sim.clientGroups {
		if x -= group.class.Share; x < 0 {
			return group
		}
	}
	return a.sim.clientGroups[len(a.sim.clientGroups)-1]
}
