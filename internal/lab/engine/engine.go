// Package engine is a stand-in for a model host, on grpc-go: it reads prompts, holds read states, hands them over
// and streams answers, with slots, a bounded queue, memory, kept beginnings, cold starts and the failures that a
// script asks for. Its figures are made up by a simple model behind the Model seam; they measure nothing real.
package engine

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine/batchmodel"
	"docksail/internal/lab/eventlog"
)

// Spec describes a host. Times are real.
type Spec struct {
	ID                int
	Role              pb.Role
	Zone, Cell        string
	Slots             int           // prompts or answers at once
	Queue             int           // more that may wait
	MemoryTokens      int64         // tokens
	PrefillRate       float64       // prompt tokens a second
	TokenGap          time.Duration // between tokens of an answer, alone
	RequestsPerSecond float64       // what it can do warm
	InitialCapacity   float64       // share of that with which it starts; 1 = never cold
	WarmupTime        time.Duration
	OverloadFactor    float64 // sent this multiple of what it can do ...
	OverloadWindow    time.Duration
	TransferRate      float64       // tokens of state a second to another host
	MaxHoldTime       time.Duration // a state that nobody fetches is let go after this
	ReportInterval    time.Duration // its load report is refreshed so often; 0 = always fresh
	ReportDelay       time.Duration // and is so old when it is sent
	ReportNoise       float64       // its figures are off by this spread; the batch model alone
	BatchModel        bool          // plays the batch model instead of the simple one
}

// Faults are the failures that a host acts out now; all are off in the zero value.
type Faults struct {
	Hanging      bool    // takes work and answers none
	FailFast     float64 // share of the work that it answers with an error at once
	Slowdown     float64 // times as slow; 0 or 1 = usual
	SilentClass  string  // leaves jobs of this track unanswered
	StallAfter   int     // falls silent after so many tokens of each answer; 0 = never
	LinkSlowdown float64 // moves of its states take so many times as long
	Paused       bool    // does nothing, and goes on afterwards
	ReportDelay  time.Duration
	Draining     bool // turns new work away
}

// Figures that all stand-ins for hosts share.
const (
	OverloadTolerance  = 3                     // launches over what topples a cold host, for chance
	PauseCheckInterval = 10 * time.Millisecond // how often what stands still is looked at again
	CellLinkFactor     = 3                     // a cell's link carries what so many of its hosts send
	CrossZoneFactor    = 2                     // a far zone's tokens take so many times as long
)

// Model makes the figures: how long work takes. It is the seam behind which a better emulator goes.
type Model interface {
	// PrefillTime is how long a prompt takes of which so many tokens are not kept.
	PrefillTime(s *Spec, unread int64, warmth float64) time.Duration
	// TokenInterval is the time to the next token while so many answers run.
	TokenInterval(s *Spec, running int, warmth float64) time.Duration
	// TransferTime is how long a state takes to another host.
	TransferTime(s *Spec, tokens int64, sameCell bool) time.Duration
}

// LinearModel is the first model: prompts at a steady rate one after another, gaps that double as slots fill.
type LinearModel struct{}

// PrefillTime implements Model.
func (LinearModel) PrefillTime(s *Spec, unread int64, warmth float64) time.Duration {
	return time.Duration(float64(unread) / (s.PrefillRate * warmth) * 1e9)
}

// TokenInterval implements Model.
func (LinearModel) TokenInterval(s *Spec, running int, warmth float64) time.Duration {
	return time.Duration(float64(s.TokenGap) * (1 + float64(running)/float64(max(s.Slots, 1))) / warmth)
}

// TransferTime implements Model.
func (LinearModel) TransferTime(s *Spec, tokens int64, sameCell bool) time.Duration {
	t := float64(tokens) / s.TransferRate
	if !sameCell {
		t *= 2
	}
	return time.Duration(t * 1e9)
}

