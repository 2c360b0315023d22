// Package dispatch is the core of a dispatcher: it connects a frontend, a backend and the decision module on one
// event loop. It reports events on the sockets to the module, and carries out the module's decisions on the sockets. It
// makes no decisions of its own.
//
// A Dispatcher is made by NewQueued, with an admission queue in front of the module, or by NewDirect, without one.
// Attach gives it its frontend and backend, Start makes it serve, and RunIteration is called by the event loop from
// then on. Everything in this package runs on the goroutine of that loop.
package dispatch

import (
	"context"
	"log/slog"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"docksail/internal/decide/intake"
	"docksail/internal/decide/memory"
	"docksail/internal/eventloop"
	"docksail/internal/state/requesttable"
	"docksail/policy"
)

// Module is the decision module as the dispatcher calls it. *policy.Router implements it; tests may wrap it.
type Module interface {
	ListUpdateStarted(full bool)
	ServerListed(id policy.ServerID, zone policy.ZoneID, kind policy.KindID, cell policy.CellID,
		health policy.Health, startedAt policy.Nanos)
	ListUpdateEnded(now policy.Nanos)
	ListUpdateFailed(now policy.Nanos)
	RequestArrived(now policy.Nanos, request policy.Request)
	StreamStarted(now policy.Nanos, id policy.RequestID, attempt policy.AttemptNumber, elapsed policy.Nanos)
	AttemptEnded(now policy.Nanos, id policy.RequestID, attempt policy.AttemptNumber, outcome policy.Outcome,
		elapsed policy.Nanos, final bool, load policy.LoadReport)
	RequestCanceled(now policy.Nanos, id policy.RequestID)
	StateHeldSince(now policy.Nanos, id policy.RequestID, since policy.Nanos)
	TimerFired(now policy.Nanos)
	Estimate(now policy.Nanos, request policy.Request) policy.Estimate
	NextDecision(now policy.Nanos) (policy.Decision, bool)
}

// Config configures a dispatcher. Durations are in nanoseconds.
type Config struct {
	Module Module
	// ClassNames and Classes are the module's request classes, in its order. There is at least one.
	ClassNames []string
	Classes    []policy.Class
	// TenantNames are the module's tenants, in its order; empty if tenants are not distinguished.
	TenantNames []string
	Intake      intake.Limits
	// Memory is the budget for the bytes of requests; nil = not limited.
	Memory *memory.Budget
	// MaxRetryAfter limits the delay after which a rejected client is asked to retry.
	MaxRetryAfter int64
	// AnswerLeadTime is how long before a client's deadline its answer must be sent.
	AnswerLeadTime int64
	// MaxSilence is how long clients wait for the next token after the last one; 0 = unknown.
	MaxSilence int64
	// KeyHashSeed seeds the hashes that identify sessions and prefixes. It is the same at all dispatchers.
	KeyHashSeed uint64
	// Incarnation identifies this start of the dispatcher. No two starts have the same.
	Incarnation uint64
}

// Dispatcher is one dispatcher on one event loop. All of its state belongs to the loop's goroutine.
type Dispatcher struct {
	Counts Counts

	loop         *eventloop.Loop
	log          *slog.Logger
	debug        bool // records about single requests are logged
	module       Module
	frontend     Frontend
	backend      Backend
	intake       intake.Limits
	admission    admissionControl
	requests     requesttable.Table[Request]
	memory       *memory.Budget
	incarnation  uint64
	originUnixNs int64 // Unix time of the loop's time 0

	classes         map[string]policy.ClassID
	classNames      []string
	classSettings   []classSettings
	tenants         map[string]policy.TenantID
	tenantOptional  bool // a request may name no tenant although tenants are configured
	keysAreGlobal   bool // sessions and prefixes are the same whichever tenant names them
	keyHashSeed     uint64
	keyHash         xxhash.Digest
	answerLeadTime  int64
	maxRetryAfter   int64
	maxSilence      int64
	policyTimer     eventloop.Timer
	onPolicyTimeout func(eventloop.Nanos)

	draining   bool
	drainTimer eventloop.Timer
	onDrained  func()
}

