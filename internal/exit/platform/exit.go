// Package platform is the way to model hosts that speak the platform's protocol over HTTP/1.1, and to the platform's
// discovery. What becomes of launches is told to the dispatcher; what is decided about connections stands in
// decide/pool.
package platform

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"docksail/internal/decide/pool"
	"docksail/internal/dispatch"
	"docksail/internal/enlist"
	"docksail/internal/loop"
	"docksail/internal/order"
	"docksail/policy"
)

const (
	headMost   = 16 << 10  // of an answer
	chunkMost  = 64 << 10  // of a stream: events are a few hundred bytes
	smallMost  = 256 << 10 // of an answer that is no stream
	foundMost  = 256       // of what a read's answer tells
	usualReach = int64(250e6)
)

// Counts are what the exit counted since its start.
type Counts struct {
	Dialled, Reused, Unfit, Retired, NoRoom uint64
	Spoilt, Extra                           uint64 // answers that could not be read; bytes that belong to none
	Releases, ReleaseTries, ReleasesLost    uint64
	Reports, Lapsed                         uint64
	Freed                                   uint64     // states let go of beside a launch that may not have come to its host
	Rested                                  [12]uint64 // launches on connections used before, by how long those had rested: under 16 ms, 32, ...
	LapsedAt                                [12]uint64 // of these, the ones that lapsed
	News, Watches                           uint64
	Kept                                    Kept
}

// Kept compares, over the reads that ended well and told, what hosts had kept of prompts with what was expected. All but
// Reads are prompt tokens.
type Kept struct {
	Reads, Prompt, Shared uint64
	Expected, Found       uint64
	Missed                uint64 // expected and not found
	Unforeseen            uint64 // found and not expected
}

// read takes down one read.
func (k *Kept) read(prompt, shared, expected, found int64) {
	k.Reads++
	k.Prompt += uint64(prompt)
	k.Shared += uint64(shared)
	k.Expected += uint64(expected)
	k.Found += uint64(found)
	k.Missed += uint64(max(expected-found, 0))
	k.Unforeseen += uint64(max(found-expected, 0))
}

// Exit reaches the hosts on a loop.
type Exit struct {
	Counts Counts

	l        *loop.Loop
	d        *dispatch.Dispatcher
	log      *slog.Logger
	traces   bool // the log takes lines of single jobs
	zones    []string
	kinds    []string
	roles    []policy.Role
	keeper   pool.Keeper
	connect  int64
	most     int // connections
	n        int
	hosts    []*host // in the order in which they were first listed
	byName   map[string]*host
	byID     map[policy.ServerID]*host
	idle     order.Heap[*conn] // by since when
	releases map[policy.RequestID]*release
	list     discovery
	rng      *rand.Rand
	scratch  []byte
	ways     []pool.Way
	number   uint64
}

// New makes the way to the hosts for a dispatcher: at most so many connections, discovery at an address.
func New(l *loop.Loop, d *dispatch.Dispatcher, log *slog.Logger, m *enlist.Module, most int, discovery netip.AddrPort) *Exit {
	x := &Exit{l: l, d: d, log: log, traces: log.Enabled(context.Background(), slog.LevelDebug), zones: m.Zones, kinds: m.Kinds, roles: m.Roles, most: most, connect: int64(m.Connect),
		keeper: pool.Keeper{Idle: int64(m.Idle), Release: int64(m.Release)}, byName: make(map[string]*host),
		byID: make(map[policy.ServerID]*host), releases: make(map[policy.RequestID]*release)}
	if x.connect <= 0 {
		x.connect = usualReach
	}
	x.keeper.Connect = x.connect
	x.idle = order.Heap[*conn]{Place: func(c *conn) *int { return &c.place },
		Less: func(a, b *conn) bool { return a.since < b.since || a.since == b.since && a.number < b.number }}
	x.rng = rand.New(rand.NewPCG(m.Seed, 0))
	x.list.init(x, discovery, m.Asked)
	return x
}

// host is a model host of the list, and the connections to it.
type host struct {
	x       *Exit
	id      policy.ServerID
	name    string
	listed  Server // its entry of the list in force
	addr    netip.AddrPort
	role    policy.Role
	health  policy.Health
	started int64
	conns   []*conn
	heard   loop.Nanos  // last bytes from it
	load    policy.Load // its last report ...
	loadAt  loop.Nanos  // ... and when that came
}

