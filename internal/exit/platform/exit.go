// Package platform is the way to model servers that speak the platform's protocol over HTTP/1.1, and to the platform's
// discovery. What becomes of attempts is told to the dispatcher; what is decided about connections stands in
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

	"docksail/internal/decide/effects"
	"docksail/internal/decide/serverconn"
	"docksail/internal/dispatch"
	"docksail/internal/loop"
	"docksail/internal/order"
	"docksail/internal/platformconfig"
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
	Dialled, Reused, Unusable, Retired, NoRoom uint64
	InvalidAnswers, ExtraBytes                 uint64 // answers that could not be read; bytes that belong to none
	Releases, ReleaseTries, ReleasesLost       uint64
	ReleasesRefused                            uint64 // answered by a server with something else than that it was done
	ReleasesLate                               uint64 // answered after the time in which the state had to be gone
	ReleaseSlowest                             int64  // the longest that one took, nanoseconds
	Violations                                 uint64 // changes that the rules forbid: faults of the program
	Reports, StaleConnections                  uint64
	ReleasedEarly                              uint64     // states released beside an attempt that may not have come to its server
	Rested                                     [12]uint64 // attempts on connections used before, by how long those had rested: under 16 ms, 32, ...
	StaleAfter                                 [12]uint64 // of these, the ones that lapsed
	ListUpdates, Watches                       uint64
	PrefixCache                                PrefixCache
}

// PrefixCache compares, over the reads that ended well and told, what servers had kept of prompts with what was expected. All but
// Reads are prompt tokens.
type PrefixCache struct {
	Reads, Prompt, Shared uint64
	Expected, Found       uint64
	Missed                uint64 // expected and not found
	Unforeseen            uint64 // found and not expected
}

// read takes down one read.
func (k *PrefixCache) read(prompt, shared, expected, found int64) {
	k.Reads++
	k.Prompt += uint64(prompt)
	k.Shared += uint64(shared)
	k.Expected += uint64(expected)
	k.Found += uint64(found)
	k.Missed += uint64(max(expected-found, 0))
	k.Unforeseen += uint64(max(found-expected, 0))
}

// Exit reaches the servers on a loop.
type Exit struct {
	Counts Counts

	loop       *loop.Loop
	dispatcher *dispatch.Dispatcher
	log        *slog.Logger
	debug      bool // the log takes lines of single requests
	zones      []string
	kinds      []string
	roles      []policy.Role
	keeper     serverconn.Keeper
	connect    int64
	maxConns   int // connections
	conns      int
	servers    []*server // in the order in which they were first listed
	byName     map[string]*server
	byID       map[policy.ServerID]*server
	idle       order.Heap[*conn] // by since when
	releases   map[policy.RequestID]*release
	discovery  discovery
	rng        *rand.Rand
	scratch    []byte
	ways       []serverconn.Candidate
	number     uint64
}

// New makes the way to the servers for a dispatcher: at most so many connections, discovery at an address.
func New(l *loop.Loop, d *dispatch.Dispatcher, log *slog.Logger, m *platformconfig.Config, most int, discovery netip.AddrPort) *Exit {
	x := &Exit{loop: l, dispatcher: d, log: log, debug: log.Enabled(context.Background(), slog.LevelDebug), zones: m.Zones, kinds: m.Kinds, roles: m.Roles, maxConns: most, connect: int64(m.ConnectTimeout),
		keeper: serverconn.Keeper{Idle: int64(m.IdleTimeout), Release: int64(m.ReleaseTime)}, byName: make(map[string]*server),
		byID: make(map[policy.ServerID]*server), releases: make(map[policy.RequestID]*release)}
	if x.connect <= 0 {
		x.connect = usualReach
	}
	x.keeper.Connect = x.connect
	x.idle = order.Heap[*conn]{Place: func(c *conn) *int { return &c.heapIndex },
		Less: func(a, b *conn) bool {
			return a.idleSince < b.idleSince || a.idleSince == b.idleSince && a.number < b.number
		}}
	x.rng = rand.New(rand.NewPCG(m.Seed, 0))
	x.discovery.init(x, discovery, m.ListOnRequest)
	return x
}

// server is a model server of the list, and the connections to it.
type server struct {
	x         *Exit
	id        policy.ServerID
	name      string
	entry     Server // its entry of the list in force
	addr      netip.AddrPort
	role      policy.Role
	health    policy.Health
	startedAt int64
	conns     []*conn
	heardAt   loop.Nanos  // last bytes from it
	load      policy.Load // its last report ...
	loadAt    loop.Nanos  // ... and when that came
}

// idOf gives a server's number by its name, the same at every dispatcher and in every life but for names whose hashes
// collide.
func (x *Exit) idOf(name string) policy.ServerID {
	id := policy.ServerID(xxhash.Sum64String(name))
	for x.byID[id] != nil {
		id++
	}
	return id
}

// Start implements dispatch.Exit.
func (x *Exit) Start(now loop.Nanos) { x.discovery.watch(now) }

// OnNews has f called with the first news of this process.
func (x *Exit) OnNews(f func()) { x.discovery.onNews = f }

