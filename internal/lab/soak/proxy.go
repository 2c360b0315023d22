package soak

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// Direction is a way through a proxy.
type Direction int

const (
	Forward Direction = iota // from dispatchers to the server
	Back                     // from the server to dispatchers
)

// Proxy passes connections to one server and acts out faults of the network. What a dispatcher sends is read at once,
// so that its sockets behave as before a network that loses nothing yet.
type Proxy struct {
	server   string
	ledger   *Oracle
	listener net.Listener

	mu      sync.Mutex
	change  *sync.Cond
	to      string // where the server listens; empty = nowhere
	refuse  bool
	held    [2]bool // a direction passes nothing
	closes  bool    // ends of dispatchers are held back
	oneWay  bool    // the fault is for connections that are there, not for new ones
	delay   time.Duration
	scatter time.Duration // connections are slow by up to that, each by its own
	conns   map[*proxied]bool
	stopped bool
}

// NewProxy opens a proxy to a server of that name.
func NewProxy(server string, ledger *Oracle) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{server: server, ledger: ledger, listener: listener, conns: map[*proxied]bool{}}
	p.change = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Addr is where dispatchers find the server.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.set(func() { p.stopped = true })
	p.ResetConns(Forward, true)
}

func (p *Proxy) set(f func()) {
	p.mu.Lock()
	f()
	p.mu.Unlock()
	p.change.Broadcast()
}

// SetTarget sets where the server listens now.
func (p *Proxy) SetTarget(at string) { p.set(func() { p.to = at }) }

// SetHeld keeps what goes in a direction back, or lets it pass. onlyOld: of the connections that there are.
func (p *Proxy) SetHeld(way Direction, yes, onlyOld bool) {
	p.set(func() {
		p.held[way], p.oneWay = yes, onlyOld
		for c := range p.conns {
			c.old = yes
		}
	})
}

// SetClosesHeld keeps the ends of dispatchers' connections back, or lets them pass.
func (p *Proxy) SetClosesHeld(yes bool) { p.set(func() { p.closes = yes }) }

// SetRejecting resets new connections, or takes them.
func (p *Proxy) SetRejecting(yes bool) { p.set(func() { p.refuse = yes }) }

// SetDelay has each piece pass so much later.
func (p *Proxy) SetDelay(span time.Duration) { p.set(func() { p.delay = span }) }

// SetSpread has each connection pass everything later by a time of its own, up to that: what goes by several
// connections comes in another order.
func (p *Proxy) SetSpread(most time.Duration) { p.set(func() { p.scatter = most }) }

// ResetConns resets the connections that there are, at the server's end and, if both, at the dispatchers' end too;
// else those hear nothing.
func (p *Proxy) ResetConns(way Direction, both bool) {
	p.mu.Lock()
	var all []*proxied
	for c := range p.conns {
		all = append(all, c)
	}
	p.mu.Unlock()
	for _, c := range all {
		c.reset(way, both)
	}
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(in.(*net.TCPConn))
	}
}

// proxied is one connection through a proxy.
type proxied struct {
	proxy *Proxy
	in    *net.TCPConn // the dispatcher's
	out   *net.TCPConn
	key   connKey
	old   bool // it was there as the fault came
}

func (p *Proxy) serve(in *net.TCPConn) {
	p.mu.Lock()
	refuse, to := p.refuse || p.stopped, p.to
	p.mu.Unlock()
	if refuse || to == "" {
		in.SetLinger(0)
		in.Close()
		return
	}
	conn, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		in.SetLinger(0)
		in.Close()
		return
	}
	c := &proxied{proxy: p, in: in, out: conn.(*net.TCPConn)}
	c.key = connKey{p.server, c.out.LocalAddr().(*net.TCPAddr).Port}
	p.set(func() { p.conns[c] = true })
	var done sync.WaitGroup
	done.Add(2)
	go func() { defer done.Done(); c.pump(Forward, c.in, c.out) }()
	go func() { defer done.Done(); c.pump(Back, c.out, c.in) }()
	done.Wait()
	c.in.Close()
	c.out.Close()
	p.set(func() { delete(p.conns, c) })
}

// reset breaks the connection at the server's or the dispatcher's end, or at both.
func (c *proxied) reset(way Direction, both bool) {
	if way == Forward || both {
		c.out.SetLinger(0)
		c.out.Close()
	}
	if way == Back || both {
		c.in.SetLinger(0)
		c.in.Close()
	}
}

// piece is what was read and is still to be passed; nil bytes stand for the end.
type piece struct {
	data []byte
	at   time.Time
}

// pump passes one direction. Reading goes on while passing is held up.
func (c *proxied) pump(way Direction, from, to *net.TCPConn) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				if way == Forward {
					c.seeRequest(buffer[:n])
				}
				pieces <- piece{bytes.Clone(buffer[:n]), time.Now()}
			}
			if err != nil {
				if way == Forward {
					c.proxy.ledger.ConnClosed(Now(), c.key)
				}
				if err != io.EOF {
					to.SetLinger(0)
				}
				return
			}
		}
	}()
	for part := range pieces {
		if !c.pass(way, false, part.at) {
			break
		}
		if _, err := to.Write(part.data); err != nil {
			from.SetLinger(0)
			from.Close()
			break
		}
		if way == Back {
			c.proxy.ledger.ResponseForwarded(Now(), c.key)
		}
	}
	for range pieces { // it was cut: what still comes goes nowhere
	}
	c.pass(way, true, time.Now())
	to.CloseWrite()
}

// scatterSteps are the different delays of scattered connections: consecutive ones differ most.
const scatterSteps = 7

// pass waits until a piece, or the end, may pass; false: the proxy has stopped.
func (c *proxied) pass(way Direction, end bool, at time.Time) bool {
	p := c.proxy
	p.mu.Lock()
	for !p.stopped && (p.held[way] && (!p.oneWay || c.old) || end && way == Forward && p.closes) {
		p.change.Wait()
	}
	stopped, delay := p.stopped, p.delay+p.scatter*time.Duration(c.key.port%scatterSteps)/scatterSteps
	p.mu.Unlock()
	if rest := time.Until(at.Add(delay)); delay > 0 && rest > 0 {
		time.Sleep(rest)
	}
	return !stopped
}

var requestField = []byte("X-Txn: ")

// seeRequest takes down that an attempt has begun.
func (c *proxied) seeRequest(p []byte) {
	if _, rest, found := bytes.Cut(p, requestField); found && bytes.HasPrefix(p, []byte("POST")) {
		id, _, _ := bytes.Cut(rest, []byte("\r\n"))
		c.proxy.ledger.AttemptStarted(Now(), string(id), c.key)
	}
}