// classSettings are the timeout of a class, in nanoseconds, and whether its requests are idempotent.
type classSettings struct {
	timeout    int64
	idempotent bool
}

// NewDirect returns a dispatcher without an admission queue: requests go to the module as they arrive. A request may
// name no tenant, and a session or prefix is the same whichever tenant names it.
func NewDirect(loop *eventloop.Loop, log *slog.Logger, config *Config) *Dispatcher {
	d := newDispatcher(loop, log, config)
	d.tenantOptional, d.keysAreGlobal = true, true
	d.admission = &directAdmission{dispatcher: d}
	return d
}

// NewQueued returns a dispatcher whose requests wait in an admission queue until the module can place them.
func NewQueued(loop *eventloop.Loop, log *slog.Logger, config *Config, queue *QueueConfig) (*Dispatcher, error) {
	d := newDispatcher(loop, log, config)
	var err error
	d.admission, err = newQueuedAdmission(d, queue)
	return d, err
}

func newDispatcher(loop *eventloop.Loop, log *slog.Logger, config *Config) *Dispatcher {
	d := &Dispatcher{
		loop: loop, log: log, debug: log.Enabled(context.Background(), slog.LevelDebug),
		module: config.Module, intake: config.Intake, memory: config.Memory,
		incarnation: config.Incarnation, originUnixNs: loop.OriginUnixNanos(),
		classes: make(map[string]policy.ClassID), classNames: config.ClassNames, tenants: make(map[string]policy.TenantID),
		keyHashSeed: config.KeyHashSeed, answerLeadTime: config.AnswerLeadTime,
		maxRetryAfter: config.MaxRetryAfter, maxSilence: config.MaxSilence,
	}
	for i, class := range config.Classes {
		d.classes[config.ClassNames[i]] = policy.ClassID(i)
		d.classSettings = append(d.classSettings, classSettings{
			timeout: int64(class.Timeout), idempotent: class.Idempotency == policy.Idempotent,
		})
	}
	for i, name := range config.TenantNames {
		d.tenants[name] = policy.TenantID(i)
	}
	d.onPolicyTimeout = func(now eventloop.Nanos) { d.module.TimerFired(d.ModuleTime(now)) }
	return d
}

// Attach sets the frontend and the backend. It must be called once, before Start.
func (d *Dispatcher) Attach(frontend Frontend, backend Backend) {
	d.frontend, d.backend = frontend, backend
}

// Start listens for clients and has the backend ask for the endpoint list. It returns the address that the frontend
// listens on. sharePort lets other processes listen on the same port.
func (d *Dispatcher) Start(listen netip.AddrPort, sharePort bool) (netip.AddrPort, error) {
	addr, err := d.frontend.Listen(listen, sharePort)
	if err != nil {
		return addr, err
	}
	d.backend.Start(d.loop.Now())
	return addr, nil
}

// Close closes the backend. It must be called when the loop has ended.
func (d *Dispatcher) Close() { d.backend.Close() }

// RunIteration is called by the event loop once per iteration, after the sockets were read and the timers fired. It
// carries out the module's decisions until there are none, admits waiting requests as long as the admission queue
// permits, and then flushes all output.
func (d *Dispatcher) RunIteration(now eventloop.Nanos) {
	d.admission.iterationStarted(now)
	for {
		if decision, ok := d.module.NextDecision(d.ModuleTime(now)); ok {
			d.execute(now, decision)
			continue
		}
		if !d.admission.advance(now) {
			break
		}
	}
	d.admission.iterationEnded(now)
	d.frontend.Flush()
	d.backend.Flush()
	if d.draining && d.requests.Len() == 0 && d.frontend.IsIdle() && d.backend.IsIdle() {
		d.onDrained()
	}
}

// ModuleTime converts a time of the loop to the module's time: Unix nanoseconds that advance with the loop's monotonic
// clock, so that they can be compared with the start times of servers.
func (d *Dispatcher) ModuleTime(now eventloop.Nanos) policy.Nanos {
	return policy.Nanos(d.originUnixNs + now)
}

// Incarnation returns the number that identifies this start of the dispatcher to servers.
func (d *Dispatcher) Incarnation() uint64 { return d.incarnation }
