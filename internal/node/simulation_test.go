package node

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	exit "docksail/internal/exit/platform"
	"docksail/internal/loop"
)

// watchHead begins the answer to a watch.
const watchHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

// noContent answers a release.
const noContent = "HTTP/1.1 204 No Content\r\n\r\n"

// simulation is a dispatcher between scripted peers in simulated time: nothing happens but what the test has happen, and
// a wait takes no time, so that what depends on time has the same verdict on any machine.
type simulation struct {
	t         *testing.T
	world     *loop.World
	loop      *loop.Loop // the dispatcher's
	node      *Node
	told      *Told
	discovery *simulatedPeer
	servers   []exit.Server
	terms     []string // pieces of the settings and what stands in their place, pairwise
	addresses byte     // given out so far
}

const (
	simulationStart = 1_700_000_000_000_000_000 // Unix nanoseconds
	simulationDelay = 100 * time.Microsecond    // of bytes on their way
	simulationPort  = 80                        // of every peer
	// simulationAhead ends a wait for what does not come, in simulated time.
	simulationAhead = 20 * time.Second
)

func newSimulation(t *testing.T, terms ...string) *simulation {
	s := &simulation{t: t, world: loop.NewWorld(simulationStart, int64(simulationDelay)), terms: terms}
	s.discovery = s.peer()
	return s
}

// address gives the next address of the world.
func (s *simulation) address() netip.Addr {
	s.addresses++
	return netip.AddrFrom4([4]byte{127, 0, 1, s.addresses})
}

