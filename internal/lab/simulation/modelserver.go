package simulation

import (
	"math/rand/v2"
	"net/netip"

	"google.golang.org/grpc/codes"

	"docksail/internal/eventloop"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/engine/batchmodel"
	"docksail/internal/lab/eventlog"
)

// modelServer runs the batch model of a server on a simulated loop.
type modelServer struct {
	sim    *Simulation
	spec   engine.Spec
	addr   netip.AddrPort
	random *rand.Rand
	faults engine.Faults

	// State of the current process.
	loop           *eventloop.Loop // nil while it is stopped
	startedAt      eventloop.Nanos
	model          *batchmodel.Server
	reporter       *batchmodel.Reporter
	lastID         batchmodel.ID
	calls          map[batchmodel.ID]*call
	silencedCalls  []*call               // of the class that a fault leaves unanswered
	states         map[string]*heldState // by request
	isOverloaded   bool
	recentArrivals []eventloop.Nanos // within the overload window, in slow start
	stepTimer      eventloop.Timer
	onStep         func(eventloop.Nanos) // endStep as a value, allocated once
	inStep         bool
	events         []batchmodel.Event // of the last step
}

// start starts a process that appears to have run for the given time.
func (m *modelServer) start(uptime eventloop.Nanos) error {
	var err error
	m.model, err = batchmodel.NewServer(m.spec.BatchShape(), int(m.spec.MemoryTokens), engine.BlockTokens)
	if err != nil {
		return err
	}
	m.reporter, err = batchmodel.NewReporter(uint64(m.spec.ID), int64(m.spec.ReportInterval),
		int64(m.faults.ReportDelay), m.spec.ReportNoise)
	if err != nil {
		return err
	}
	m.loop = m.sim.network.NewLoop(m.addr.Addr(), nil)
	m.startedAt = m.sim.network.Now() - uptime
	m.calls, m.states, m.silencedCalls = map[batchmodel.ID]*call{}, map[string]*heldState{}, nil
	m.stepTimer, m.inStep, m.isOverloaded, m.recentArrivals = eventloop.Timer{}, false, false, nil
	m.onStep = m.endStep
	_, err = m.loop.Listen(m.addr, false, func(c *eventloop.Conn, _ netip.AddrPort) eventloop.Handler {
		return serveConn(m.loop, c, m)
	})
	m.sim.Log.Add(eventlog.Entry{Kind: eventlog.ServerStarted, Server: m.spec.ID})
	return err
}

// crash ends the process at once, with all states that it holds.
func (m *modelServer) crash() {
	if m.loop == nil {
		return
	}
	for _, request := range sortedKeys(m.states) {
		m.sim.Log.Add(eventlog.Entry{
			Kind: eventlog.StateReleased, Server: m.spec.ID, Request: request, Note: "crash",
		})
	}
	m.loop.Kill()
	m.loop, m.states, m.calls = nil, map[string]*heldState{}, map[batchmodel.ID]*call{}
}

// setFaults changes the active faults of the server and resumes the work that previous faults held back.
func (m *modelServer) setFaults(change func(f *engine.Faults)) {
	change(&m.faults)
	if m.loop == nil {
		return
	}
	m.reporter.SetDelay(int64(m.faults.ReportDelay))
	m.loop.Post(func() {
		silenced := m.silencedCalls
		m.silencedCalls = nil
		for _, c := range silenced {
			if c.stream != nil {
				m.enqueue(c)
			}
		}
		for _, id := range sortedKeys(m.calls) {
			m.flushTokens(m.calls[id])
		}
		m.beginStep()
	})
}

// isPaused reports whether a fault stops the work of the server.
func (m *modelServer) isPaused() bool { return m.faults.Hanging || m.faults.Paused }

// isSilenced reports whether a fault leaves the requests of a class unanswered.
func (m *modelServer) isSilenced(class string) bool {
	return m.faults.SilentClass != "" && m.faults.SilentClass == class
}

