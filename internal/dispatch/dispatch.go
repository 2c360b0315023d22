// Package dispatch binds the loop, the wire and the decision module into one dispatcher: what happens on the
// sockets is told to the module, and what the module decides is carried out on them. It decides nothing.
package dispatch

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/netip"
	"runtime/metrics"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"docksail/internal/decide/door"
	"docksail/internal/decide/gate"
	"docksail/internal/decide/links"
	"docksail/internal/decide/pace"
	"docksail/internal/front"
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
	HostListed(id policy.HostID, zone policy.ZoneID, kind policy.KindID, cell policy.CellID,
		health policy.Health, launched policy.Nanos)
	ListEnd(now policy.Nanos)
	ListFailed(now policy.Nanos)
	JobArrived(now policy.Nanos, given policy.Job)
	StreamBegan(now policy.Nanos, id policy.JobID, shot policy.Shot, elapsed policy.Nanos)
	LaunchEnded(now policy.Nanos, id policy.JobID, shot policy.Shot, how policy.Outcome, elapsed policy.Nanos,
		over bool, load policy.Load)
	ClientLeft(now policy.Nanos, id policy.JobID)
	HeldSince(now policy.Nanos, id policy.JobID, since policy.Nanos)
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

	tracks  map[string]policy.TrackID
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

// Counts are what a dispatcher counted since its start.
type Counts struct {
	Jobs, Honoured, Nacked, Abandoned, Left, Refused uint64
	Launches, Recalls, Late, Broken                  uint64
	Releases, ReleasesLost                           uint64
	Tokens                                           uint64 // messages relayed
	LateReports, Reports                             uint64
	Guarded                                          uint64 // decisions that the account of a job refused: faults of the program
	Overdue                                          uint64 // jobs that had to be answered by the dispatcher's own deadline: faults of the program
	Pings, DeadLinks                                 uint64
}

// Job is one job in hand.
type Job struct {
	jobs.Account
	call    front.Call // nil once it is answered
	Raw     []byte     // the client's message
	Named   []byte     // the client's name for it
	Target  []byte     // where the client sent it
	Fields  []byte     // header fields that go with it, as lines
	track   policy.TrackID
	Repeat  uint32
	Trace   string
	arrived loop.Nanos
	ends    loop.Nanos // the call's own time is up; 0 = never
	begun   loop.Nanos // the answer's first token came; 0 = not yet
	last    loop.Nanos // its last token
	waits   int        // bytes of the engine's window that wait for the client
	given   policy.Job // as the module is told of it
	ask     door.Job   // as the door is
	atDoor  bool
	let     bool  // the door has let it in, and not been told of its end
	tokens  int64 // messages relayed
	ran     bool  // a launch was sent to a host that answers

	sent      Sent          // the launch that is out; nil = it is none of the exit's
	Host      policy.HostID // where it goes
	Reads     bool          // it is a read
	Sent      loop.Nanos
	Within    int64      // its time
	Before    loop.Nanos // it may begin to be written until then
	ReadAt    loop.Nanos // its last read ended
	Kept      int64      // prompt tokens that the module expects to be kept where it is read
	rpc       sending    // how the gRPC exit holds it
	timer     loop.Timer
	onTimer   func(loop.Nanos)
	overdue   loop.Timer // set while the job is owed its first answer
	onOverdue func(loop.Nanos)
	d         *Dispatcher
}

// overdueAfter is how long after a client's deadline a job without an answer is taken for forgotten: later than any answer
// that was decided, and well within the half second in which an answer still counts as given.
const overdueAfter = 100e6 // nanoseconds

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
	x := &engines{d: d, list: list, by: make(map[policy.HostID]*engine), keeper: links.Keeper{Expected: shortest},
		connect: int64(s.Launches.Connect), lim: lim}
	x.lister.init(x, s.Fleet)
	d.exit = x
	return d, nil
}