// Engine is one host; it can be crashed and started again on the same address.
type Engine struct {
	pb.UnimplementedEngineServer
	Spec  Spec
	Links *Links // over which states move; nil: each move alone, as Model has it. Set before Start
	model Model
	book  *eventlog.Log

	mu       sync.Mutex
	addr     string
	srv      *grpc.Server
	listener net.Listener
	started  time.Time
	faults   Faults
	changed  chan struct{} // closed when faults change
	life     context.Context
	end      context.CancelFunc
	toppled  bool
	arrived  []time.Time // launches of late, for toppling
	waiting  int
	running  int
	unread   int64 // prompt tokens queued or being read
	reading  chan struct{}
	states   map[string]*state
	reads    map[string]func(shot uint32) // of jobs whose read is under way: a release up to that shot ends it
	used     int64
	kept     map[string]*keptPrefix
	clock    int64
	report   *orca.OrcaLoadReport
	reportAt time.Time
	peers    map[string]*grpc.ClientConn
	drv      *driver // nil: the simple model
	rep      *batchmodel.Reporter
	Served   uint64
}

type state struct {
	shot   uint32
	tokens int64
	gone   chan struct{}
	drv    *driver
	id     batchmodel.ID
}

type keptPrefix struct {
	tokens int64
	used   int64
}

// New makes a host that does not run yet. Entries go to the book, which may be nil.
func New(spec Spec, model Model, b *eventlog.Log) *Engine {
	return &Engine{Spec: spec, model: model, book: b, changed: make(chan struct{})}
}

// Start starts its process on an address; port 0 takes any, and the same one again later.
func (e *Engine) Start(addr string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.srv != nil {
		return fmt.Errorf("engine %d runs already", e.Spec.ID)
	}
	if e.addr != "" {
		addr = e.addr
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("engine %d: %w", e.Spec.ID, err)
	}
	e.addr = ln.Addr().String()
	e.listener = ln
	e.srv = grpc.NewServer(grpc.MaxConcurrentStreams(10000))
	pb.RegisterEngineServer(e.srv, e)
	e.started, e.toppled, e.arrived = time.Now(), false, nil
	e.life, e.end = context.WithCancel(context.Background())
	e.waiting, e.running, e.unread, e.used = 0, 0, 0, 0
	e.reading = make(chan struct{}, 1)
	e.states, e.kept, e.peers = map[string]*state{}, map[string]*keptPrefix{}, map[string]*grpc.ClientConn{}
	e.reads = map[string]func(uint32){}
	e.report, e.drv = nil, nil
	if e.Spec.BatchModel {
		if e.drv, err = newDriver(&e.Spec); err != nil {
			ln.Close()
			e.srv = nil
			return fmt.Errorf("engine %d: %w", e.Spec.ID, err)
		}
		if e.rep, err = batchmodel.NewReporter(uint64(e.Spec.ID), int64(e.Spec.ReportInterval), 0, e.Spec.ReportNoise); err != nil {
			ln.Close()
			e.srv = nil
			return fmt.Errorf("engine %d: %w", e.Spec.ID, err)
		}
		go e.drv.run(e.life, e)
	}
	e.book.Add(eventlog.Entry{Kind: eventlog.ServerStarted, Server: e.Spec.ID})
	go e.srv.Serve(ln)
	return nil
}

// SkipWarmup has it count as started long ago.
func (e *Engine) SkipWarmup() {
	e.mu.Lock()
	e.started = e.started.Add(-24 * time.Hour)
	e.mu.Unlock()
}

// Crash ends its process at once: connections are reset, all that it held is gone.
func (e *Engine) Crash() {
	e.mu.Lock()
	srv, listener, end, peers := e.srv, e.listener, e.end, e.peers
	e.srv = nil
	for job := range e.states {
		e.book.Add(eventlog.Entry{Kind: eventlog.StateReleased, Server: e.Spec.ID, Request: job, Note: "crash"})
	}
	e.states = map[string]*state{}
	e.mu.Unlock()
	if srv != nil {
		end()
		srv.Stop()
		listener.Close() // srv may not have begun to serve it
		for _, p := range peers {
			p.Close()
		}
	}
}

// Addr is where it listens, or did.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// StartTime is the start of its process; false if there is none.
func (e *Engine) StartTime() (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started, e.srv != nil
}

// SetFaults changes the failures that it acts out.
func (e *Engine) SetFaults(change func(f *Faults)) {
	e.mu.Lock()
	change(&e.faults)
	close(e.changed)
	e.changed = make(chan struct{})
	e.mu.Unlock()
}

// HeldStates counts the read states that it holds.
func (e *Engine) HeldStates() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.states)
}

