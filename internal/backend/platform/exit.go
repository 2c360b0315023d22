// Package platform is the way to model servers that speak the platform's protocol over HTTP/1.1, and to the platform's
// discovery. What becomes of attempts is told to the dispatcher; what is decided stands in decide/effects (attempts, releases) and
// decide/serverconn (connections).
package platform

import (
	"context"
	"docksail/internal/decide/inflight"
	"docksail/internal/decide/serverconn"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/indexedheap"
	"docksail/internal/platformconfig"
	"docksail/policy"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
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
	Confirmed, Unconfirmed, WatchesDropped     uint64 // ends of attempts given up that their servers have shown, or not; connections given up that were to show one
	ReleasesRepeated                           uint64 // sent once more, as something may have been left after the one before
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

	loop        *eventloop.Loop
	dispatcher  *dispatch.Dispatcher
	log         *slog.Logger
	debug       bool // the log takes lines of single requests
	zones       []string
	kinds       []string
	roles       []policy.Role
	keeper      serverconn.Keeper
	connect     int64
	maxConns    int // connections
	conns       int
	servers     []*server // in the order in which they were first listed
	byName      map[string]*server
	byID        map[policy.ServerID]*server
	idle        indexedheap.Heap[*conn] // by since when
	settlements map[policy.RequestID]*settlement
	releaseTime int64
	longestWait int64 // of the classes: a server may work for so long on what was given up
	discovery   discovery
	rng         *rand.Rand
	scratch     []byte
	candidates  []serverconn.Candidate
	number      uint64
}