// Direct makes a dispatcher whose jobs go to the module as they come, at most so many in hand, with the tracks and tenants
// that the module was made with; a job without a tenant is nobody's. Ends gives it its entry and exit, Start sets it going. advises is the longest advice;
// hush, how long a client may be left waiting after a token.
func Direct(l *loop.Loop, log *slog.Logger, mod Module, names []string, tracks []policy.Track, tenants []string, most int, prompt, advises, hush int64, life uint64) (*Dispatcher, error) {
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
func bare(l *loop.Loop, log *slog.Logger, mod Module, names []string, tracks []policy.Track, life uint64) (*Dispatcher, int64) {
	d := &Dispatcher{l: l, log: log, traces: log.Enabled(context.Background(), slog.LevelDebug), mod: mod, life: life, wall: l.Wall(), tracks: make(map[string]policy.TrackID),
		tenants: make(map[string]policy.TenantID)}
	shortest := int64(tracks[0].Expected)
	for i, t := range tracks {
		d.tracks[names[i]] = policy.TrackID(i)
		d.times = append(d.times, trackTimes{int64(t.Expected), int64(t.ExpectedPer1k), int64(t.Patience),
			int64(t.TokenGap), t.Effect == policy.Redoable})
		shortest = min(shortest, int64(t.Expected))
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
		d.turnAway(now, policy.JobID(id), door.Shed)
	}
	for let := 0; ; {
		if what, ok := d.mod.Next(d.Time(now)); ok {
			d.do(now, what)
			continue
		}
		if id, a, ok := d.queue.Displaced(now); ok {
			d.turnedAway(policy.JobID(id), door.Full, a)
			continue
		}
		if id, ok := d.queue.Expired(now); ok {
			d.turnAway(now, policy.JobID(id), door.TooLate)
			continue
		}
		if id, ok := d.queue.Next(now, len(d.inside)); ok && d.open(now) {
			if let++; let > door.PerTurn {
				d.l.Again()
				break
			}
			d.letIn(now, policy.JobID(id))
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

// unlaunched is a job that the module has and has not launched.
type unlaunched struct {
	id policy.JobID
	at loop.Nanos // let in
}

func (d *Dispatcher) insideAt(id policy.JobID) int {
	return slices.IndexFunc(d.inside, func(u unlaunched) bool { return u.id == id })
}

// open tells whether the door lets in another.
func (d *Dispatcher) open(now loop.Nanos) bool {
	d.ages = d.ages[:0]
	for _, u := range d.inside {
		d.ages = append(d.ages, now-u.at)
	}
	return d.queue.Open(d.ages)
}

// letIn hands a job that waited at the door to the module.
func (d *Dispatcher) letIn(now loop.Nanos, id policy.JobID) {
	d.queue.Let(now, door.JobID(id))
	j := d.jobs.Find(id)
	j.atDoor, j.let = false, true
	d.inside = append(d.inside, unlaunched{id: id, at: now})
	d.mod.JobArrived(d.Time(now), j.given)
}

// turnAway refuses a job that waits at the door.
func (d *Dispatcher) turnAway(now loop.Nanos, id policy.JobID, why door.Cause) {
	d.turnedAway(id, why, d.queue.Refuse(now, door.JobID(id), why))
}

// turnedAway answers a job that the door has given up.
func (d *Dispatcher) turnedAway(id policy.JobID, why door.Cause, a door.Advice) {
	j := d.jobs.Find(id)
	j.atDoor = false
	d.answer(j, func() { j.call.Nack(j.ID, d.refusal(why.String(), why.Own(), a)) }, &d.Counts.Nacked)
	d.settle(j)
}

func (d *Dispatcher) refusal(why string, own bool, a door.Advice) front.Refusal {
	no := front.Refusal{Why: why, Own: own, After: min(a.After, d.advises)}
	if a.Ticket != nil && no.After == a.After {
		no.Ticket = d.signer.Encode(a.Ticket)
	}
	return no
}

// InHand counts jobs in hand, Clients open connections of clients.
func (d *Dispatcher) InHand() int { return d.jobs.Len() }

// Clients counts open connections of clients.
func (d *Dispatcher) Clients() int { return d.clients.Conns() }

// Time is the module's: Unix nanoseconds by the loop's clock, so that hosts' starts compare with it.
func (d *Dispatcher) Time(now loop.Nanos) policy.Nanos { return policy.Nanos(d.wall + now) }

// Leave drains: no new clients or jobs; those in hand have so long to end; then done is called, once.
func (d *Dispatcher) Leave(within int64, done func()) {
	if d.leaving {
		return
	}
	d.leaving, d.gate.Leaving = true, true
	d.leaveEnd = func() {
		d.l.Cancel(&d.leaveAt)
		d.leaveEnd = func() {}
		done()
	}
	d.log.Info("draining", "jobs", d.jobs.Len(), "within_ms", within/1e6)
	d.clients.Leave()
	d.l.At(&d.leaveAt, d.l.Now()+within, func(now loop.Nanos) {
		d.log.Warn("drain time is up", "jobs", d.jobs.Len())
		d.jobs.Each(func(_ policy.JobID, j *Job) {
			if j.Answered() {
				return
			}
			d.cutShort(now, j, "dispatcher leaves")
		})
		d.l.At(&d.leaveAt, now+int64(d.ahead), func(loop.Nanos) { d.leaveEnd() })
	})
}

// cutShort gives a job its final answer whatever the module holds of it, and tells the module that nothing more is owed.
func (d *Dispatcher) cutShort(now loop.Nanos, j *Job, why string) {
	if gate.AtEnd(d.times[j.track].redoable && j.begun == 0, j.ran) == gate.Nacked {
		d.answer(j, func() { j.call.Nack(j.ID, front.Refusal{Why: why}) }, &d.Counts.Nacked)
	} else {
		d.answer(j, func() { j.call.Abandon(j.ID, why) }, &d.Counts.Abandoned)
	}
	d.left(now, j)
}

// LeaveIdle has the entry leave and takes jobs as before; done is called, once, when none is in hand and the entry idle.
func (d *Dispatcher) LeaveIdle(done func()) {
	if d.leaving {
		return
	}
	d.leaving = true
	d.leaveEnd = func() { d.leaveEnd = func() {}; done() }
	d.clients.Leave()
}

// key hashes a name under the settings' key and its owner, the same at every dispatcher; 0 stands for no name.
func (d *Dispatcher) key(kind byte, owner policy.TenantID, name []byte) uint64 {
	if len(name) == 0 {
		return 0
	}
	d.hash.ResetWithSeed(d.hashKey)
	d.hash.Write([]byte{kind, byte(owner), byte(owner >> 8), byte(owner >> 16), byte(owner >> 24)})
	d.hash.Write(name)
	return max(d.hash.Sum64(), 1)
}

// name is a job's for the outside: the dispatcher's life and the job, unique over dispatchers and restarts.
func (d *Dispatcher) name(id policy.JobID) string {
	var b [33]byte
	return string(strconv.AppendUint(append(strconv.AppendUint(b[:0], d.life, 16), '.'), uint64(id), 16))
}

// Name implements the door's core.
func (d *Dispatcher) Name(id policy.JobID) string { return d.name(id) }

// secretly hashes a name that strangers choose, under a key of this life's own; 0 stands for no name.
func (d *Dispatcher) secretly(owner policy.TenantID, name []byte) uint64 {
	if len(name) == 0 {
		return 0
	}
	d.hash.ResetWithSeed(d.secret ^ uint64(owner)*0x9e3779b97f4a7c15)
	d.hash.Write(name)
	return max(d.hash.Sum64(), 1)
}

// ---- What clients do.

// Arrive takes a job from the door.
func (d *Dispatcher) Arrive(now loop.Nanos, call front.Call, r *front.Request) (policy.JobID, error) {
	track, ok := d.tracks[string(r.Track)]
	if !ok {
		return 0, fmt.Errorf("track %q is unknown: %w", r.Track, front.ErrBad)
	}
	tenant := policy.TenantID(-1)
	if len(d.tenants) > 0 && !(d.direct && len(r.Tenant) == 0) {
		if tenant, ok = d.tenants[string(r.Tenant)]; !ok {
			return 0, fmt.Errorf("tenant %q is unknown: %w", r.Tenant, front.ErrBad)
		}
	}
	t := &d.times[track]
	left := t.patience
	if r.Patience > 0 {
		left = min(left, r.Patience)
	}
	if r.Timeout > 0 {
		left = min(left, r.Timeout)
	}
	left -= d.ahead
	cause, after := d.gate.Take(d.jobs.Len(), r.Prompt, left, t.expected+t.per1k*r.Prompt/1000)
	if cause != gate.Taken {
		d.Counts.Refused++
		if cause.Harmless() {
			return 0, front.Refusal{Why: cause.String(), After: min(after, d.advises)}
		}
		return 0, fmt.Errorf("%s, %d tokens of at most %d: %w", cause, r.Prompt, d.gate.Prompt, front.ErrBad)
	}
	ask := door.Job{Tenant: max(int(tenant), 0), Client: d.secretly(tenant, r.Client), Source: d.secretly(-1, r.Source[:]), Prompt: r.Prompt,
		Background: r.Background, Answer: r.Most, Expected: t.expected + t.per1k*r.Prompt/1000, Deadline: now + left}
	if r.Ticket != nil && d.signer != nil {
		if ticket, err := d.signer.Decode(r.Ticket); err == nil {
			ask.Ticket = ticket
		}
	}
	id, j := d.jobs.Add()
	ask.ID = door.JobID(id)
	if !d.direct {
		if cause, advice := d.queue.Arrive(now, ask); cause != door.Admitted {
			d.jobs.Drop(id)
			d.Counts.Refused++
			if cause == door.TooLong {
				return 0, fmt.Errorf("%s, %d tokens: %w", cause, r.Prompt, front.ErrBad)
			}
			return 0, d.refusal(cause.String(), cause.Own(), advice)
		}
	}
	ask.Ticket = nil
	d.Counts.Jobs++
	*j = Job{Account: jobs.Account{ID: id}, call: call, Raw: append(j.Raw[:0], r.Raw...), Named: append(j.Named[:0], r.Named...),
		Target: append(j.Target[:0], r.Target...), Fields: append(j.Fields[:0], r.Fields...), track: track,
		Repeat: uint32(r.Repeat), Trace: r.Trace, arrived: now, timer: j.timer, onTimer: j.onTimer,
		overdue: j.overdue, onOverdue: j.onOverdue, d: d, ask: ask, atDoor: !d.direct}
	j.rpc.j = j
	if j.onTimer == nil {
		j.onTimer, j.onOverdue = j.due, j.forgotten
	}
	d.l.At(&j.overdue, now+left+overdueAfter, j.onOverdue)
	if r.Timeout > 0 {
		j.ends = now + r.Timeout
	}
	owner := tenant
	if d.direct { // as in the simulator: equal names stand for equal text, whoever asks
		owner = -1
	}
	j.given = policy.Job{ID: id, Track: track, Tenant: tenant,
		Session: policy.SessionKey(d.key('s', owner, r.Session)),
		Prefix:  policy.PrefixKey(d.key('b', owner, r.Beginning)),
		Prompt:  r.Prompt, Shared: r.Shared, Cap: r.Most, Deadline: d.Time(now + left), Hint: policy.Nanos(r.Hint),
		Repeat: r.Repeat > 0}
	if d.direct {
		d.mod.JobArrived(d.Time(now), j.given)
	}
	return id, nil
}

// Left tells that a client is gone.
func (d *Dispatcher) Left(now loop.Nanos, id policy.JobID) {
	if j := d.jobs.Find(id); j != nil && !j.Answered() {
		d.answer(j, func() {}, &d.Counts.Left)
		d.left(now, j)
	}
}

// left tells the module that nothing more is owed, and ends a stream that nobody reads.
func (d *Dispatcher) left(now loop.Nanos, j *Job) {
	if j.atDoor {
		j.atDoor = false
		d.queue.Cancel(now, door.JobID(j.ID))
		d.settle(j)
		return
	}
	d.mod.ClientLeft(d.Time(now), j.ID)
	switch {
	case j.begun > 0:
		d.ended(now, j, policy.Recalled, true, policy.NoLoad)
	case j.sent != nil && j.sent.Stage() != Wired: // it is not to begin any more, also where what has begun may not be withdrawn
		d.ended(now, j, policy.NotSent, true, policy.NoLoad)
	}
	d.settle(j)
}

// Room lets an engine go on that was held back for its client.
func (d *Dispatcher) Room(now loop.Nanos, id policy.JobID) {
	j := d.jobs.Find(id)
	if j == nil || j.waits == 0 || j.sent == nil {
		return
	}
	n := j.waits
	j.waits, j.last = 0, now
	j.sent.Credit(n)
	d.l.Again()
}

// answer gives a job its final answer, if it has none yet.
func (d *Dispatcher) answer(j *Job, give func(), count *uint64) {
	if err := j.Answer(); err != nil {
		d.Counts.Guarded++
		d.log.Error("decision refused", "job", j.ID, "err", err)
		return
	}
	d.l.Cancel(&j.overdue)
	give()
	j.call = nil
	*count++
	d.over(j, count == &d.Counts.Honoured)
}

// over tells the door that a job which it let in has its answer.
func (d *Dispatcher) over(j *Job, served bool) {
	if j.let {
		j.let = false
		d.queue.Over(d.l.Now(), j.ask, served, j.tokens)
		if i := d.insideAt(j.ID); i >= 0 {
			d.inside = slices.Delete(d.inside, i, i+1)
		}
	}
}

// settle frees the place of a job for which nothing is owed, out or held.
func (d *Dispatcher) settle(j *Job) {
	if j.Done() {
		d.l.Cancel(&j.timer)
		d.l.Cancel(&j.overdue)
		d.jobs.Drop(j.ID)
	}
}

// ---- What the module decides.

func (d *Dispatcher) do(now loop.Nanos, what policy.Decision) {
	switch what.Verb {
	case policy.Wake:
		d.l.At(&d.wake, now+loop.Nanos(what.For), d.onWake)
		return
	case policy.Watch:
		d.exit.Watch(now)
		return
	case policy.Say:
		d.log.Info("module", "says", what.Text)
		return
	}
	j := d.jobs.Find(what.Job)
	if j == nil {
		d.Counts.Guarded++
		d.log.Error("decision about a job that is over", "job", what.Job, "verb", int(what.Verb))
		return
	}
	switch what.Verb {
	case policy.Launch:
		j.Kept = what.Kept
		j.Before = math.MaxInt64
		if what.Before > 0 {
			j.Before = int64(what.Before) - d.wall
		}
		d.launch(now, j, what.Host, int64(what.For))
	case policy.Recall:
		if shot, out := j.Out(); out && shot == what.Shot {
			d.Counts.Recalls++
			d.ended(now, j, policy.Recalled, false, policy.NoLoad)
		}
	case policy.Nack:
		no := front.Refusal{Why: "no engine could take it in time"}
		if d.insideAt(j.ID) >= 0 {
			d.queue.Unplaced()
		}
		no.After = min(int64(what.For), d.advises)
		if what.For > 0 && !d.direct { // that at least; the door books a place
			no = d.refusal(no.Why, false, d.queue.Again(now, j.ask, loop.Nanos(what.For)))
		}
		d.answer(j, func() { j.call.Nack(j.ID, no) }, &d.Counts.Nacked)
	case policy.Abandon:
		d.answer(j, func() { j.call.Abandon(j.ID, "its time is up") }, &d.Counts.Abandoned)
	case policy.LetGo:
		if at, held := j.Held(); held {
			j.LetGo()
			d.exit.LetGo(now, j, at, policy.Shot(j.Launches()-1))
		}
	default:
		panic(fmt.Sprintf("decision with unknown verb %d", what.Verb))
	}
	d.settle(j)
}

// launch sends a job to a host.
func (d *Dispatcher) launch(now loop.Nanos, j *Job, to policy.HostID, within int64) {
	shot, err := j.Launch()
	if err != nil {
		d.Counts.Guarded++
		d.log.Error("launch refused", "job", j.ID, "host", to, "err", err)
		return
	}
	d.Counts.Launches++
	if i := d.insideAt(j.ID); i >= 0 {
		d.inside = slices.Delete(d.inside, i, i+1)
		d.queue.Taken(now, j.ask)
	}
	j.Host, j.Sent, j.Within, j.sent = to, now, within, nil
	known := false
	if j.Reads, known = d.exit.Reads(to); known {
		j.ran = j.ran || !j.Reads
		d.l.At(&j.timer, now+within, j.onTimer)
		j.sent = d.exit.Launch(now, j, shot)
	}
	if j.sent == nil {
		d.ended(now, j, policy.NotSent, false, policy.NoLoad)
	}
}

// due is the timer of a job: its launch's time, or, once the answer streams, the time to look at it.
func (j *Job) due(now loop.Nanos) {
	d := j.d
	if j.begun == 0 {
		if _, out := j.Out(); out {
			d.Counts.Late++
			how := policy.Late
			switch j.sent.Stage() {
			case Queued: // others stood before it
				how = policy.NotSent
			case Connecting:
				how = policy.Unreachable
			}
			d.ended(now, j, how, false, policy.NoLoad)
			d.settle(j)
		}
		return
	}
	d.watchStream(now, j)
}

// forgotten is the dispatcher's own deadline of a job that has no answer yet and no stream. The module answers every job
// before; this guards against a fault by which it does not.
func (j *Job) forgotten(now loop.Nanos) {
	d := j.d
	_, out := j.Out()
	d.Counts.Overdue++
	d.log.Error("job without an answer at its deadline", "job", j.ID, "name", string(j.Named), "launches", j.Launches(), "out", out, "host", j.Host)
	id := j.ID
	d.cutShort(now, j, "its time is up")
	if j = d.jobs.Find(id); j != nil && out {
		d.ended(now, j, policy.Recalled, true, policy.NoLoad)
		d.settle(j)
	}
}

// watchStream has the pace of a running answer judged.
func (d *Dispatcher) watchStream(now loop.Nanos, j *Job) {
	t := &d.times[j.track]
	verdict, again := pace.Judge(now, pace.Stream{Begun: j.begun, Last: j.last, Gap: t.gap, Expected: t.expected,
		Ends: j.ends, Ahead: d.ahead, Hush: d.hush, Unread: j.waits > 0})
	if verdict == pace.GoesOn {
		d.l.At(&j.timer, again, j.onTimer)
		return
	}
	if !j.Answered() {
		d.answer(j, func() { j.call.Abandon(j.ID, verdict.String()) }, &d.Counts.Abandoned)
	}
	how := policy.Late
	if verdict == pace.Unread {
		how = policy.Recalled
	}
	d.ended(now, j, how, true, policy.NoLoad)
	d.settle(j)
}

// ---- How launches go.

// began tells of the first token.
func (d *Dispatcher) began(now loop.Nanos, j *Job) {
	shot, _ := j.Out()
	j.begun, j.last = now, now
	d.l.Cancel(&j.overdue)
	if j.let {
		d.queue.First(now, j.ask, now-j.arrived)
	}
	j.LetGo()
	d.mod.StreamBegan(d.Time(now), j.ID, shot, policy.Nanos(now-j.Sent))
	d.watchStream(now, j)
}

// ended tells how the launch that is out has ended; where the engine has not ended it, its stream is reset
// first, so that it is no longer out. The job may be over by this.
func (d *Dispatcher) ended(now loop.Nanos, j *Job, how policy.Outcome, over bool, load policy.Load) {
	shot, out := j.Out()
	if !out {
		return
	}
	d.l.Cancel(&j.timer)
	sent := j.sent
	lost := !j.Reads && j.begun == 0 && (sent == nil || !sent.Reached())
	cut := sent != nil && sent.End(now)
	// A read that was cut off may have ended all the same: what it left is let go.
	cut = j.Reads && (cut || how == policy.Broken || how == policy.Late || how == policy.Lapsed)
	j.sent, j.waits = nil, 0
	j.End(shot)
	if d.traces {
		d.log.Debug("launch over", "job", string(j.Named), "shot", shot, "host", j.Host, "read", j.Reads, "how", how, "sent", d.Time(j.Sent), "took", now-j.Sent,
			"begun", j.begun > 0, "answered", j.Answered())
	}
	switch how {
	case policy.Read:
		j.Hold(j.Host)
		j.ReadAt = now
	case policy.Broken:
		d.Counts.Broken++
	}
	if cut {
		d.exit.LetGo(now, j, j.Host, shot)
	}
	d.mod.LaunchEnded(d.Time(now), j.ID, shot, how, policy.Nanos(now-j.Sent), over || j.Answered(), load)
	if lost {
		since := policy.Never
		if _, held := j.Held(); held {
			since = d.Time(j.ReadAt)
		}
		d.mod.HeldSince(d.Time(now), j.ID, since)
	}
	if sent != nil {
		sent.Over(now)
	}
}

// Door gives what the clients' door counted.
func (d *Dispatcher) Door() grpc.Counts {
	if d.rpc == nil {
		return grpc.Counts{}
	}
	return d.rpc.Count()
}

// Known tells that a list of engines is known.
func (d *Dispatcher) Known() bool { return d.gate.Known }

// Add adds up counts.
func (c *Counts) Add(o Counts) {
	for _, f := range []struct {
		to   *uint64
		from uint64
	}{{&c.Jobs, o.Jobs}, {&c.Honoured, o.Honoured}, {&c.Nacked, o.Nacked}, {&c.Abandoned, o.Abandoned}, {&c.Left, o.Left},
		{&c.Refused, o.Refused}, {&c.Launches, o.Launches}, {&c.Recalls, o.Recalls}, {&c.Late, o.Late}, {&c.Broken, o.Broken},
		{&c.Releases, o.Releases}, {&c.ReleasesLost, o.ReleasesLost}, {&c.Tokens, o.Tokens}, {&c.LateReports, o.LateReports}, {&c.Reports, o.Reports},
		{&c.Guarded, o.Guarded}, {&c.Overdue, o.Overdue}, {&c.Pings, o.Pings}, {&c.DeadLinks, o.DeadLinks}} {
		*f.to += f.from
	}
}

// memory reads how much the process uses, now and then.
type memory struct {
	most   uint64 // 0 = not bounded
	used   uint64
	at     loop.Nanos
	sample [1]metrics.Sample
}

const memoryEvery = 100e6 // nanoseconds between two readings, each some microseconds

func (m *memory) inUse(now loop.Nanos) uint64 {
	if m.most > 0 && (m.at == 0 || now-m.at >= memoryEvery) {
		m.at, m.sample[0].Name = now, "/memory/classes/heap/objects:bytes"
		metrics.Read(m.sample[:])
		m.used = m.sample[0].Value.Uint64()
	}
	return m.used
}

// TenantView is how a tenant does at the door.
type TenantView struct {
	Name             string
	Weight           float64
	Waiting, Running int
	Counts           door.Counts
}

// View is a dispatcher's state as people see it.
type View struct {
	InHand, Clients, Waiting, Flows int
	Background, BackgroundOut       int     // waiting and at hand
	Spare                           float64 // so many may be at hand
	Counts                          Counts
	Door                            grpc.Counts
	Tenants                         []TenantView // in the settings' order; one without a name where they name none
}

// View gives the state of now.
func (d *Dispatcher) View() View {
	v := View{InHand: d.jobs.Len(), Clients: d.clients.Conns(), Waiting: d.queue.Waiting(), Flows: d.queue.Flows(), Counts: d.Counts,
		Background: d.queue.Background(), BackgroundOut: d.queue.Spare.Out(), Spare: d.queue.Spare.Allowance(),
		Door: d.Door()}
	for i, t := range d.terms {
		w, r := d.queue.Tenant(i)
		v.Tenants = append(v.Tenants, TenantView{Name: d.names[i], Weight: t.Weight, Waiting: w, Running: r, Counts: d.queue.Counts(i)})
	}
	return v
}

// Terms changes what tenants may do at the door, for jobs that wait too: all of them or, with an error, none. The
// tenants must be those of the start.
func (d *Dispatcher) Terms(s *setup.Dispatcher) error {
	if len(s.Tenants) != len(d.tenants) {
		return fmt.Errorf("%d tenants, want the %d of the start", len(s.Tenants), len(d.tenants))
	}
	for i, t := range s.Tenants {
		if n, ok := d.tenants[t.Name]; !ok || int(n) != i {
			return fmt.Errorf("tenant %q is new or in another place, want the tenants of the start", t.Name)
		}
	}
	terms := s.Door()
	for _, t := range terms {
		if err := t.Check(); err != nil {
			return err
		}
	}
	for i, t := range terms {
		if err := d.queue.SetTenant(i, t); err != nil {
			return err
		}
	}
	d.terms = terms
	return nil
}