// Watch implements dispatch.Exit.
func (x *Exit) Watch(now loop.Nanos) { x.discovery.watch(now) }

// Flush implements dispatch.Exit; what is written is queued already.
func (x *Exit) Flush() {}

// Idle implements dispatch.Exit: a release that is under way is seen to its end, which is bounded.
func (x *Exit) Idle() bool { return len(x.releases) == 0 }

// Close implements dispatch.Exit.
func (x *Exit) Close() {}

// Conns counts open connections to servers.
func (x *Exit) Conns() int { return x.conns }

// Servers counts the servers that are known.
func (x *Exit) Servers() int { return len(x.servers) }

// ServerView is what crosses the sockets to a server.
type ServerView struct {
	ID      policy.ServerID
	Name    string
	Prefill bool
	Out     int // attempts on connections to it, or waiting for a release
	Idle    int // connections that carry nothing
	Load    policy.Load
	LoadAge int64 // nanoseconds since that report; -1 = none has come
}

// Each calls f for every server that is known.
func (x *Exit) Each(now loop.Nanos, f func(ServerView)) {
	for _, srv := range x.servers {
		v := ServerView{ID: srv.id, Name: srv.name, Prefill: srv.role == policy.Prefill, Load: srv.load, LoadAge: -1}
		if srv.load != policy.NoLoad {
			v.LoadAge = now - srv.loadAt
		}
		for _, c := range srv.conns {
			if c.request != nil {
				v.Out++
			} else if c.idle {
				v.Idle++
			}
		}
		for _, r := range x.releases {
			if r.next != nil && r.next.Server == srv.id {
				v.Out++
			}
		}
		f(v)
	}
}

// IsPrefill implements dispatch.Exit.
func (x *Exit) IsPrefill(id policy.ServerID) (reads, known bool) {
	srv := x.byID[id]
	return srv != nil && srv.role == policy.Prefill, srv != nil
}

// Send implements dispatch.Exit. A read waits until what was to be released for the request before is gone: a release
// that came after it would take its state away.
func (x *Exit) Send(now loop.Nanos, req *dispatch.Request, attempt policy.AttemptNumber) dispatch.Attempt {
	if r := x.releases[req.ID]; r != nil && req.Prefill {
		r.next, r.nextAttempt = req, attempt
		return r
	}
	if c := x.send(now, req); c != nil {
		return c
	}
	return nil
}

// send has a connection to the request's server carry its attempt; nil if the server takes none, as it may have begun to drain
// while the attempt waited behind a release.
func (x *Exit) send(now loop.Nanos, req *dispatch.Request) *conn {
	srv := x.byID[req.Server]
	if srv == nil || srv.health != policy.Serving {
		return nil
	}
	c := x.connTo(now, srv)
	if c == nil {
		return nil
	}
	c.request = req
	c.carry(effects.Write)
	if req.Prefill {
		c.effect.Kind = effects.Read
	}
	if c.ready {
		c.writeAttempt(now)
	}
	return c
}

// connTo gives a connection that carries nothing: one that is at hand, else a new one; nil if there can be none.
func (x *Exit) connTo(now loop.Nanos, srv *server) *conn {
	if c := srv.usableConn(now); c != nil {
		x.Counts.Reused++
		x.idle.Take(c)
		x.loop.Cancel(&c.timer)
		c.idle = false
		return c
	}
	if x.conns >= x.maxConns {
		if x.idle.Len() == 0 {
			x.Counts.NoRoom++
			return nil
		}
		x.idle.Min().retire()
	}
	c := &conn{exit: x, server: srv}
	c.onTimer = c.due
	x.number++
	c.number = x.number
	lc, err := x.loop.Dial(srv.addr, x.connect, c)
	if err != nil {
		x.log.Warn("server", "name", srv.name, "err", err)
		return nil
	}
	x.Counts.Dialled++
	x.conns++
	c.conn = lc
	srv.conns = append(srv.conns, c)
	return c
}

// usableConn gives the unused connection that was used last, if one is fit; what is found to have ended is dropped.
func (srv *server) usableConn(now loop.Nanos) *conn {
	for {
		var best *conn
		for _, c := range srv.conns {
			if c.idle && srv.x.keeper.Usable(now, c.idleSince) && (best == nil || c.idleSince > best.idleSince) {
				best = c
			}
		}
		if best == nil || best.conn.Quiet() {
			return best
		}
		srv.x.Counts.Unusable++
		best.retire()
	}
}

// closeIdle drops the unused connections to a server.
func (srv *server) closeIdle() {
	for _, c := range slices.Clone(srv.conns) {
		if c.idle {
			c.retire()
		}
	}
}

// endUnsent ends attempts to the server whose connections are not up yet, or that wait behind a release: it drains, and by
// then it may be too late.
func (srv *server) endUnsent(now loop.Nanos) {
	for _, id := range slices.Sorted(maps.Keys(srv.x.releases)) { // in an order that does not change from run to run
		r := srv.x.releases[id]
		if req := r.next; req != nil && req.Server == srv.id {
			r.next = nil
			srv.x.dispatcher.Reassigned(now, req, nil)
		}
	}
	for _, c := range slices.Clone(srv.conns) {
		if req := c.request; req != nil && !c.ready {
			c.abandon()
			c.request = nil
			c.conn.Close()
			c.leave()
			srv.x.dispatcher.Finish(now, req, policy.NotSent, "", policy.NoLoad)
		}
	}
}