// New makes the way to the servers for a dispatcher: at most so many connections, discovery at an address.
func New(l *eventloop.Loop, d *dispatch.Dispatcher, log *slog.Logger, m *platformconfig.Config, most int, discovery netip.AddrPort) *Exit {
	x := &Exit{
		loop: l, dispatcher: d, log: log, debug: log.Enabled(context.Background(), slog.LevelDebug), zones: m.Zones, kinds: m.Kinds, roles: m.Roles, maxConns: most, connect: int64(m.ConnectTimeout),
		keeper: serverconn.Keeper{Idle: int64(m.IdleTimeout)}, releaseTime: int64(m.ReleaseTime), byName: make(map[string]*server),
		byID: make(map[policy.ServerID]*server), settlements: make(map[policy.RequestID]*settlement),
	}
	if x.connect <= 0 {
		x.connect = usualReach
	}
	x.keeper.Connect = x.connect
	x.idle = indexedheap.Heap[*conn]{
		Place: func(c *conn) *int { return &c.heapIndex },
		Less: func(a, b *conn) bool {
			return a.idleSince < b.idleSince || a.idleSince == b.idleSince && a.number < b.number
		},
	}
	for _, class := range m.Classes {
		x.longestWait = max(x.longestWait, int64(class.Timeout))
	}
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
	heardAt   eventloop.Nanos // last bytes from it
	load      policy.Load     // its last report ...
	loadAt    eventloop.Nanos // ... and when that came
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
func (x *Exit) Start(now eventloop.Nanos) { x.discovery.watch(now) }

// OnNews has f called with the first news of this process.
func (x *Exit) OnNews(f func()) { x.discovery.onNews = f }

// Watch implements dispatch.Exit.
func (x *Exit) Watch(now eventloop.Nanos) { x.discovery.watch(now) }

// Flush implements dispatch.Exit; what is written is queued already.
func (x *Exit) Flush() {}

// Idle implements dispatch.Exit: what is to be released is seen to its end, which is bounded.
func (x *Exit) Idle() bool {
	for _, s := range x.settlements {
		if s.account.Wanted() {
			return false
		}
	}
	return true
}

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
func (x *Exit) Each(now eventloop.Nanos, f func(ServerView)) {
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
		for _, s := range x.settlements {
			if s.next != nil && s.next.Server == srv.id {
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
func (x *Exit) Send(now eventloop.Nanos, req *dispatch.Request, _ policy.AttemptNumber) dispatch.Attempt {
	if s := x.settlements[req.ID]; s != nil && req.Prefill && s.underWay() {
		s.next = req
		s.actSoon(now) // not at once: the dispatcher does not know yet that the attempt is held here
		return s
	}
	if c := x.send(now, req); c != nil {
		return c
	}
	return nil
}

// send has a connection to the request's server carry its attempt; nil if the server takes none, as it may have begun to drain
// while the attempt waited behind a release.
func (x *Exit) send(now eventloop.Nanos, req *dispatch.Request) *conn {
	srv := x.byID[req.Server]
	if srv == nil || srv.health != policy.Serving {
		return nil
	}
	c := x.connTo(now, srv, serverconn.AttemptConns(x.maxConns), serverconn.MayReuse(req.Stale))
	if c == nil {
		return nil
	}
	c.request = req
	kind := inflight.Write
	if req.Prefill {
		kind = inflight.Read
	}
	c.carry(kind)
	c.armEarlyRelease(now)
	if c.ready && !c.writeAttempt(now) {
		return nil
	}
	return c
}

// connTo gives a connection that carries nothing: one that is at hand, if it may be used, else a new one, of so many at most; nil if there can
// be none.
func (x *Exit) connTo(now eventloop.Nanos, srv *server, most int, reuse bool) *conn {
	var c *conn
	if reuse {
		c = srv.usableConn(now)
	}
	if c != nil {
		x.Counts.Reused++
		x.idle.Take(c)
		x.loop.Cancel(&c.timer)
		c.idle = false
		return c
	}
	if x.conns >= most && !x.makeRoom(now) {
		x.Counts.NoRoom++
		return nil
	}
	c = &conn{exit: x, server: srv}
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

// makeRoom ends a connection that carries nothing: one that rests, else one that is only watched.
func (x *Exit) makeRoom(now eventloop.Nanos) bool {
	if x.idle.Len() > 0 {
		x.idle.Min().retire()
		return true
	}
	var oldest *conn
	for _, s := range x.settlements {
		for _, c := range s.watched {
			if oldest == nil || c.number < oldest.number {
				oldest = c
			}
		}
	}
	if oldest == nil {
		return false
	}
	x.Counts.WatchesDropped++
	oldest.unwatch(now, "its descriptor is needed")
	return true
}

// restingConn gives the unused connection that was used last, if one may be used again; it may have ended unseen.
func (srv *server) restingConn(now eventloop.Nanos) (best *conn) {
	for _, c := range srv.conns {
		if c.idle && srv.x.keeper.Usable(now, c.idleSince) && (best == nil || c.idleSince > best.idleSince) {
			best = c
		}
	}
	return best
}

// usableConn gives the unused connection that was used last, if one is fit; what is found to have ended is dropped.
func (srv *server) usableConn(now eventloop.Nanos) *conn {
	for {
		best := srv.restingConn(now)
		if best == nil || best.conn.Quiet() {
			return best
		}
		srv.x.Counts.Unusable++
		best.retire()
	}
}

// unwatchAll gives up the connections that were to show the end of an attempt: the server is gone, and what it held with it.
func (srv *server) unwatchAll(now eventloop.Nanos) {
	for _, c := range slices.Clone(srv.conns) {
		if c.settles != nil {
			c.unwatch(now, "its server is gone")
		}
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
func (srv *server) endUnsent(now eventloop.Nanos) {
	for _, id := range slices.Sorted(maps.Keys(srv.x.settlements)) { // in an order that does not change from run to run
		s := srv.x.settlements[id]
		if req := s.next; req != nil && req.Server == srv.id {
			s.next = nil
			srv.x.dispatcher.Reassigned(now, req, nil)
		}
	}
	for _, c := range slices.Clone(srv.conns) {
		if req := c.request; req != nil && !c.ready {
			c.drop()
			srv.x.dispatcher.Finish(now, req, policy.NotSent, "", policy.NoLoad)
		}
	}
}
