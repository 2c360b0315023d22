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

// host is a model host of the batch model on a simulated loop.
type host struct {
	d       *Simulation
	spec    engine.Spec
	addr    netip.AddrPort
	l       *eventloop.Loop // nil while its process does not run
	rng     *rand.Rand
	began   eventloop.Nanos // start of its process
	model   *batchmodel.Server
	rep     *batchmodel.Reporter
	last    batchmodel.ID
	calls   map[batchmodel.ID]*call
	states  map[string]*state
	parked  []*call // of the track to which it is deaf
	step    eventloop.Timer
	onStep  func(eventloop.Nanos)
	inStep  bool
	events  []batchmodel.Event
	faults  engine.Faults
	toppled bool
	arrived []eventloop.Nanos
	served  uint64
}

// call is one request under way.
type call struct {
	h      *host
	w      *wire
	s      *h2.Stream // nil once it is over
	path   string
	launch pb.Launch
	name   string
	id     batchmodel.ID
	came   eventloop.Nanos
	ran    bool
	move   batchmodel.TransferID
	late   []int // tokens held back while the host is deaf to the track
	done   bool
}

type state struct {
	shot   uint32
	tokens int
	id     batchmodel.ID
	ends   eventloop.Timer
}

// start starts the host's process.
func (h *host) start(ago eventloop.Nanos) error {
	var err error
	if h.model, err = batchmodel.NewServer(h.spec.BatchShape(), int(h.spec.MemoryTokens), engine.BlockTokens); err != nil {
		return err
	}
	if h.rep, err = batchmodel.NewReporter(uint64(h.spec.ID), int64(h.spec.ReportInterval), int64(h.faults.ReportDelay), h.spec.ReportNoise); err != nil {
		return err
	}
	h.l = h.d.world.NewLoop(h.addr.Addr(), nil)
	h.began = h.d.world.Now() - ago
	h.calls, h.states, h.parked = map[batchmodel.ID]*call{}, map[string]*state{}, nil
	h.step, h.inStep, h.toppled, h.arrived = eventloop.Timer{}, false, false, nil
	h.onStep = h.stepped
	_, err = h.l.Listen(h.addr, false, func(c *eventloop.Conn, _ netip.AddrPort) eventloop.Handler { return serveWire(h.l, c, h) })
	h.d.Log.Add(eventlog.Entry{Kind: eventlog.ServerStarted, Server: h.spec.ID})
	return err
}

// crash ends its process at once.
func (h *host) crash() {
	if h.l == nil {
		return
	}
	for _, name := range sorted(h.states) {
		h.d.Log.Add(eventlog.Entry{Kind: eventlog.StateReleased, Server: h.spec.ID, Request: name, Note: "crash"})
	}
	h.l.Kill()
	h.l, h.states, h.calls = nil, map[string]*state{}, map[batchmodel.ID]*call{}
}

// fail changes what it acts out.
func (h *host) fail(change func(f *engine.Faults)) {
	change(&h.faults)
	if h.l == nil {
		return
	}
	h.rep.SetDelay(int64(h.faults.ReportDelay))
	h.l.Post(func() {
		parked := h.parked
		h.parked = nil
		for _, c := range parked {
			if c.s != nil {
				h.enter(c)
			}
		}
		for _, id := range sorted(h.calls) {
			h.catchUp(h.calls[id])
		}
		h.kick()
	})
}

func (h *host) stands() bool { return h.faults.Hanging || h.faults.Paused }

func (h *host) warmth() float64 {
	s := &h.spec
	if s.InitialCapacity <= 0 || s.InitialCapacity >= 1 || s.WarmupTime <= 0 {
		return 1
	}
	return min(1, s.InitialCapacity+(1-s.InitialCapacity)*float64(h.d.world.Now()-h.began)/float64(s.WarmupTime))
}

// kick begins a step if there is work and none is under way.
func (h *host) kick() {
	if h.inStep || h.l == nil || h.stands() {
		return
	}
	var took batchmodel.Nanos
	took, h.events, h.inStep = h.model.BeginStep(h.events[:0])
	h.tell()
	if h.inStep {
		h.l.SetTimer(&h.step, h.l.Now()+max(eventloop.Nanos(float64(took)/h.warmth()*max(h.faults.Slowdown, 1)), 1), h.onStep)
	}
}

func (h *host) stepped(now eventloop.Nanos) {
	if h.stands() { // until fail says that it goes on
		h.inStep = false
		h.l.SetTimer(&h.step, now+int64(engine.PauseCheckInterval), h.onStep)
		h.inStep = true
		return
	}
	h.inStep = false
	h.events = h.model.EndStep(h.events[:0])
	h.tell()
	h.kick()
}