// Load counts what it runs and what waits.
func (e *Engine) Load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.waiting
}

func jobName(dispatcher, job uint64) string {
	return strconv.FormatUint(dispatcher, 16) + "." + strconv.FormatUint(job, 16)
}

// warmth is the share of its capacity that it has now. The lock is held.
func (e *Engine) warmth() float64 {
	if e.Spec.InitialCapacity <= 0 || e.Spec.InitialCapacity >= 1 || e.Spec.WarmupTime <= 0 {
		return 1
	}
	x := float64(time.Since(e.started)) / float64(e.Spec.WarmupTime)
	return min(1, e.Spec.InitialCapacity+(1-e.Spec.InitialCapacity)*x)
}

// arrive takes down a launch and topples a cold host that is sent too much. The lock is held.
func (e *Engine) arrive() error {
	now := time.Now()
	if e.toppled {
		return status.Error(codes.Internal, "fallen over")
	}
	s := &e.Spec
	if w := e.warmth(); w < 1 && s.OverloadFactor > 0 {
		e.arrived = append(e.arrived, now)
		for len(e.arrived) > 0 && now.Sub(e.arrived[0]) > s.OverloadWindow {
			e.arrived = e.arrived[1:]
		}
		if float64(len(e.arrived)) > s.OverloadFactor*w*s.RequestsPerSecond*s.OverloadWindow.Seconds()+OverloadTolerance {
			e.toppled = true
			e.book.Add(eventlog.Entry{Kind: eventlog.ServerOverloaded, Server: s.ID, Value: int64(len(e.arrived))})
			return status.Error(codes.Internal, "fallen over")
		}
	}
	if e.faults.Draining || e.drv == nil && e.waiting+e.running >= s.Slots+s.Queue {
		return status.Error(codes.ResourceExhausted, "full")
	}
	if e.faults.FailFast > 0 && float64(now.UnixNano()%1000)/1000 < e.faults.FailFast {
		return status.Error(codes.Internal, "failing fast")
	}
	return nil
}

// enter takes a launch in, or turns it away, and acts out what makes it hang. leave must be called.
func (e *Engine) enter(ctx context.Context, l *pb.Launch) (context.Context, func(), error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.arrive(); err != nil {
		return nil, nil, err
	}
	e.waiting++
	life, end := e.life, e.end
	_ = end
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(life, cancel)
	here := life
	return ctx, func() {
		stop()
		cancel()
		e.mu.Lock()
		if e.life == here {
			e.waiting--
		}
		e.mu.Unlock()
	}, nil
}