// peer makes a scripted server.
func (s *simulation) peer() *simulatedPeer {
	s.t.Helper()
	p := &simulatedPeer{s: s, addr: netip.AddrPortFrom(s.address(), simulationPort)}
	p.loop = s.world.Loop(p.addr.Addr(), nil)
	_, err := p.loop.Listen(p.addr, false, func(c *loop.Conn, _ netip.AddrPort) loop.Handler {
		conn := &simulatedConn{s: s, peer: p, loop: p.loop, conn: c}
		p.conns = append(p.conns, conn)
		return conn
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return p
}

// server makes a scripted model server and adds it to the list.
func (s *simulation) server(name, kind string) *simulatedPeer {
	p := s.peer()
	s.servers = append(s.servers, exit.Server{ID: name, Addr: p.addr.String(), Zone: "z", Kind: kind, State: "Ready"})
	return p
}

// start puts the dispatcher into service. Discovery takes its watch, and has told nothing yet.
func (s *simulation) start() (watch *simulatedConn) {
	s.t.Helper()
	s.told = &Told{Name: "n0", Listen: netip.AddrPortFrom(s.address(), simulationPort), Discovery: s.discovery.addr,
		Seed: "8c1f30d27a5be964", Settings: json.RawMessage(strings.NewReplacer(s.terms...).Replace(settings))}
	s.told.Limits.Sockets, s.told.Limits.Memory = 1024, 96
	s.told.Known = exit.List{Version: 41, Full: true, Servers: s.servers}
	s.loop = s.world.Loop(s.told.Listen.Addr(), nil)
	var err error
	if s.node, err = New(s.loop, s.told, 1, slog.New(slog.DiscardHandler)); err != nil {
		s.t.Fatal(err)
	}
	s.loop.SetRound(s.node.d.Round)
	s.loop.Post(func() {})
	watch = s.discovery.accept()
	watch.request()
	return watch
}

// startInService is start with discovery's first word, after which clients are taken.
func (s *simulation) startInService() (watch *simulatedConn) {
	s.t.Helper()
	watch = s.start()
	watch.send(watchHead)
	s.tell(watch, exit.List{Version: 42, Full: true, Servers: s.servers})
	return watch
}

// run has time pass.
func (s *simulation) run(span time.Duration) { s.world.Run(s.world.Now() + int64(span)) }

// until has time pass until something is so.
func (s *simulation) until(what string, is func() bool) {
	s.t.Helper()
	for end := s.world.Now() + int64(simulationAhead); !is(); s.run(simulationDelay) {
		if s.world.Now() > end {
			s.t.Fatalf("%s: not within %v", what, simulationAhead)
		}
	}
}

// since tells how much time has passed since a time of the world.
func (s *simulation) since(at int64) time.Duration { return time.Duration(s.world.Now() - at) }

// news counts what discovery has told so far.
func (s *simulation) news() uint64 { return s.node.out.Counts.News }

// tell sends a list over a watch and waits until it has been taken.
func (s *simulation) tell(watch *simulatedConn, list exit.List) {
	s.t.Helper()
	had := s.news()
	watch.send(chunk(listText(list)))
	s.until("the list is taken", func() bool { return s.news() > had })
}

// reload has the dispatcher look for discovery at another peer.
func (s *simulation) reload(p *simulatedPeer) {
	changed := *s.told
	changed.Discovery = p.addr
	s.node.Reload(&changed)
}

// dial has a client connect to the dispatcher; what it sends meanwhile waits.
func (s *simulation) dial() *simulatedConn {
	c := &simulatedConn{s: s}
	c.loop = s.world.Loop(s.address(), nil)
	c.loop.Post(func() { c.conn, _ = c.loop.Dial(s.told.Listen, int64(simulationAhead), c) })
	return c
}

// client connects a client to the dispatcher.
func (s *simulation) client() *simulatedConn {
	s.t.Helper()
	c := s.dial()
	s.until("the client is connected", func() bool { return c.opened })
	return c
}

// out counts the attempts that are out to a server.
func (s *simulation) out(name string) int {
	count := 0
	s.node.out.Each(s.loop.Now(), func(h exit.HostView) {
		if h.Name == name {
			count = h.Out
		}
	})
	return count
}

// draining gives a server's entry with the state in which it takes nothing new.
func (s *simulation) draining(name string) exit.Server {
	for _, server := range s.servers {
		if server.ID == name {
			server.State = "Terminating"
			return server
		}
	}
	s.t.Fatalf("no server %q", name)
	return exit.Server{}
}

// wantRefused asks for something, which no server may be there for.
func (s *simulation) wantRefused() {
	s.t.Helper()
	client := s.client()
	client.send(request(jobName(99)))
	if status := client.expect("\r\n"); !strings.Contains(status, " 503 ") {
		s.t.Errorf("the client got %q, want 503", status)
	}
}

// simulatedPeer is a scripted server in simulated time.
type simulatedPeer struct {
	s     *simulation
	addr  netip.AddrPort
	loop  *loop.Loop
	conns []*simulatedConn // that nobody has taken yet
	reply string           // to every request; empty = the test answers
}

// accept gives the next connection.
func (p *simulatedPeer) accept() *simulatedConn {
	p.s.t.Helper()
	p.s.until("a connection comes", func() bool { return len(p.conns) > 0 })
	c := p.conns[0]
	p.conns = p.conns[1:]
	return c
}

// idle tells that no connection waits to be taken.
func (p *simulatedPeer) idle() bool { return len(p.conns) == 0 }

// wantNoRequest waits for requests, of which none may come.
func (p *simulatedPeer) wantNoRequest() {
	p.s.t.Helper()
	p.s.run(2 * time.Second)
	for _, c := range p.conns {
		if len(c.in) > 0 {
			p.s.t.Errorf("%v got %q", p.addr, c.in)
		}
	}
}

// cut stops, or lets pass again, all that is under way between the dispatcher and this peer.
func (p *simulatedPeer) cut(yes bool) { p.s.world.Cut(p.s.loop, p.loop, yes) }

// simulatedConn is one connection of a scripted peer in simulated time.
type simulatedConn struct {
	s      *simulation
	peer   *simulatedPeer // nil for a client
	loop   *loop.Loop
	conn   *loop.Conn
	in     []byte // that came and was not taken yet
	opened bool
	ended  bool // the dispatcher sends no more
}

func (c *simulatedConn) Opened(loop.Nanos) { c.opened = true }
func (c *simulatedConn) Data(_ loop.Nanos, p []byte) {
	c.in = append(c.in, p...)
	if c.peer != nil && c.peer.reply != "" {
		c.reply()
	}
}
func (c *simulatedConn) PeerDone(loop.Nanos)      { c.ended = true }
func (c *simulatedConn) Drained(loop.Nanos)       {}
func (c *simulatedConn) Closed(loop.Nanos, error) { c.ended = true }

// reply answers the requests that have come whole as its peer does.
func (c *simulatedConn) reply() {
	for {
		head, rest, whole := bytes.Cut(c.in, []byte("\r\n\r\n"))
		withBody := bytes.Contains(head, []byte("Content-Length: "))
		if !whole || withBody && len(rest) < len(body) {
			return
		}
		if withBody {
			rest = rest[len(body):]
		}
		answer := c.peer.reply
		if bytes.HasPrefix(head, []byte("DELETE ")) {
			answer = noContent
		}
		c.conn.Write([]byte(answer))
		c.in = rest
	}
}

// expect takes what came up to the end of a text, which has to come.
func (c *simulatedConn) expect(text string) string {
	c.s.t.Helper()
	end := -1
	c.s.until("want "+text, func() bool {
		end = strings.Index(string(c.in), text)
		if end < 0 && c.ended {
			c.s.t.Fatalf("the end after %q, want %q", c.in, text)
		}
		return end >= 0
	})
	end += len(text)
	got := string(c.in[:end])
	c.in = c.in[end:]
	return got
}

// request takes one request with its body and gives its request line.
func (c *simulatedConn) request() string {
	c.s.t.Helper()
	head := c.expect("\r\n\r\n")
	if strings.Contains(head, "Content-Length: ") {
		c.expect(body)
	}
	line, _, _ := strings.Cut(head, "\r\n")
	return line
}

// expectSoon is expect for what has been sent already: no time passes but that on the way.
func (c *simulatedConn) expectSoon(text string) {
	c.s.t.Helper()
	began := c.s.world.Now()
	c.expect(text)
	if took := c.s.since(began); took > 4*simulationDelay {
		c.s.t.Errorf("%q came after %v", text, took)
	}
}

// rest takes what comes until the connection ends.
func (c *simulatedConn) rest() string {
	c.s.t.Helper()
	c.s.until("the connection ends", func() bool { return c.ended })
	got := string(c.in)
	c.in = nil
	return got
}

func (c *simulatedConn) send(text string) {
	c.loop.Post(func() { c.conn.Write([]byte(text)) })
}

func (c *simulatedConn) close() { c.loop.Post(func() { c.conn.Close() }) }

// sendSlowly sends pieces, one each interval, for as long as the connection stands.
func (c *simulatedConn) sendSlowly(pieces []string, interval time.Duration) {
	for _, piece := range pieces {
		if c.ended {
			return
		}
		c.send(piece)
		c.s.run(interval)
	}
}

// listText is the text of a list as discovery writes it.
func listText(list exit.List) string {
	text, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return string(text)
}
