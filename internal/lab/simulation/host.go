package simulation

import (
	"encoding/base64"
	"math/rand/v2"
	"net/netip"
	"strconv"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	pb "docksail/api/docksail/v1"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/engine/batchmodel"
	"docksail/internal/lab/eventlog"
)

// modelServer is a model host of the batch model on a simulated loop.
type modelServer struct {
	sim            *Simulation
	spec           engine.Spec
	addr           netip.AddrPort
	loop           *eventloop.Loop // nil while its process does not run
	random         *rand.Rand
	startedAt      eventloop.Nanos // start of its process
	model          *batchmodel.Server
	reporter       *batchmodel.Reporter
	lastID         batchmodel.ID
	calls          map[batchmodel.ID]*call
	states         map[string]*heldState
	silencedCalls  []*call // of the track to which it is deaf
	stepTimer      eventloop.Timer
	onStep         func(eventloop.Nanos)
	inStep         bool
	events         []batchmodel.Event
	faults         engine.Faults
	isOverloaded   bool
	recentArrivals []eventloop.Nanos
	servedCount    uint64
}

// call is one request under way.
type call struct {
	server       *modelServer
	conn         *grpcConn
	stream       *h2.Stream // nil once it is over
	path         string
	attempt      pb.Launch
	requestID    string
	id           batchmodel.ID
	arrivedAt    eventloop.Nanos
	hasStarted   bool
	transfer     batchmodel.TransferID
	unsentTokens []int // tokens held back while the host is deaf to the track
	isComplete   bool
}

type heldState struct {
	attempt uint32
	tokens  int
	id      batchmodel.ID
	expiry  eventloop.Timer
}

// start starts the host's process.
func (m *modelServer) start(ago eventloop.Nanos) error {
	var err error
	if m.model, err = batchmodel.NewServer(m.spec.BatchShape(), int(m.spec.MemoryTokens), engine.BlockTokens); err != nil {
		return err
	}
	if m.reporter, err = batchmodel.NewReporter(uint64(m.spec.ID), int64(m.spec.ReportInterval), int64(m.faults.ReportDelay), m.spec.ReportNoise); err != nil {
		return err
	}
	m.loop = m.sim.network.NewLoop(m.addr.Addr(), nil)
	m.startedAt = m.sim.network.Now() - ago
	m.calls, m.states, m.silencedCalls = map[batchmodel.ID]*call{}, map[string]*heldState{}, nil
	m.stepTimer, m.inStep, m.isOverloaded, m.recentArrivals = eventloop.Timer{}, false, false, nil
	m.onStep = m.endStep
	_, err = m.loop.Listen(m.addr, false, func(c *eventloop.Conn, _ netip.AddrPort) eventloop.Handler { return serveConn(m.loop, c, m) })
	m.sim.Log.Add(eventlog.Entry{Kind: eventlog.ServerStarted, Server: m.spec.ID})
	return err
}

// crash ends its process at once.
func (m *modelServer) crash() {
	if m.loop == nil {
		return
	}
	for _, name := range sortedKeys(m.states) {
		m.sim.Log.Add(eventlog.Entry{Kind: eventlog.StateReleased, Server: m.spec.ID, Request: name, Note: "crash"})
	}
	m.loop.Kill()
	m.loop, m.states, m.calls = nil, map[string]*heldState{}, map[batchmodel.ID]*call{}
}