// idOf gives a host's number by its name, the same at every dispatcher and in every life but for names whose hashes
// collide.
func (x *Exit) idOf(name string) policy.ServerID {
	id := policy.ServerID(xxhash.Sum64String(name))
	for x.byID[id] != nil {
		id++
	}
	return id
}

// Start implements dispatch.Exit.
func (x *Exit) Start(now loop.Nanos) { x.list.watch(now) }

// OnNews has f called with the first news of this process.
func (x *Exit) OnNews(f func()) { x.list.onNews = f }

// Watch implements dispatch.Exit.
func (x *Exit) Watch(now loop.Nanos) { x.list.watch(now) }

// Flush implements dispatch.Exit; what is written is queued already.
func (x *Exit) Flush() {}

// Idle implements dispatch.Exit: a release that is under way is seen to its end, which is bounded.
func (x *Exit) Idle() bool { return len(x.releases) == 0 }

// Close implements dispatch.Exit.
func (x *Exit) Close() {}

// Conns counts open connections to hosts.
func (x *Exit) Conns() int { return x.n }

// Hosts counts the hosts that are known.
func (x *Exit) Hosts() int { return len(x.hosts) }

// HostView is what crosses the sockets to a host.
type HostView struct {
	ID      policy.ServerID
	Name    string
	Reader  bool
	Out     int // launches on connections to it, or waiting for a release
	Idle    int // connections that carry nothing
	Load    policy.Load
	LoadAge int64 // nanoseconds since that report; -1 = none has come
}

// Each calls f for every host that is known.
func (x *Exit) Each(now loop.Nanos, f func(HostView)) {
	for _, h := range x.hosts {
		v := HostView{ID: h.id, Name: h.name, Reader: h.role == policy.Prefill, Load: h.load, LoadAge: -1}
		if h.load != policy.NoLoad {
			v.LoadAge = now - h.loadAt
		}
		for _, c := range h.conns {
			if c.j != nil {
				v.Out++
			} else if c.idle {
				v.Idle++
			}
		}
		for _, r := range x.releases {
			if r.next != nil && r.next.Host == h.id {
				v.Out++
			}
		}
		f(v)
	}
}

// Reads implements dispatch.Exit.
func (x *Exit) Reads(id policy.ServerID) (reads, known bool) {
	h := x.byID[id]
	return h != nil && h.role == policy.Prefill, h != nil
}

// Launch implements dispatch.Exit. A read waits until what was to be let go of for the job before is gone: a release
// that came after it would take its state away.
func (x *Exit) Launch(now loop.Nanos, j *dispatch.Job, shot policy.AttemptNumber) dispatch.Sent {
	if r := x.releases[j.ID]; r != nil && j.Reads {
		r.next, r.shot = j, shot
		return r
	}
	if c := x.send(now, j); c != nil {
		return c
	}
	return nil
}

// send has a connection to the job's host carry its launch; nil if the host takes none, as it may have begun to drain
// while the launch waited behind a release.
func (x *Exit) send(now loop.Nanos, j *dispatch.Job) *conn {
	h := x.byID[j.Host]
	if h == nil || h.health != policy.Serving {
		return nil
	}
	c := x.connTo(now, h)
	if c == nil {
		return nil
	}
	c.j = j
	if c.ready {
		c.writeLaunch(now)
	}
	return c
}

// connTo gives a connection that carries nothing: one that is at hand, else a new one; nil if there can be none.
func (x *Exit) connTo(now loop.Nanos, h *host) *conn {
	if c := h.fit(now); c != nil {
		x.Counts.Reused++
		x.idle.Take(c)
		x.l.Cancel(&c.timer)
		c.idle = false
		return c
	}
	if x.n >= x.most {
		if x.idle.Len() == 0 {
			x.Counts.NoRoom++
			return nil
		}
		x.idle.Min().retire()
	}
	c := &conn{x: x, h: h}
	c.onTimer = c.due
	x.number++
	c.number = x.number
	lc, err := x.l.Dial(h.addr, x.connect, c)
	if err != nil {
		x.log.Warn("host", "name", h.name, "err", err)
		return nil
	}
	x.Counts.Dialled++
	x.n++
	c.lc = lc
	h.conns = append(h.conns, c)
	return c
}

// fit gives the unused connection that was used last, if one is fit; what is found to have ended is dropped.
func (h *host) fit(now loop.Nanos) *conn {
	for {
		var best *conn
		for _, c := range h.conns {
			if c.idle && h.x.keeper.Fit(now, c.since) && (best == nil || c.since > best.since) {
				best = c
			}
		}
		if best == nil || best.lc.Quiet() {
			return best
		}
		h.x.Counts.Unfit++
		best.retire()
	}
}