// sleep waits, longer while the host is slow, as long as it pauses or hangs; its error is the context's.
func (e *Engine) sleep(ctx context.Context, track string, t time.Duration) error {
	left := float64(t)
	for {
		e.mu.Lock()
		f, changed := e.faults, e.changed
		e.mu.Unlock()
		factor := max(f.Slowdown, 1)
		if f.Hanging || f.Paused || f.SilentClass != "" && f.SilentClass == track {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if left <= 0 {
			return ctx.Err()
		}
		begin := time.Now()
		timer := time.NewTimer(time.Duration(left * factor))
		select {
		case <-timer.C:
			return ctx.Err()
		case <-changed:
			left -= float64(time.Since(begin)) / factor
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// Read implements the Engine service.
func (e *Engine) Read(ctx context.Context, l *pb.Launch) (*pb.ReadDone, error) {
	if e.Spec.Role == pb.Role_ROLE_WRITER {
		return nil, status.Error(codes.Unimplemented, "a writer reads no prompts")
	}
	grpc.SetTrailer(ctx, e.loadReport())
	ctx, leave, err := e.enter(ctx, l)
	if err != nil {
		return nil, err
	}
	defer leave()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, name := l.GetRequest(), jobName(l.Dispatcher, l.Job)
	e.mu.Lock()
	drv, process := e.drv, e.life
	before := e.reads[name]
	e.reads[name] = func(shot uint32) {
		if before != nil {
			before(shot)
		}
		if l.Shot <= shot {
			cancel()
		}
	}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.reads, name)
		e.mu.Unlock()
	}()
	st := &state{shot: l.Shot, tokens: int64(req.PromptTokens), gone: make(chan struct{}), drv: drv}
	var unread, keptTokens int64
	if drv != nil {
		id, n, err := e.readBatch(ctx, drv, req)
		if err != nil {
			return nil, err
		}
		st.id, unread, keptTokens = id, int64(n), st.tokens-int64(n)
	} else if unread, keptTokens, err = e.read(ctx, req); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	if err := e.holdState(ctx, process, name, st); err != nil {
		return nil, err
	}
	time.AfterFunc(e.Spec.MaxHoldTime, func() {
		e.mu.Lock()
		if e.states[name] == st {
			e.drop(name, "ran out")
		}
		e.mu.Unlock()
	})
	return &pb.ReadDone{ReadTokens: uint32(unread), KeptTokens: uint32(keptTokens)}, nil
}

// holdState records the state of a read that is done. A read that was released meanwhile leaves none, nor does one
// whose process has ended: its context may be cancelled later than Crash swept the states.
func (e *Engine) holdState(ctx, process context.Context, name string, st *state) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.srv == nil || e.life != process {
		return status.Error(codes.Unavailable, "the process has ended")
	}
	if ctx.Err() != nil {
		if st.drv != nil {
			st.drv.drop(st.id)
		}
		return status.FromContextError(ctx.Err()).Err()
	}
	if st.drv == nil && e.used+st.tokens > e.Spec.MemoryTokens {
		return status.Error(codes.ResourceExhausted, "no memory for the read state")
	}
	e.drop(name, "read anew")
	e.states[name] = st
	e.used += st.tokens
	e.book.Add(eventlog.Entry{Kind: eventlog.StateHeld, Server: e.Spec.ID, Request: name, Attempt: int(st.shot), Value: st.tokens})
	return nil
}

// drop lets go of a state. The lock is held.
func (e *Engine) drop(name, why string) {
	st := e.states[name]
	if st == nil {
		return
	}
	delete(e.states, name)
	e.used -= st.tokens
	close(st.gone)
	if st.drv != nil {
		st.drv.drop(st.id)
	}
	e.book.Add(eventlog.Entry{Kind: eventlog.StateReleased, Server: e.Spec.ID, Request: name, Attempt: int(st.shot), Note: why})
}

// read reads a prompt, first come first, from where what is kept of it ends.
func (e *Engine) read(ctx context.Context, req *pb.GenerateRequest) (unread, kept int64, err error) {
	e.mu.Lock()
	e.clock++
	prompt := int64(req.PromptTokens)
	if k := e.kept["b"+req.Tenant+"/"+req.Beginning]; k != nil && req.Beginning != "" {
		k.used, kept = e.clock, min(k.tokens, int64(req.BeginningTokens))
	}
	if k := e.kept["s"+req.Tenant+"/"+req.Session]; k != nil && req.Session != "" {
		k.used, kept = e.clock, max(kept, min(k.tokens, prompt))
	}
	unread = max(prompt-kept, 1)
	e.unread += unread
	reading, life := e.reading, e.life
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.life == life {
			e.unread -= unread
		}
		e.mu.Unlock()
	}()
	select {
	case reading <- struct{}{}:
	case <-ctx.Done():
		return 0, 0, ctx.Err()
	}
	defer func() { <-reading }()
	e.mu.Lock()
	t := e.model.PrefillTime(&e.Spec, unread, e.warmth())
	e.mu.Unlock()
	if err := e.sleep(ctx, req.Track, t); err != nil {
		return 0, 0, err
	}
	e.mu.Lock()
	if req.Beginning != "" {
		e.keep("b"+req.Tenant+"/"+req.Beginning, int64(req.BeginningTokens))
	}
	if req.Session != "" {
		e.keep("s"+req.Tenant+"/"+req.Session, prompt)
	}
	e.mu.Unlock()
	return unread, kept, nil
}

// keep remembers a beginning and forgets the least recently used ones over half the memory. The lock is held.
func (e *Engine) keep(name string, tokens int64) {
	e.clock++
	e.kept[name] = &keptPrefix{tokens, e.clock}
	for {
		total, oldest := int64(0), ""
		for n, k := range e.kept {
			total += k.tokens
			if oldest == "" || k.used < e.kept[oldest].used {
				oldest = n
			}
		}
		if total <= e.Spec.MemoryTokens/2 || len(e.kept) <= 1 {
			return
		}
		delete(e.kept, oldest)
	}
}