// capacityShare returns the share of its full capacity that the server has in slow start, and 1 after that.
func (m *modelServer) capacityShare() float64 {
	s := &m.spec
	if s.InitialCapacity <= 0 || s.InitialCapacity >= 1 || s.WarmupTime <= 0 {
		return 1
	}
	uptime := float64(m.sim.network.Now() - m.startedAt)
	return min(1, s.InitialCapacity+(1-s.InitialCapacity)*uptime/float64(s.WarmupTime))
}

// requestCount returns the number of queued and running requests.
func (m *modelServer) requestCount() int { return m.model.Queued() + m.model.Running() }

// beginStep begins a step of the model unless one is running, the server is paused or there is no work.
func (m *modelServer) beginStep() {
	if m.inStep || m.loop == nil || m.isPaused() {
		return
	}
	var duration batchmodel.Nanos
	duration, m.events, m.inStep = m.model.BeginStep(m.events[:0])
	m.handleEvents()
	if m.inStep {
		slowed := eventloop.Nanos(float64(duration) / m.capacityShare() * max(m.faults.Slowdown, 1))
		m.loop.SetTimer(&m.stepTimer, m.loop.Now()+max(slowed, 1), m.onStep)
	}
}

// endStep ends a step and begins the next. While the server is paused, it tries again after an interval.
func (m *modelServer) endStep(now eventloop.Nanos) {
	if m.isPaused() {
		m.loop.SetTimer(&m.stepTimer, now+int64(engine.PauseCheckInterval), m.onStep)
		return
	}
	m.inStep = false
	m.events = m.model.EndStep(m.events[:0])
	m.handleEvents()
	m.beginStep()
}

// handleEvents handles the events of the last step.
func (m *modelServer) handleEvents() {
	for _, event := range m.events {
		c := m.calls[event.ID]
		if c == nil {
			continue
		}
		switch event.Kind {
		case batchmodel.NeedsFetch:
			m.fetchState(c)
		case batchmodel.PrefillDone:
			if c.path == pathPrefill {
				m.holdState(c, event.Value)
			}
		case batchmodel.Token:
			m.addToken(c, event.Value)
		case batchmodel.AnswerDone:
			c.isComplete = true
			m.flushTokens(c)
		case batchmodel.Preempted: // the model computes the request again
		}
	}
}

// addToken sends a token of an answer, or ends the call if its first token exceeds the start limit.
func (m *modelServer) addToken(c *call, token int) {
	limit := int64(c.attempt.BeginWithinNs)
	if limit > 0 && !c.hasStarted && m.loop.Now()-c.arrivedAt > limit {
		m.endCall(c, codes.DeadlineExceeded, "its time to begin is up")
		return
	}
	c.unsentTokens = append(c.unsentTokens, token)
	m.flushTokens(c)
}

// admit returns codes.OK for a new call, or the status and message with which the server refuses it.
func (m *modelServer) admit(now eventloop.Nanos) (codes.Code, string) {
	if m.isOverloaded || m.checkOverload(now) {
		return codes.Internal, "fallen over"
	}
	switch {
	case m.faults.Draining:
		return codes.ResourceExhausted, "drains"
	case m.faults.FailFast > 0 && m.random.Float64() < m.faults.FailFast:
		return codes.Internal, "failing fast"
	}
	return codes.OK, ""
}

// checkOverload counts a new call in slow start and reports whether it overloads the server, which fails from then on.
func (m *modelServer) checkOverload(now eventloop.Nanos) bool {
	s := &m.spec
	share := m.capacityShare()
	if share >= 1 || s.OverloadFactor <= 0 {
		return false
	}
	m.recentArrivals = append(m.recentArrivals, now)
	for len(m.recentArrivals) > 0 && now-m.recentArrivals[0] > int64(s.OverloadWindow) {
		m.recentArrivals = m.recentArrivals[1:]
	}
	capacity := s.OverloadFactor * share * s.RequestsPerSecond * s.OverloadWindow.Seconds()
	if float64(len(m.recentArrivals)) <= capacity+engine.OverloadTolerance {
		return false
	}
	m.isOverloaded = true
	m.sim.Log.Add(eventlog.Entry{
		Kind: eventlog.ServerOverloaded, Server: s.ID, Value: int64(len(m.recentArrivals)),
	})
	return true
}