// setFaults changes what it acts out.
func (m *modelServer) setFaults(change func(f *engine.Faults)) {
	change(&m.faults)
	if m.loop == nil {
		return
	}
	m.reporter.SetDelay(int64(m.faults.ReportDelay))
	m.loop.Post(func() {
		parked := m.silencedCalls
		m.silencedCalls = nil
		for _, c := range parked {
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

func (m *modelServer) isPaused() bool { return m.faults.Hanging || m.faults.Paused }

func (m *modelServer) capacityShare() float64 {
	s := &m.spec
	if s.InitialCapacity <= 0 || s.InitialCapacity >= 1 || s.WarmupTime <= 0 {
		return 1
	}
	return min(1, s.InitialCapacity+(1-s.InitialCapacity)*float64(m.sim.network.Now()-m.startedAt)/float64(s.WarmupTime))
}

// beginStep begins a step if there is work and none is under way.
func (m *modelServer) beginStep() {
	if m.inStep || m.loop == nil || m.isPaused() {
		return
	}
	var took batchmodel.Nanos
	took, m.events, m.inStep = m.model.BeginStep(m.events[:0])
	m.handleEvents()
	if m.inStep {
		m.loop.SetTimer(&m.stepTimer, m.loop.Now()+max(eventloop.Nanos(float64(took)/m.capacityShare()*max(m.faults.Slowdown, 1)), 1), m.onStep)
	}
}

func (m *modelServer) endStep(now eventloop.Nanos) {
	if m.isPaused() { // until fail says that it goes on
		m.inStep = false
		m.loop.SetTimer(&m.stepTimer, now+int64(engine.PauseCheckInterval), m.onStep)
		m.inStep = true
		return
	}
	m.inStep = false
	m.events = m.model.EndStep(m.events[:0])
	m.handleEvents()
	m.beginStep()
}

// handleEvents acts on what a step brought.
func (m *modelServer) handleEvents() {
	for _, ev := range m.events {
		c := m.calls[ev.ID]
		if c == nil {
			continue
		}
		switch ev.Kind {
		case batchmodel.NeedsFetch:
			m.fetchState(c)
		case batchmodel.PrefillDone:
			if c.path == pathPrefill {
				m.holdState(c, ev.N)
			}
		case batchmodel.Token:
			if b := c.attempt.BeginWithinNs; b > 0 && !c.hasStarted && m.loop.Now()-c.arrivedAt > int64(b) {
				m.endCall(c, codes.DeadlineExceeded, "its time to begin is up")
				continue
			}
			c.unsentTokens = append(c.unsentTokens, ev.N)
			m.flushTokens(c)
		case batchmodel.AnswerDone:
			c.isComplete = true
			m.flushTokens(c)
		}
	}
}

// flushTokens sends what a call has to send.
func (m *modelServer) flushTokens(c *call) {
	req := c.attempt.Request
	if m.faults.SilentClass != "" && m.faults.SilentClass == req.GetTrack() {
		return
	}
	for _, n := range c.unsentTokens {
		if m.faults.StallAfter > 0 && n >= m.faults.StallAfter {
			return
		}
		if !c.hasStarted {
			c.hasStarted = true
			m.sim.Log.Add(eventlog.Entry{
				Kind: eventlog.AnswerStarted, Server: m.spec.ID, Request: c.requestID, Attempt: int(c.attempt.Shot), RequestLabel: req.Label,
				ClientAttempt: int(c.attempt.Repeat), Class: req.Track,
			})
		}
		b, err := proto.Marshal(&pb.Tokens{Position: uint32(n), Tokens: []uint32{engine.TokenAt(req, n)}, Text: []byte("tok ")})
		if err != nil {
			panic(err)
		}
		c.stream.SendMessage(b, false)
		c.unsentTokens = c.unsentTokens[1:]
	}
	c.conn.flush()
	if c.isComplete {
		m.servedCount++
		m.endCall(c, codes.OK, "")
	}
}

// endCall answers a call with a status and its load report.
func (m *modelServer) endCall(c *call, code codes.Code, why string) {
	if c.stream == nil {
		return
	}
	var extra []hpack.HeaderField
	now := m.sim.network.Now()
	unread := m.model.QueuedPromptTokens()
	m.reporter.Observe(now, batchmodel.Load{
		Requests:          float64(m.model.Queued() + m.model.Running()),
		MemoryUtilization: float64(m.model.Memory.InUse()) / float64(m.model.Memory.Blocks()), QueuedPromptTokens: float64(unread),
		QueueTime: int64(float64(unread) / m.spec.PrefillRate * 1e9),
	})
	if f, age, ok := m.reporter.Latest(now); ok {
		b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&orca.OrcaLoadReport{
			MemUtilization: f.MemoryUtilization,
			NamedMetrics: map[string]float64{
				"requests": f.Requests, "unread_tokens": f.QueuedPromptTokens,
				"finish_ms": float64(f.QueueTime) / 1e6, "age_ms": float64(age) / 1e6,
			},
		})
		if err != nil {
			panic(err)
		}
		extra = append(extra, hpack.HeaderField{Name: "endpoint-load-metrics-bin", Value: base64.RawStdEncoding.EncodeToString(b)})
	}
	s := c.stream
	m.removeCall(c)
	s.EndWithStatus(code, why, extra...)
	c.conn.flush()
}

// removeCall takes a call out of the model; a read's state stays if it is held.
func (m *modelServer) removeCall(c *call) {
	if c.stream != nil {
		c.stream.UserData, c.stream = nil, nil
	}
	if c.transfer != 0 {
		m.sim.transfers.stop(c.transfer)
		c.transfer = 0
	}
	if c.id != 0 && m.calls[c.id] == c {
		delete(m.calls, c.id)
		if st := m.states[c.requestID]; st == nil || st.id != c.id {
			m.model.Remove(c.id)
		}
	}
}

// holdState keeps what was read until it is fetched, let go or out of time, and answers.
func (m *modelServer) holdState(c *call, unread int) {
	req := c.attempt.Request
	if m.states[c.requestID] != nil {
		m.releaseState(c.requestID, "read anew")
	}
	st := &heldState{attempt: c.attempt.Shot, tokens: int(req.PromptTokens), id: c.id}
	m.states[c.requestID] = st
	m.sim.Log.Add(eventlog.Entry{Kind: eventlog.StateHeld, Server: m.spec.ID, Request: c.requestID, Attempt: int(st.attempt), Value: int64(st.tokens)})
	name := c.requestID
	m.loop.SetTimer(&st.expiry, m.loop.Now()+int64(m.spec.MaxHoldTime), func(eventloop.Nanos) { m.releaseState(name, "ran out") })
	b, err := proto.Marshal(&pb.ReadDone{ReadTokens: uint32(unread), KeptTokens: req.PromptTokens - min(uint32(unread), req.PromptTokens)})
	if err != nil {
		panic(err)
	}
	c.stream.SendMessage(b, false)
	m.endCall(c, codes.OK, "")
}

// releaseState lets go of a state.
func (m *modelServer) releaseState(name, why string) {
	st := m.states[name]
	if st == nil {
		return
	}
	delete(m.states, name)
	m.loop.CancelTimer(&st.expiry)
	m.model.Remove(st.id)
	m.sim.Log.Add(eventlog.Entry{Kind: eventlog.StateReleased, Server: m.spec.ID, Request: name, Attempt: int(st.attempt), Note: why})
	m.loop.Post(m.beginStep)
}

// fetchState gets the state of a call's job from the host that holds it.
func (m *modelServer) fetchState(c *call) {
	from := m.sim.serversByAddr[c.attempt.StateAddress]
	l, delay := m.loop, m.sim.network.Latency
	none := func(why string) {
		l.Post(func() { m.endCall(c, codes.FailedPrecondition, "no state: "+why) })
	}
	if from == nil || from.loop == nil {
		none("its host is gone")
		return
	}
	there := from.loop
	ask := &eventloop.Timer{}
	l.SetTimer(ask, l.Now()+delay, func(eventloop.Nanos) {
		st := from.states[c.requestID]
		if c.stream == nil {
			return
		}
		if st == nil || from.loop != there {
			none("nothing is held of this job")
			return
		}
		c.transfer = m.sim.transfers.start(from, m, st.tokens, max(from.faults.LinkSlowdown, 1), func() {
			if c.transfer = 0; c.stream == nil {
				return
			}
			var took func()
			took = func() {
				switch {
				case c.stream == nil:
				case from.loop != there || from.states[c.requestID] != st:
					none("it was let go meanwhile")
				case from.isPaused():
					again := &eventloop.Timer{}
					from.loop.SetTimer(again, from.loop.Now()+int64(engine.PauseCheckInterval), func(eventloop.Nanos) { took() })
				default:
					from.releaseState(c.requestID, "fetched")
					l.Post(func() {
						if c.stream != nil && m.loop == l {
							m.model.StateFetched(c.id)
							m.beginStep()
						}
					})
				}
			}
			there.Post(took)
		})
	})
}

// enqueue takes a launch in, or turns it away.
func (m *modelServer) enqueue(c *call) {
	req := c.attempt.Request
	if m.faults.SilentClass != "" && m.faults.SilentClass == req.GetTrack() {
		m.silencedCalls = append(m.silencedCalls, c)
		return
	}
	w := batchmodel.Work{}
	if c.path == pathPrefill {
		w = engine.BatchWork(req, 0, false)
	} else {
		w = engine.BatchWork(req, engine.AnswerTokens(req), c.attempt.StateAddress != "")
	}
	m.lastID++
	w.ID = m.lastID
	switch err := m.model.Enqueue(w); err {
	case nil:
		c.id = w.ID
		m.calls[c.id] = c
		m.beginStep()
	case batchmodel.ErrQueueFull:
		m.endCall(c, codes.ResourceExhausted, err.Error())
	default:
		m.endCall(c, codes.InvalidArgument, err.Error())
	}
}

// admit is what happens at its door: a cold host topples, others fail fast or drain.
func (m *modelServer) admit(now eventloop.Nanos) (codes.Code, string) {
	s := &m.spec
	if m.isOverloaded {
		return codes.Internal, "fallen over"
	}
	if w := m.capacityShare(); w < 1 && s.OverloadFactor > 0 {
		m.recentArrivals = append(m.recentArrivals, now)
		for len(m.recentArrivals) > 0 && now-m.recentArrivals[0] > int64(s.OverloadWindow) {
			m.recentArrivals = m.recentArrivals[1:]
		}
		if float64(len(m.recentArrivals)) > s.OverloadFactor*w*s.RequestsPerSecond*s.OverloadWindow.Seconds()+engine.OverloadTolerance {
			m.isOverloaded = true
			m.sim.Log.Add(eventlog.Entry{Kind: eventlog.ServerOverloaded, Server: s.ID, Value: int64(len(m.recentArrivals))})
			return codes.Internal, "fallen over"
		}
	}
	switch {
	case m.faults.Draining:
		return codes.ResourceExhausted, "drains"
	case m.faults.FailFast > 0 && m.random.Float64() < m.faults.FailFast:
		return codes.Internal, "failing fast"
	}
	return codes.OK, ""
}

const (
	pathPrefill = "/docksail.v1.Engine/Read"
	pathDecode  = "/docksail.v1.Engine/Write"
	pathRelease = "/docksail.v1.Engine/Release"
)

func (m *modelServer) opened(*grpcConn) {}
func (m *modelServer) headers(w *grpcConn, s *h2.Stream, hd *h2.Header) {
	s.UserData = &call{server: m, conn: w, stream: s, path: hd.Get(":path")}
}

func (m *modelServer) message(w *grpcConn, s *h2.Stream, p []byte) {
	c, ok := s.UserData.(*call)
	if !ok || c.arrivedAt > 0 {
		return
	}
	c.arrivedAt = max(m.loop.Now(), 1)
	if c.path == pathRelease {
		var r pb.ReleaseRequest
		if proto.Unmarshal(p, &r) == nil {
			name := requestID(r.Dispatcher, r.Job)
			if st := m.states[name]; st != nil && st.attempt <= r.Shot {
				m.releaseState(name, "released")
			}
			m.cancelPrefills(name, r.Shot)
		}
		s.SendMessage(nil, false)
		m.endCall(c, codes.OK, "")
		return
	}
	if err := proto.Unmarshal(p, &c.attempt); err != nil || c.attempt.Request == nil {
		m.endCall(c, codes.InvalidArgument, "no launch")
		return
	}
	c.requestID = requestID(c.attempt.Dispatcher, c.attempt.Job)
	read, role := c.path == pathPrefill, m.spec.Role
	switch {
	case read && role == pb.Role_ROLE_WRITER, !read && role == pb.Role_ROLE_READER:
		m.endCall(c, codes.Unimplemented, "not what this host does")
		return
	case !read && c.attempt.StateAddress == "" && role != pb.Role_ROLE_MIXED:
		m.endCall(c, codes.FailedPrecondition, "no state is named, and a writer reads no prompts")
		return
	}
	if code, why := m.admit(m.loop.Now()); code != codes.OK {
		m.endCall(c, code, why)
		return
	}
	m.enqueue(c)
}

// cancelPrefills ends reads of a job that are under way: their dispatcher has given them up, though their connection does not
// say so.
func (m *modelServer) cancelPrefills(name string, shot uint32) {
	theirs := func(c *call) bool { return c.path == pathPrefill && c.requestID == name && c.attempt.Shot <= shot }
	for _, id := range sortedKeys(m.calls) {
		if c := m.calls[id]; theirs(c) {
			m.endCall(c, codes.Canceled, "released")
		}
	}
	for _, c := range m.silencedCalls {
		if theirs(c) && c.stream != nil {
			m.endCall(c, codes.Canceled, "released")
		}
	}
}

func (m *modelServer) finished(*h2.Stream, codes.Code, string, *h2.Header) {}
func (m *modelServer) reset(s *h2.Stream) {
	if c, ok := s.UserData.(*call); ok && c.stream != nil {
		m.removeCall(c)
		m.loop.Post(m.beginStep)
	}
}
func (m *modelServer) closed(*grpcConn) {}

func requestID(dispatcher, job uint64) string {
	return strconv.FormatUint(dispatcher, 16) + "." + strconv.FormatUint(job, 16)
}

// transferNetwork are the states under way between all hosts of a day.
type transferNetwork struct {
	loop        *eventloop.Loop
	model       *batchmodel.Network
	serverLinks map[int]int
	cellLinks   map[string]int
	lastID      batchmodel.TransferID
	onDone      map[batchmodel.TransferID]func()
	timer       eventloop.Timer
	ended       []batchmodel.TransferID
}

// start begins to move a state; done is called when it is over.
func (t *transferNetwork) start(from, to *modelServer, tokens int, slow float64, done func()) batchmodel.TransferID {
	way := func(w int, err error) int {
		if err != nil {
			panic(err) // rates were checked with the script
		}
		return w
	}
	if _, ok := t.serverLinks[from.spec.ID]; !ok {
		t.serverLinks[from.spec.ID] = way(t.model.AddLink(from.spec.TransferRate))
	}
	over := []int{t.serverLinks[from.spec.ID]}
	if from.spec.Cell != to.spec.Cell || from.spec.Zone != to.spec.Zone {
		key := from.spec.Zone + "/" + from.spec.Cell
		if _, ok := t.cellLinks[key]; !ok {
			t.cellLinks[key] = way(t.model.AddLink(from.spec.TransferRate * engine.CellLinkFactor))
		}
		over = append(over, t.cellLinks[key])
	}
	if from.spec.Zone != to.spec.Zone {
		slow *= engine.CrossZoneFactor
	}
	t.advance()
	t.lastID++
	t.onDone[t.lastID] = done
	if err := t.model.Start(t.now(), t.lastID, max(tokens, 1), slow, over...); err != nil {
		panic(err)
	}
	t.advance()
	return t.lastID
}

func (t *transferNetwork) now() eventloop.Nanos { return t.loop.ReadClock() }

func (t *transferNetwork) stop(id batchmodel.TransferID) {
	delete(t.onDone, id)
	t.model.Stop(t.now(), id)
	t.advance()
}

// advance tells of moves that have ended and sets the timer for the next.
func (t *transferNetwork) advance() {
	t.ended = t.model.AdvanceTo(t.now(), t.ended[:0])
	for _, id := range t.ended {
		if done := t.onDone[id]; done != nil {
			delete(t.onDone, id)
			t.loop.Post(done)
		}
	}
	if at, ok := t.model.NextEnd(); ok {
		t.loop.Post(func() { t.loop.SetTimer(&t.timer, max(at, t.now()), func(eventloop.Nanos) { t.advance() }) })
	}
}