// Write implements the Engine service.
func (e *Engine) Write(l *pb.Launch, out grpc.ServerStreamingServer[pb.Tokens]) error {
	out.SetTrailer(e.loadReport())
	req := l.GetRequest()
	if e.Spec.Role == pb.Role_ROLE_READER {
		return status.Error(codes.Unimplemented, "a reader writes no answers")
	}
	if l.StateAddress == "" && e.Spec.Role != pb.Role_ROLE_MIXED {
		return status.Error(codes.FailedPrecondition, "no state is named, and a writer reads no prompts")
	}
	ctx, leave, err := e.enter(out.Context(), l)
	if err != nil {
		return err
	}
	defer leave()
	e.mu.Lock()
	drv := e.drv
	e.mu.Unlock()
	if drv != nil {
		return e.writeBatch(ctx, drv, l, out)
	}
	begin := time.Now()
	if err := e.slot(ctx); err != nil {
		return status.FromContextError(err).Err()
	}
	defer e.unslot(ctx)
	if l.BeginWithinNs > 0 && time.Since(begin) > time.Duration(l.BeginWithinNs) {
		return status.Error(codes.DeadlineExceeded, "its time to begin is up")
	}
	if l.StateAddress != "" {
		if err := e.fetch(ctx, l); err != nil {
			return err
		}
	} else if _, _, err := e.read(ctx, req); err != nil {
		return status.FromContextError(err).Err()
	}
	e.book.Add(eventlog.Entry{
		Kind: eventlog.AnswerStarted, Server: e.Spec.ID, Request: jobName(l.Dispatcher, l.Job), Attempt: int(l.Shot),
		RequestLabel: req.Label, ClientAttempt: int(l.Repeat), Class: req.Track,
	})
	n := AnswerTokens(req)
	for i := range n {
		e.mu.Lock()
		gap, stall := e.model.TokenInterval(&e.Spec, e.running, e.warmth()), e.faults.StallAfter
		e.mu.Unlock()
		if stall > 0 && i >= stall {
			<-ctx.Done()
			return status.FromContextError(ctx.Err()).Err()
		}
		if err := e.sleep(ctx, req.Track, gap); err != nil {
			return status.FromContextError(err).Err()
		}
		if err := out.Send(&pb.Tokens{Position: uint32(i), Tokens: []uint32{TokenAt(req, i)}, Text: []byte("tok ")}); err != nil {
			return err
		}
	}
	e.mu.Lock()
	e.Served++
	e.mu.Unlock()
	return nil
}

// AnswerTokens is how many tokens a job's answer has: half of the most to all of it, by its prompt's bytes, so that
// every host gives the same.
func AnswerTokens(req *pb.GenerateRequest) int {
	h := hash(req)
	most := max(int(req.MaxTokens), 1)
	return max(1, most/2+int(h%uint64(most/2+1)))
}

// TokenAt is the token at a place of a job's answer, the same at every host.
func TokenAt(req *pb.GenerateRequest, i int) uint32 {
	return uint32(hash(req)+uint64(i)*2654435761) % 50000
}

func hash(req *pb.GenerateRequest) uint64 {
	h := uint64(14695981039346656037)
	for _, s := range []string{req.Session, req.Label, string(req.Prompt)} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
	}
	return (h ^ uint64(req.PromptTokens)) * 1099511628211 >> 7
}