// release is what is to be released for a request.
type release struct {
	exit        *Exit
	request     policy.RequestID
	name        []byte
	beganAt     loop.Nanos
	tried       []policy.ServerID
	conn        *conn
	timer       loop.Timer
	onTimer     func(loop.Nanos)
	next        *dispatch.Request // a read of the request that waits for this
	nextAttempt policy.AttemptNumber
}

// Release implements dispatch.Exit: any server that runs takes a release.
func (x *Exit) Release(now loop.Nanos, req *dispatch.Request, at policy.ServerID, _ policy.AttemptNumber) {
	if r := x.releases[req.ID]; r != nil { // one that is under way may have passed too early
		r.beganAt, r.tried = now, r.tried[:0]
		r.drop()
		r.try(now)
		return
	}
	x.Counts.Releases++
	if !serverconn.MayRelease(len(x.releases)) {
		x.releaseLost(req.ClientID, "too many are under way", nil, 0)
		return
	}
	r := &release{exit: x, request: req.ID, name: slices.Clone(req.ClientID), beganAt: now}
	r.onTimer = r.again
	x.releases[req.ID] = r
	r.try(now)
}

// drop takes the release off its connection.
func (r *release) drop() {
	if c := r.conn; c != nil {
		c.abandon()
		r.conn, c.release = nil, nil
		c.conn.Close()
		c.leave()
	}
}

// try sends the release by a server.
func (r *release) try(now loop.Nanos) {
	x := r.exit
	x.ways = x.ways[:0]
	for _, srv := range x.servers {
		gone := srv.health == policy.Gone
		x.ways = append(x.ways, serverconn.Candidate{Heard: srv.heardAt, Ready: !gone && srv.usableConn(now) != nil,
			Tried: slices.Contains(r.tried, srv.id), Gone: gone})
	}
	i := serverconn.Choose(x.ways)
	if i < 0 || now >= x.keeper.ReleaseDeadline(r.beganAt) {
		x.releaseLost(r.name, "no server has answered in time", r.tried, now-r.beganAt)
		r.done(now)
		return
	}
	srv := x.servers[i]
	if x.ways[i].Tried {
		r.tried = r.tried[:0] // all have been tried: once more round
	}
	r.tried = append(r.tried, srv.id)
	x.Counts.ReleaseTries++
	x.loop.At(&r.timer, now+x.keeper.ReleaseTimeout(), r.onTimer)
	c := x.connTo(now, srv)
	if c == nil {
		return // again when the time is up
	}
	r.conn, c.release = c, r
	c.carry(effects.Release)
	if c.ready {
		c.writeRelease()
	}
}

// again is when a server has not answered in time: another is asked.
func (r *release) again(now loop.Nanos) {
	r.drop()
	r.try(now)
}

// answered is when a server has answered the release.
func (r *release) answered(now loop.Nanos, by *server, status int) {
	x, took := r.exit, now-r.beganAt
	if status/100 != 2 {
		x.Counts.ReleasesRefused++
		x.log.Info("release refused", "request", string(r.name), "server", by.name, "status", status)
	}
	x.Counts.ReleaseSlowest = max(x.Counts.ReleaseSlowest, took)
	if took > x.keeper.Release+effects.HeldSlack {
		x.Counts.ReleasesLate++
		x.log.Warn("release late", "request", string(r.name), "server", by.name, "took", took, "tries", r.tried)
	}
	if x.debug {
		x.log.Debug("release over", "request", string(r.name), "server", by.name, "tries", r.tried, "took", took)
	}
	r.done(now)
}

// releaseLost takes down that a state is left to the servers' own time.
func (x *Exit) releaseLost(name []byte, why string, tried []policy.ServerID, took int64) {
	x.Counts.ReleasesLost++
	x.log.Warn("release lost", "request", string(name), "why", why, "tries", tried, "took", took)
}

// done ends it, answered or given up.
func (r *release) done(now loop.Nanos) {
	x := r.exit
	x.loop.Cancel(&r.timer)
	delete(x.releases, r.request)
	r.conn = nil
	if req := r.next; req != nil {
		r.next = nil
		var s dispatch.Attempt
		if c := x.send(now, req); c != nil {
			s = c
		}
		x.dispatcher.Reassigned(now, req, s)
		x.loop.Again()
	}
}

// End implements dispatch.Sent for a read that waits.
func (r *release) End(loop.Nanos) bool {
	r.next = nil
	return false
}

// Ended implements dispatch.Sent.
func (r *release) Ended(loop.Nanos) {}

// Credit implements dispatch.Sent.
func (r *release) Credit(int) {}

// Stage implements dispatch.Sent.
func (r *release) Stage() dispatch.Stage { return dispatch.Queued }

// Reached implements dispatch.Sent.
func (r *release) Reached() bool { return false }