// tell acts on what a step brought.
func (h *host) tell() {
	for _, ev := range h.events {
		c := h.calls[ev.ID]
		if c == nil {
			continue
		}
		switch ev.Kind {
		case batchmodel.NeedsFetch:
			h.fetch(c)
		case batchmodel.PrefillDone:
			if c.path == pathRead {
				h.hold(c, ev.N)
			}
		case batchmodel.Token:
			if b := c.launch.BeginWithinNs; b > 0 && !c.ran && h.l.Now()-c.came > int64(b) {
				h.end(c, codes.DeadlineExceeded, "its time to begin is up")
				continue
			}
			c.late = append(c.late, ev.N)
			h.catchUp(c)
		case batchmodel.AnswerDone:
			c.done = true
			h.catchUp(c)
		}
	}
}

// catchUp sends what a call has to send.
func (h *host) catchUp(c *call) {
	req := c.launch.Request
	if h.faults.SilentClass != "" && h.faults.SilentClass == req.GetTrack() {
		return
	}
	for _, n := range c.late {
		if h.faults.StallAfter > 0 && n >= h.faults.StallAfter {
			return
		}
		if !c.ran {
			c.ran = true
			h.d.Log.Add(eventlog.Entry{
				Kind: eventlog.AnswerStarted, Server: h.spec.ID, Request: c.name, Attempt: int(c.launch.Shot), RequestLabel: req.Label,
				ClientAttempt: int(c.launch.Repeat), Class: req.Track,
			})
		}
		b, err := proto.Marshal(&pb.Tokens{Position: uint32(n), Tokens: []uint32{engine.TokenAt(req, n)}, Text: []byte("tok ")})
		if err != nil {
			panic(err)
		}
		c.s.SendMessage(b, false)
		c.late = c.late[1:]
	}
	c.w.flush()
	if c.done {
		h.served++
		h.end(c, codes.OK, "")
	}
}