// slot waits for one of the places at which answers run.
func (e *Engine) slot(ctx context.Context) error {
	for {
		e.mu.Lock()
		if e.running < e.Spec.Slots {
			e.running++
			e.waiting--
			e.mu.Unlock()
			return nil
		}
		e.mu.Unlock()
		select {
		case <-time.After(2 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *Engine) unslot(context.Context) {
	e.mu.Lock()
	if e.running > 0 {
		e.running--
		e.waiting++ // leave takes it away
	}
	e.mu.Unlock()
}

// fetch gets the state of a job from the host that holds it.
func (e *Engine) fetch(ctx context.Context, l *pb.Launch) error {
	stateless := func(why string) error { return status.Error(codes.FailedPrecondition, "no state: "+why) }
	e.mu.Lock()
	peer := e.peers[l.StateAddress]
	if peer == nil {
		var err error
		if peer, err = grpc.NewClient(l.StateAddress, grpc.WithTransportCredentials(insecure.NewCredentials())); err != nil {
			e.mu.Unlock()
			return stateless(err.Error())
		}
		e.peers[l.StateAddress] = peer
	}
	e.mu.Unlock()
	ctx = metadata.AppendToOutgoingContext(ctx, "docksail-cell", e.Spec.Cell, "docksail-zone", e.Spec.Zone)
	stream, err := pb.NewEngineClient(peer).Fetch(ctx, &pb.FetchRequest{Dispatcher: l.Dispatcher, Job: l.Job})
	if err != nil {
		return stateless(err.Error())
	}
	for {
		_, err := stream.Recv()
		switch {
		case err == nil:
		case err.Error() == "EOF":
			return nil
		case ctx.Err() != nil:
			return status.FromContextError(ctx.Err()).Err()
		default:
			return stateless(err.Error())
		}
	}
}

// Fetch implements the Engine service.
func (e *Engine) Fetch(r *pb.FetchRequest, out grpc.ServerStreamingServer[pb.StateChunk]) error {
	name := jobName(r.Dispatcher, r.Job)
	e.mu.Lock()
	st := e.states[name]
	slow := max(e.faults.LinkSlowdown, 1)
	e.mu.Unlock()
	if st == nil {
		return status.Error(codes.NotFound, "no state of this job")
	}
	md, _ := metadata.FromIncomingContext(out.Context())
	cell := ""
	if v := md.Get("docksail-cell"); len(v) > 0 {
		cell = v[0]
	}
	if e.Links != nil {
		zone := e.Spec.Zone
		if v := md.Get("docksail-zone"); len(v) > 0 {
			zone = v[0]
		}
		if err := e.Links.Transfer(out.Context(), &e.Spec, st.tokens, zone, cell, slow); err != nil {
			return status.FromContextError(err).Err()
		}
	}
	t := time.Duration(0) // as long as it hangs or pauses
	if e.Links == nil {
		t = time.Duration(float64(e.model.TransferTime(&e.Spec, st.tokens, cell == e.Spec.Cell)) * slow)
	}
	if err := e.sleep(out.Context(), "", t); err != nil {
		return status.FromContextError(err).Err()
	}
	select {
	case <-st.gone:
		return status.Error(codes.NotFound, "the state was let go meanwhile")
	default:
	}
	if err := out.Send(&pb.StateChunk{State: make([]byte, 64), Tokens: uint32(st.tokens)}); err != nil {
		return err
	}
	e.mu.Lock()
	if e.states[name] == st {
		e.drop(name, "fetched")
	}
	e.mu.Unlock()
	return nil
}

// Release implements the Engine service.
func (e *Engine) Release(_ context.Context, r *pb.ReleaseRequest) (*pb.ReleaseDone, error) {
	name := jobName(r.Dispatcher, r.Job)
	e.mu.Lock()
	defer e.mu.Unlock()
	if st := e.states[name]; st != nil && st.shot <= r.Shot {
		e.drop(name, "released")
	}
	if end := e.reads[name]; end != nil {
		end(r.Shot)
	}
	return &pb.ReleaseDone{}, nil
}

// loadReport is its ORCA report as a trailer.
func (e *Engine) loadReport() metadata.MD {
	e.mu.Lock()
	defer e.mu.Unlock()
	late := e.Spec.ReportDelay + e.faults.ReportDelay
	if e.drv != nil {
		if !e.batchReport(late) {
			return nil
		}
	} else {
		if e.report == nil || time.Since(e.reportAt) >= e.Spec.ReportInterval {
			e.report = &orca.OrcaLoadReport{
				MemUtilization: float64(e.used) / float64(max(e.Spec.MemoryTokens, 1)),
				NamedMetrics:   map[string]float64{"requests": float64(e.running + e.waiting), "unread_tokens": float64(e.unread)},
			}
			e.reportAt = time.Now()
		}
		e.report.NamedMetrics["age_ms"] = float64((time.Since(e.reportAt) + late).Milliseconds())
	}
	b, err := proto.Marshal(e.report)
	if err != nil {
		return nil
	}
	return metadata.Pairs("endpoint-load-metrics-bin", string(b))
}
