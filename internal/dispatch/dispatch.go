// Package dispatch binds the loop, the wire and the decision module into one dispatcher: what happens on the
// sockets is told to the module, and what the module decides is carried out on them. It decides nothing.
package dispatch

import (
	"context"
	"docksail/internal/config"
	"docksail/internal/decide/admission"
	"docksail/internal/decide/intake"
	"docksail/internal/decide/keepalive"
	"docksail/internal/eventloop"
	"docksail/internal/frontend/grpc"
	"docksail/internal/h2"
	"docksail/internal/state/endpointlist"
	"docksail/internal/state/requesttable"
	"docksail/policy"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Module is the decision module as the dispatcher calls it; a test may stand between.
type Module interface {
	ListUpdateStarted(full bool)
	ServerListed(id policy.ServerID, zone policy.ZoneID, kind policy.KindID, cell policy.CellID,
		health policy.Health, launched policy.Nanos)
	ListUpdateEnded(now policy.Nanos)
	ListUpdateFailed(now policy.Nanos)
	RequestArrived(now policy.Nanos, given policy.Request)
	StreamStarted(now policy.Nanos, id policy.RequestID, shot policy.AttemptNumber, elapsed policy.Nanos)
	AttemptEnded(now policy.Nanos, id policy.RequestID, shot policy.AttemptNumber, how policy.Outcome, elapsed policy.Nanos,
		over bool, load policy.LoadReport)
	RequestCanceled(now policy.Nanos, id policy.RequestID)
	StateHeldSince(now policy.Nanos, id policy.RequestID, since policy.Nanos)
	TimerFired(now policy.Nanos)
	NextDecision(now policy.Nanos) (policy.Decision, bool)
}

// Dispatcher is one dispatcher on one loop. All of it belongs to the loop.
type Dispatcher struct {
	Counts Counts

	loop          *eventloop.Loop
	log           *slog.Logger
	debug         bool // the log takes lines of single requests
	module        Module
	entry         Frontend
	grpcEntry     *grpc.Server // the admission queue, where it is gRPC's
	exit          Backend
	direct        bool // requests go to the module as they come: no admission queue holds them back
	gate          intake.Limits
	queue         *admission.Queue
	signer        *admission.TicketSigner
	memory        memory
	tenantTerms   []admission.TenantLimits // what tenants may do in the admission queue
	tenantNames   []string
	secretKey     uint64 // keys the hashes of clients' names
	expiryTimer   eventloop.Timer
	onExpiry      func(eventloop.Nanos)
	ages          []eventloop.Nanos
	unsent        []unsentRequest // requests that the module has and has not sent, by when they were let in
	maxRetryAfter int64
	incarnation   uint64 // this start of the dispatcher, in what engines are told
	clockStart    int64  // module time at the loop's 0: Unix nanoseconds

	requests requesttable.Table[Request]

	classes      map[string]policy.ClassID
	tenants      map[string]policy.TenantID
	classTimes   []classTimes
	hashKey      uint64
	hash         xxhash.Digest
	answerAhead  int64
	silenceLimit int64 // a client may be left waiting so long after its last token; 0 = not told
	wakeTimer    eventloop.Timer
	onWake       func(eventloop.Nanos)

	draining   bool
	drainTimer eventloop.Timer
	onDrained  func()
}

type classTimes struct {
	target, targetPer1k, timeout, tokenGap int64
	idempotent                             bool
}

// NewGRPC makes a dispatcher on a loop, whose clients and engines speak gRPC; Start sets it going. life must differ from
// one start to the next; secrets is where it draws keys from that nobody may guess, crypto/rand's Reader but for
// simulations.
func NewGRPC(l *eventloop.Loop, s *config.Dispatcher, log *slog.Logger, seed, incarnation uint64, secrets io.Reader, wrap func(Module) Module) (*Dispatcher, error) {
	list := endpointlist.New()
	module, err := s.NewPolicy(seed, list.ZoneID(s.Zone))
	if err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	var names []string
	for _, t := range s.Classes {
		names = append(names, t.Name)
	}
	d, shortest := newDispatcher(l, log, module, names, s.PolicyClasses(), incarnation)
	if wrap != nil {
		d.module = wrap(module)
	}
	d.hashKey, d.answerAhead, d.maxRetryAfter = s.HashKey, int64(s.Responses.DeadlineMargin), int64(s.Responses.MaxRetryAfter)
	for i, t := range s.Tenants {
		d.tenants[t.Name] = policy.TenantID(i)
	}
	d.gate = intake.Limits{MaxRequests: s.Limits.MaxRequests, MaxPromptTokens: int64(s.Limits.MaxPromptTokens)}
	lim := h2.Limits{
		MaxStreams: uint32(s.Limits.MaxStreams), StreamWindow: uint32(s.Limits.StreamWindowBytes),
		ConnWindow: h2.DefaultLimits.ConnWindow, MaxHeaderListBytes: uint32(s.Limits.MaxHeaderBytes), MaxMessageBytes: uint32(s.Limits.MaxMessageBytes),
	}
	var key [40]byte
	if _, err := io.ReadFull(secrets, key[:]); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	d.signer, d.secretKey = admission.NewTicketSigner(key[:32]), binary.LittleEndian.Uint64(key[32:])
	if !s.Responses.SendRetryAfter {
		d.signer = nil
	}
	d.queue, err = admission.New(admission.Config{
		MaxWaiting: s.Limits.MaxWaiting, MaxKnownClients: s.Limits.MaxClients, LatencyObjective: shortest, Signer: d.signer,
		FIFO: s.FIFO,
	})
	if err != nil {
		return nil, err
	}
	d.memory.most = uint64(s.Limits.MaxMemoryBytes)
	d.tenantTerms, d.tenantNames = s.TenantLimits(), []string{""}
	for i, t := range d.tenantTerms {
		if err := d.queue.SetTenant(i, t); err != nil {
			return nil, err
		}
	}
	if len(s.Tenants) > 0 {
		d.tenantNames = nil
		for _, t := range s.Tenants {
			d.tenantNames = append(d.tenantNames, t.Name)
		}
	}
	if d.grpcEntry, err = grpc.New(l, d, lim, s.Limits.MaxConnections, s.Limits.MaxOutputBytes, s.Limits.MaxPartialBytes); err != nil {
		return nil, err
	}
	d.entry = d.grpcEntry
	x := &grpcExit{
		d: d, list: list, servers: make(map[policy.ServerID]*grpcServer), keeper: keepalive.Policy{LatencyTarget: shortest},
		connect: int64(s.Attempts.ConnectTimeout), lim: lim,
	}
	x.lister.init(x, s.Discovery)
	d.exit = x
	return d, nil
}

// NewDirect makes a dispatcher whose requests go to the module as they come, at most so many in hand, with the classes and tenants
// that the module was made with; a request without a tenant is nobody's. Ends gives it its entry and exit, Start sets it going. advises is the longest advice;
// hush, how long a client may be left waiting after a token.
func NewDirect(l *eventloop.Loop, log *slog.Logger, module Module, names []string, classes []policy.Class, tenants []string, maxRequests int, maxPrompt, maxRetryAfter, silenceLimit int64, incarnation uint64) (*Dispatcher, error) {
	d, shortest := newDispatcher(l, log, module, names, classes, incarnation)
	d.direct, d.maxRetryAfter, d.silenceLimit = true, maxRetryAfter, silenceLimit
	for i, name := range tenants {
		d.tenants[name] = policy.TenantID(i)
	}
	d.gate = intake.Limits{MaxRequests: maxRequests, MaxPromptTokens: maxPrompt}
	var err error
	// Nothing ever waits in this queue.
	d.queue, err = admission.New(admission.Config{MaxWaiting: 1, MaxKnownClients: 1, LatencyObjective: shortest})
	return d, err
}

// Attach gives a dispatcher made by Direct the ways in and out.
func (d *Dispatcher) Attach(in Frontend, out Backend) { d.entry, d.exit = in, out }

// newDispatcher makes what all dispatchers have, and gives the shortest expected time.
func newDispatcher(l *eventloop.Loop, log *slog.Logger, module Module, names []string, classes []policy.Class, incarnation uint64) (*Dispatcher, int64) {
	d := &Dispatcher{
		loop: l, log: log, debug: log.Enabled(context.Background(), slog.LevelDebug), module: module, incarnation: incarnation, clockStart: l.OriginUnixNanos(), classes: make(map[string]policy.ClassID),
		tenants: make(map[string]policy.TenantID),
	}
	shortest := int64(classes[0].LatencyTarget)
	for i, t := range classes {
		d.classes[names[i]] = policy.ClassID(i)
		d.classTimes = append(d.classTimes, classTimes{
			int64(t.LatencyTarget), int64(t.LatencyTargetPer1k), int64(t.Timeout),
			int64(t.InterTokenTarget), t.Idempotency == policy.Idempotent,
		})
		shortest = min(shortest, int64(t.LatencyTarget))
	}
	d.onWake = func(now eventloop.Nanos) { d.module.TimerFired(d.ModuleTime(now)) }
	d.onExpiry = func(eventloop.Nanos) {} // the round looks
	return d, shortest
}

// Start listens for clients and asks for the list of engines; it gives the address it listens on.
func (d *Dispatcher) Start(at netip.AddrPort, share bool) (netip.AddrPort, error) {
	addr, err := d.entry.Listen(at, share)
	if err != nil {
		return addr, err
	}
	d.exit.Start(d.loop.Now())
	return addr, nil
}

// RunIteration is what the loop calls once a turn: decisions are pulled until there is none, requests that wait in the admission queue are
// let in as the module takes them, then output is queued.
func (d *Dispatcher) RunIteration(now eventloop.Nanos) {
	for n := d.queue.ShedCount(d.loop.LastIterationDuration(), d.memory.inUse(now), d.memory.most); n > 0; n-- {
		id, ok := d.queue.NextToShed()
		if !ok {
			break
		}
		d.refuseQueued(now, policy.RequestID(id), admission.Overloaded)
	}
	for let := 0; ; {
		if decision, ok := d.module.NextDecision(d.ModuleTime(now)); ok {
			d.carryOut(now, decision)
			continue
		}
		if id, a, ok := d.queue.PopDisplaced(now); ok {
			d.rejectQueued(policy.RequestID(id), admission.QueueFull, a)
			continue
		}
		if id, ok := d.queue.NextExpired(now); ok {
			d.refuseQueued(now, policy.RequestID(id), admission.TooLate)
			continue
		}
		if id, ok := d.queue.NextAdmissible(now, len(d.unsent)); ok && d.admits(now) {
			if let++; let > admission.MaxAdmissionsPerTurn {
				d.loop.SkipNextWait()
				break
			}
			d.admit(now, policy.RequestID(id))
			continue
		}
		break
	}
	if at, ok := d.queue.NextWakeup(now); ok {
		d.loop.SetTimer(&d.expiryTimer, max(at, now+1), d.onExpiry)
	}
	d.entry.Flush()
	d.exit.Flush()
	if d.draining && d.requests.Len() == 0 && d.entry.IsIdle() && d.exit.IsIdle() {
		d.onDrained()
	}
}

// ModuleTime is the module's: Unix nanoseconds by the loop's clock, so that servers' starts compare with it.
func (d *Dispatcher) ModuleTime(now eventloop.Nanos) policy.Nanos {
	return policy.Nanos(d.clockStart + now)
}
