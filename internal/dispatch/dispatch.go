// Package dispatch binds the loop, the wire and the decision module into one dispatcher: what happens on the
// sockets is told to the module, and what the module decides is carried out on them. It decides nothing.
package dispatch

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"docksail/internal/decide/door"
	"docksail/internal/decide/gate"
	"docksail/internal/decide/links"
	"docksail/internal/front/grpc"
	"docksail/internal/h2"
	"docksail/internal/loop"
	"docksail/internal/setup"
	"docksail/internal/state/fleet"
	"docksail/internal/state/jobs"
	"docksail/policy"
)

// Module is the decision module as the dispatcher calls it; a test may stand between.
type Module interface {
	ListBegin(full bool)
	ServerListed(id policy.ServerID, zone policy.ZoneID, kind policy.KindID, cell policy.CellID,
		health policy.Health, launched policy.Nanos)
	ListEnd(now policy.Nanos)
	ListFailed(now policy.Nanos)
	RequestArrived(now policy.Nanos, given policy.Request)
	StreamBegan(now policy.Nanos, id policy.RequestID, shot policy.AttemptNumber, elapsed policy.Nanos)
	AttemptEnded(now policy.Nanos, id policy.RequestID, shot policy.AttemptNumber, how policy.Outcome, elapsed policy.Nanos,
		over bool, load policy.Load)
	ClientLeft(now policy.Nanos, id policy.RequestID)
	HeldSince(now policy.Nanos, id policy.RequestID, since policy.Nanos)
	Woken(now policy.Nanos)
	Next(now policy.Nanos) (policy.Decision, bool)
}

// Dispatcher is one dispatcher on one loop. All of it belongs to the loop.
type Dispatcher struct {
	Counts Counts

	l       *loop.Loop
	log     *slog.Logger
	traces  bool // the log takes lines of single jobs
	mod     Module
	clients Entry
	rpc     *grpc.Server // the door, where it is gRPC's
	exit    Exit
	direct  bool // jobs go to the module as they come: no door holds them back
	gate    gate.Gate
	queue   *door.Door
	signer  *door.Signer
	memory  memory
	terms   []door.Tenant // what tenants may do at the door
	names   []string
	secret  uint64 // keys the hashes of clients' names
	expiry  loop.Timer
	onLate  func(loop.Nanos)
	ages    []loop.Nanos
	inside  []unlaunched // jobs that the module has and has not launched, by when they were let in
	advises int64
	life    uint64 // this start of the dispatcher, in what engines are told
	wall    int64  // module time at the loop's 0: Unix nanoseconds

	jobs jobs.Table[Job]

	tracks  map[string]policy.ClassID
	tenants map[string]policy.TenantID
	times   []trackTimes
	hashKey uint64
	hash    xxhash.Digest
	ahead   int64
	hush    int64 // a client may be left waiting so long after its last token; 0 = not told
	wake    loop.Timer
	onWake  func(loop.Nanos)

	leaving  bool
	leaveAt  loop.Timer
	leaveEnd func()
}

type trackTimes struct {
	expected, per1k, patience, gap int64
	redoable                       bool
}

// New makes a dispatcher on a loop, whose clients and engines speak gRPC; Start sets it going. life must differ from
// one start to the next; secrets is where it draws keys from that nobody may guess, crypto/rand's Reader but for
// simulations.
func New(l *loop.Loop, s *setup.Dispatcher, log *slog.Logger, seed, life uint64, secrets io.Reader, wrap func(Module) Module) (*Dispatcher, error) {
	list := fleet.New()
	mod, err := s.Module(seed, list.Zone(s.Zone))
	if err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	var names []string
	for _, t := range s.Tracks {
		names = append(names, t.Name)
	}
	d, shortest := bare(l, log, mod, names, s.PolicyTracks(), life)
	if wrap != nil {
		d.mod = wrap(mod)
	}
	d.hashKey, d.ahead, d.advises = s.HashKey, int64(s.Answers.Ahead), int64(s.Answers.MaxAdvice)
	for i, t := range s.Tenants {
		d.tenants[t.Name] = policy.TenantID(i)
	}
	d.gate = gate.Gate{Most: s.Limits.Jobs, Prompt: int64(s.Limits.Prompt)}
	lim := h2.Limits{Streams: uint32(s.Limits.Streams), StreamWindow: uint32(s.Limits.StreamWindow),
		ConnWindow: h2.Usual.ConnWindow, HeaderBytes: uint32(s.Limits.Headers), MessageBytes: uint32(s.Limits.Message)}
	var key [40]byte
	if _, err := io.ReadFull(secrets, key[:]); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	d.signer, d.secret = door.NewSigner(key[:32]), binary.LittleEndian.Uint64(key[32:])
	if !s.Answers.Advice {
		d.signer = nil
	}
	if d.queue, err = door.New(s.Limits.Waiting, s.Limits.Clients, shortest, d.signer); err != nil {
		return nil, err
	}
	d.queue.FirstCome = s.FirstCome
	d.memory.most = uint64(s.Limits.Memory)
	d.terms, d.names = s.Door(), []string{""}
	for i, t := range d.terms {
		if err := d.queue.SetTenant(i, t); err != nil {
			return nil, err
		}
	}
	if len(s.Tenants) > 0 {
		d.names = nil
		for _, t := range s.Tenants {
			d.names = append(d.names, t.Name)
		}
	}
	if d.rpc, err = grpc.New(l, d, lim, s.Limits.Connections, s.Limits.Output, s.Limits.Partial); err != nil {
		return nil, err
	}
	d.clients = d.rpc
	x := &engines{d: d, list: list, by: make(map[policy.ServerID]*engine), keeper: links.Keeper{Expected: shortest},
		connect: int64(s.Launches.Connect), lim: lim}
	x.lister.init(x, s.Fleet)
	d.exit = x
	return d, nil
}