// distrust drops the unused connections to a host.
func (h *host) distrust() {
	for _, c := range slices.Clone(h.conns) {
		if c.idle {
			c.retire()
		}
	}
}

// unlaunch ends launches to the host whose connections are not up yet, or that wait behind a release: it drains, and by
// then it may be too late.
func (h *host) unlaunch(now loop.Nanos) {
	for _, id := range slices.Sorted(maps.Keys(h.x.releases)) { // in an order that does not change from run to run
		r := h.x.releases[id]
		if j := r.next; j != nil && j.Host == h.id {
			r.next = nil
			h.x.d.Moved(now, j, nil)
		}
	}
	for _, c := range slices.Clone(h.conns) {
		if j := c.j; j != nil && !c.ready {
			c.j = nil
			c.lc.Close()
			c.leave()
			h.x.d.Finish(now, j, policy.NotSent, "", policy.NoLoad)
		}
	}
}

// release is what is to be let go of for a job.
type release struct {
	x       *Exit
	job     policy.RequestID
	name    []byte
	begun   loop.Nanos
	tried   []policy.ServerID
	on      *conn
	timer   loop.Timer
	onTimer func(loop.Nanos)
	next    *dispatch.Job // a read of the job that waits for this
	shot    policy.AttemptNumber
}

// LetGo implements dispatch.Exit: any host that runs takes a release.
func (x *Exit) LetGo(now loop.Nanos, j *dispatch.Job, at policy.ServerID, _ policy.AttemptNumber) {
	if r := x.releases[j.ID]; r != nil { // one that is under way may have passed too early
		r.begun, r.tried = now, r.tried[:0]
		r.drop()
		r.try(now)
		return
	}
	x.Counts.Releases++
	if !pool.MayRelease(len(x.releases)) {
		x.Counts.ReleasesLost++
		return
	}
	r := &release{x: x, job: j.ID, name: slices.Clone(j.Named), begun: now}
	r.onTimer = r.again
	x.releases[j.ID] = r
	r.try(now)
}

// drop takes the release off its connection.
func (r *release) drop() {
	if c := r.on; c != nil {
		r.on, c.r = nil, nil
		c.lc.Close()
		c.leave()
	}
}

// try sends the release by a host.
func (r *release) try(now loop.Nanos) {
	x := r.x
	x.ways = x.ways[:0]
	for _, h := range x.hosts {
		gone := h.health == policy.Gone
		x.ways = append(x.ways, pool.Way{Heard: h.heard, Ready: !gone && h.fit(now) != nil,
			Tried: slices.Contains(r.tried, h.id), Gone: gone})
	}
	i := pool.Choose(x.ways)
	if i < 0 || now >= x.keeper.GiveUp(r.begun) {
		x.Counts.ReleasesLost++
		r.done(now)
		return
	}
	h := x.hosts[i]
	if x.ways[i].Tried {
		r.tried = r.tried[:0] // all have been tried: once more round
	}
	r.tried = append(r.tried, h.id)
	x.Counts.ReleaseTries++
	x.l.At(&r.timer, now+x.keeper.Try(), r.onTimer)
	c := x.connTo(now, h)
	if c == nil {
		return // again when the time is up
	}
	r.on, c.r = c, r
	if c.ready {
		c.writeRelease()
	}
}

// again is when a host has not answered in time: another is asked.
func (r *release) again(now loop.Nanos) {
	r.drop()
	r.try(now)
}

// done ends it, answered or given up.
func (r *release) done(now loop.Nanos) {
	x := r.x
	if x.traces {
		x.log.Debug("release over", "job", string(r.name), "tries", r.tried, "took", now-r.begun)
	}
	x.l.Cancel(&r.timer)
	delete(x.releases, r.job)
	r.on = nil
	if j := r.next; j != nil {
		r.next = nil
		var s dispatch.Sent
		if c := x.send(now, j); c != nil {
			s = c
		}
		x.d.Moved(now, j, s)
		x.l.Again()
	}
}

// End implements dispatch.Sent for a read that waits.
func (r *release) End(loop.Nanos) bool {
	r.next = nil
	return false
}

// Over implements dispatch.Sent.
func (r *release) Over(loop.Nanos) {}

// Credit implements dispatch.Sent.
func (r *release) Credit(int) {}

// Stage implements dispatch.Sent.
func (r *release) Stage() dispatch.Stage { return dispatch.Queued }

// Reached implements dispatch.Sent.
func (r *release) Reached() bool { return false }