// end answers a call with a status and its load report.
func (h *host) end(c *call, code codes.Code, why string) {
	if c.s == nil {
		return
	}
	var extra []hpack.HeaderField
	now := h.d.world.Now()
	unread := h.model.QueuedPromptTokens()
	h.rep.Observe(now, batchmodel.Load{
		Requests:          float64(h.model.Queued() + h.model.Running()),
		MemoryUtilization: float64(h.model.Memory.InUse()) / float64(h.model.Memory.Blocks()), QueuedPromptTokens: float64(unread),
		QueueTime: int64(float64(unread) / h.spec.PrefillRate * 1e9),
	})
	if f, age, ok := h.rep.Latest(now); ok {
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
	s := c.s
	h.forget(c)
	s.EndWithStatus(code, why, extra...)
	c.w.flush()
}

// forget takes a call out of the model; a read's state stays if it is held.
func (h *host) forget(c *call) {
	if c.s != nil {
		c.s.UserData, c.s = nil, nil
	}
	if c.move != 0 {
		h.d.net.stop(c.move)
		c.move = 0
	}
	if c.id != 0 && h.calls[c.id] == c {
		delete(h.calls, c.id)
		if st := h.states[c.name]; st == nil || st.id != c.id {
			h.model.Remove(c.id)
		}
	}
}

// hold keeps what was read until it is fetched, let go or out of time, and answers.
func (h *host) hold(c *call, unread int) {
	req := c.launch.Request
	if h.states[c.name] != nil {
		h.drop(c.name, "read anew")
	}
	st := &state{shot: c.launch.Shot, tokens: int(req.PromptTokens), id: c.id}
	h.states[c.name] = st
	h.d.Log.Add(eventlog.Entry{Kind: eventlog.StateHeld, Server: h.spec.ID, Request: c.name, Attempt: int(st.shot), Value: int64(st.tokens)})
	name := c.name
	h.l.SetTimer(&st.ends, h.l.Now()+int64(h.spec.MaxHoldTime), func(eventloop.Nanos) { h.drop(name, "ran out") })
	b, err := proto.Marshal(&pb.ReadDone{ReadTokens: uint32(unread), KeptTokens: req.PromptTokens - min(uint32(unread), req.PromptTokens)})
	if err != nil {
		panic(err)
	}
	c.s.SendMessage(b, false)
	h.end(c, codes.OK, "")
}

// drop lets go of a state.
func (h *host) drop(name, why string) {
	st := h.states[name]
	if st == nil {
		return
	}
	delete(h.states, name)
	h.l.CancelTimer(&st.ends)
	h.model.Remove(st.id)
	h.d.Log.Add(eventlog.Entry{Kind: eventlog.StateReleased, Server: h.spec.ID, Request: name, Attempt: int(st.shot), Note: why})
	h.l.Post(h.kick)
}

// fetch gets the state of a call's job from the host that holds it.
func (h *host) fetch(c *call) {
	from := h.d.byAddr[c.launch.StateAddress]
	l, delay := h.l, h.d.world.Latency
	none := func(why string) {
		l.Post(func() { h.end(c, codes.FailedPrecondition, "no state: "+why) })
	}
	if from == nil || from.l == nil {
		none("its host is gone")
		return
	}
	there := from.l
	ask := &eventloop.Timer{}
	l.SetTimer(ask, l.Now()+delay, func(eventloop.Nanos) {
		st := from.states[c.name]
		if c.s == nil {
			return
		}
		if st == nil || from.l != there {
			none("nothing is held of this job")
			return
		}
		c.move = h.d.net.start(from, h, st.tokens, max(from.faults.LinkSlowdown, 1), func() {
			if c.move = 0; c.s == nil {
				return
			}
			var took func()
			took = func() {
				switch {
				case c.s == nil:
				case from.l != there || from.states[c.name] != st:
					none("it was let go meanwhile")
				case from.stands():
					again := &eventloop.Timer{}
					from.l.SetTimer(again, from.l.Now()+int64(engine.PauseCheckInterval), func(eventloop.Nanos) { took() })
				default:
					from.drop(c.name, "fetched")
					l.Post(func() {
						if c.s != nil && h.l == l {
							h.model.StateFetched(c.id)
							h.kick()
						}
					})
				}
			}
			there.Post(took)
		})
	})
}

// enter takes a launch in, or turns it away.
func (h *host) enter(c *call) {
	req := c.launch.Request
	if h.faults.SilentClass != "" && h.faults.SilentClass == req.GetTrack() {
		h.parked = append(h.parked, c)
		return
	}
	w := batchmodel.Work{}
	if c.path == pathRead {
		w = engine.BatchWork(req, 0, false)
	} else {
		w = engine.BatchWork(req, engine.AnswerTokens(req), c.launch.StateAddress != "")
	}
	h.last++
	w.ID = h.last
	switch err := h.model.Enqueue(w); err {
	case nil:
		c.id = w.ID
		h.calls[c.id] = c
		h.kick()
	case batchmodel.ErrQueueFull:
		h.end(c, codes.ResourceExhausted, err.Error())
	default:
		h.end(c, codes.InvalidArgument, err.Error())
	}
}

// admit is what happens at its door: a cold host topples, others fail fast or drain.
func (h *host) admit(now eventloop.Nanos) (codes.Code, string) {
	s := &h.spec
	if h.toppled {
		return codes.Internal, "fallen over"
	}
	if w := h.warmth(); w < 1 && s.OverloadFactor > 0 {
		h.arrived = append(h.arrived, now)
		for len(h.arrived) > 0 && now-h.arrived[0] > int64(s.OverloadWindow) {
			h.arrived = h.arrived[1:]
		}
		if float64(len(h.arrived)) > s.OverloadFactor*w*s.RequestsPerSecond*s.OverloadWindow.Seconds()+engine.OverloadTolerance {
			h.toppled = true
			h.d.Log.Add(eventlog.Entry{Kind: eventlog.ServerOverloaded, Server: s.ID, Value: int64(len(h.arrived))})
			return codes.Internal, "fallen over"
		}
	}
	switch {
	case h.faults.Draining:
		return codes.ResourceExhausted, "drains"
	case h.faults.FailFast > 0 && h.rng.Float64() < h.faults.FailFast:
		return codes.Internal, "failing fast"
	}
	return codes.OK, ""
}

const (
	pathRead    = "/docksail.v1.Engine/Read"
	pathWrite   = "/docksail.v1.Engine/Write"
	pathRelease = "/docksail.v1.Engine/Release"
)

func (h *host) opened(*wire) {}
func (h *host) headers(w *wire, s *h2.Stream, hd *h2.Header) {
	s.UserData = &call{h: h, w: w, s: s, path: hd.Get(":path")}
}

func (h *host) message(w *wire, s *h2.Stream, p []byte) {
	c, ok := s.UserData.(*call)
	if !ok || c.came > 0 {
		return
	}
	c.came = max(h.l.Now(), 1)
	if c.path == pathRelease {
		var r pb.ReleaseRequest
		if proto.Unmarshal(p, &r) == nil {
			name := jobName(r.Dispatcher, r.Job)
			if st := h.states[name]; st != nil && st.shot <= r.Shot {
				h.drop(name, "released")
			}
			h.callBack(name, r.Shot)
		}
		s.SendMessage(nil, false)
		h.end(c, codes.OK, "")
		return
	}
	if err := proto.Unmarshal(p, &c.launch); err != nil || c.launch.Request == nil {
		h.end(c, codes.InvalidArgument, "no launch")
		return
	}
	c.name = jobName(c.launch.Dispatcher, c.launch.Job)
	read, role := c.path == pathRead, h.spec.Role
	switch {
	case read && role == pb.Role_ROLE_WRITER, !read && role == pb.Role_ROLE_READER:
		h.end(c, codes.Unimplemented, "not what this host does")
		return
	case !read && c.launch.StateAddress == "" && role != pb.Role_ROLE_MIXED:
		h.end(c, codes.FailedPrecondition, "no state is named, and a writer reads no prompts")
		return
	}
	if code, why := h.admit(h.l.Now()); code != codes.OK {
		h.end(c, code, why)
		return
	}
	h.enter(c)
}

// callBack ends reads of a job that are under way: their dispatcher has given them up, though their connection does not
// say so.
func (h *host) callBack(name string, shot uint32) {
	theirs := func(c *call) bool { return c.path == pathRead && c.name == name && c.launch.Shot <= shot }
	for _, id := range sorted(h.calls) {
		if c := h.calls[id]; theirs(c) {
			h.end(c, codes.Canceled, "released")
		}
	}
	for _, c := range h.parked {
		if theirs(c) && c.s != nil {
			h.end(c, codes.Canceled, "released")
		}
	}
}

func (h *host) finished(*h2.Stream, codes.Code, string, *h2.Header) {}
func (h *host) reset(s *h2.Stream) {
	if c, ok := s.UserData.(*call); ok && c.s != nil {
		h.forget(c)
		h.l.Post(h.kick)
	}
}
func (h *host) closed(*wire) {}

func jobName(dispatcher, job uint64) string {
	return strconv.FormatUint(dispatcher, 16) + "." + strconv.FormatUint(job, 16)
}

// moves are the states under way between all hosts of a day.
type moves struct {
	l     *eventloop.Loop
	net   *batchmodel.Network
	ports map[int]int
	cells map[string]int
	last  batchmodel.TransferID
	ended map[batchmodel.TransferID]func()
	timer eventloop.Timer
	list  []batchmodel.TransferID
}

// start begins to move a state; done is called when it is over.
func (m *moves) start(from, to *host, tokens int, slow float64, done func()) batchmodel.TransferID {
	way := func(w int, err error) int {
		if err != nil {
			panic(err) // rates were checked with the script
		}
		return w
	}
	if _, ok := m.ports[from.spec.ID]; !ok {
		m.ports[from.spec.ID] = way(m.net.AddLink(from.spec.TransferRate))
	}
	over := []int{m.ports[from.spec.ID]}
	if from.spec.Cell != to.spec.Cell || from.spec.Zone != to.spec.Zone {
		key := from.spec.Zone + "/" + from.spec.Cell
		if _, ok := m.cells[key]; !ok {
			m.cells[key] = way(m.net.AddLink(from.spec.TransferRate * engine.CellLinkFactor))
		}
		over = append(over, m.cells[key])
	}
	if from.spec.Zone != to.spec.Zone {
		slow *= engine.CrossZoneFactor
	}
	m.settle()
	m.last++
	m.ended[m.last] = done
	if err := m.net.Start(m.now(), m.last, max(tokens, 1), slow, over...); err != nil {
		panic(err)
	}
	m.settle()
	return m.last
}

func (m *moves) now() eventloop.Nanos { return m.l.ReadClock() }

func (m *moves) stop(id batchmodel.TransferID) {
	delete(m.ended, id)
	m.net.Stop(m.now(), id)
	m.settle()
}

// settle tells of moves that have ended and sets the timer for the next.
func (m *moves) settle() {
	m.list = m.net.AdvanceTo(m.now(), m.list[:0])
	for _, id := range m.list {
		if done := m.ended[id]; done != nil {
			delete(m.ended, id)
			m.l.Post(done)
		}
	}
	if at, ok := m.net.NextEnd(); ok {
		m.l.Post(func() { m.l.SetTimer(&m.timer, max(at, m.now()), func(eventloop.Nanos) { m.settle() }) })
	}
}