// Direct makes a dispatcher whose jobs go to the module as they come, at most so many in hand, with the tracks and tenants
// that the module was made with; a job without a tenant is nobody's. Ends gives it its entry and exit, Start sets it going. advises is the longest advice;
// hush, how long a client may be left waiting after a token.
func Direct(l *loop.Loop, log *slog.Logger, mod Module, names []string, tracks []policy.Class, tenants []string, most int, prompt, advises, hush int64, life uint64) (*Dispatcher, error) {
	d, shortest := bare(l, log, mod, names, tracks, life)
	d.direct, d.advises, d.hush = true, advises, hush
	for i, name := range tenants {
		d.tenants[name] = policy.TenantID(i)
	}
	d.gate = gate.Gate{Most: most, Prompt: prompt}
	var err error
	d.queue, err = door.New(1, 1, shortest, nil) // nothing ever waits there
	return d, err
}

// Ends gives a dispatcher made by Direct the ways in and out.
func (d *Dispatcher) Ends(in Entry, out Exit) { d.clients, d.exit = in, out }

// bare makes what all dispatchers have, and gives the shortest expected time.
func bare(l *loop.Loop, log *slog.Logger, mod Module, names []string, tracks []policy.Class, life uint64) (*Dispatcher, int64) {
	d := &Dispatcher{l: l, log: log, traces: log.Enabled(context.Background(), slog.LevelDebug), mod: mod, life: life, wall: l.Wall(), tracks: make(map[string]policy.ClassID),
		tenants: make(map[string]policy.TenantID)}
	shortest := int64(tracks[0].Target)
	for i, t := range tracks {
		d.tracks[names[i]] = policy.ClassID(i)
		d.times = append(d.times, trackTimes{int64(t.Target), int64(t.TargetPer1k), int64(t.Timeout),
			int64(t.TokenGap), t.Effect == policy.Idempotent})
		shortest = min(shortest, int64(t.Target))
	}
	d.onWake = func(now loop.Nanos) { d.mod.Woken(d.Time(now)) }
	d.onLate = func(loop.Nanos) {} // the round looks
	return d, shortest
}

// Start listens for clients and asks for the list of engines; it gives the address it listens on.
func (d *Dispatcher) Start(at netip.AddrPort, share bool) (netip.AddrPort, error) {
	addr, err := d.clients.Listen(at, share)
	if err != nil {
		return addr, err
	}
	d.exit.Start(d.l.Now())
	return addr, nil
}

// Round is what the loop calls once a turn: decisions are pulled until there is none, jobs that wait at the door are
// let in as the module takes them, then output is queued.
func (d *Dispatcher) Round(now loop.Nanos) {
	for n := d.queue.ToShed(d.l.Lag(), d.memory.inUse(now), d.memory.most); n > 0; n-- {
		id, ok := d.queue.Heaviest()
		if !ok {
			break
		}
		d.turnAway(now, policy.RequestID(id), door.Shed)
	}
	for let := 0; ; {
		if what, ok := d.mod.Next(d.Time(now)); ok {
			d.do(now, what)
			continue
		}
		if id, a, ok := d.queue.Displaced(now); ok {
			d.turnedAway(policy.RequestID(id), door.Full, a)
			continue
		}
		if id, ok := d.queue.Expired(now); ok {
			d.turnAway(now, policy.RequestID(id), door.TooLate)
			continue
		}
		if id, ok := d.queue.Next(now, len(d.inside)); ok && d.open(now) {
			if let++; let > door.PerTurn {
				d.l.Again()
				break
			}
			d.letIn(now, policy.RequestID(id))
			continue
		}
		break
	}
	if at, ok := d.queue.NextExpiry(now); ok {
		d.l.At(&d.expiry, max(at, now+1), d.onLate)
	}
	d.clients.Flush()
	d.exit.Flush()
	if d.leaving && d.jobs.Len() == 0 && d.clients.Idle() && d.exit.Idle() {
		d.leaveEnd()
	}
}

// Time is the module's: Unix nanoseconds by the loop's clock, so that hosts' starts compare with it.
func (d *Dispatcher) Time(now loop.Nanos) policy.Nanos { return policy.Nanos(d.wall + now) }
