package soak

import (
	"net"
	"sync"
	"time"
)

// Direction is a direction of bytes through a proxy.
type Direction int

// The directions of bytes.
const (
	Forward  Direction = iota // from dispatchers to the server
	Backward                  // from the server to dispatchers
)

// Proxy forwards connections to one server and injects network faults. It reads what a dispatcher sends at once even
// while forwarding is blocked, so that the dispatcher's sockets behave as on a network without a fault.
type Proxy struct {
	server   string
	oracle   *Oracle
	listener net.Listener

	mu                 sync.Mutex
	changed            *sync.Cond
	target             string // address of the server; empty = none
	rejecting          bool   // whether new connections are reset
	blocked            [2]bool
	closesBlocked      bool // whether closes of connections by dispatchers are hidden from the server
	blocksExistingOnly bool // whether blocked applies only to connections that existed when it was set
	delay              time.Duration
	forwardRate        int           // bytes a second that new connections forward to the server; 0 = no limit
	spread             time.Duration // upper bound of the additional delay that each connection has
	conns              map[*proxyConn]bool
	stopped            bool
}

// NewProxy starts a proxy in front of the server with the given name.
func NewProxy(server string, oracle *Oracle) (*Proxy, error) {
	listener, err := listenOnLoopback()
	if err != nil {
		return nil, err
	}
	p := &Proxy{server: server, oracle: oracle, listener: listener, conns: map[*proxyConn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Addr returns the address at which dispatchers reach the server.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.update(func() { p.stopped = true })
	p.ResetConns(Forward, true)
}

// update applies a change and wakes the connections that wait for one.
func (p *Proxy) update(change func()) {
	p.mu.Lock()
	change()
	p.mu.Unlock()
	p.changed.Broadcast()
}

// SetTarget sets the address of the server.
func (p *Proxy) SetTarget(address string) { p.update(func() { p.target = address }) }

// SetBlocked blocks or unblocks all bytes of a direction. With existingOnly it affects only the connections that exist
// now.
func (p *Proxy) SetBlocked(direction Direction, blocked, existingOnly bool) {
	p.update(func() {
		p.blocked[direction], p.blocksExistingOnly = blocked, existingOnly
		for c := range p.conns {
			c.predatesBlock = blocked
		}
	})
}

// SetClosesBlocked sets whether closes of connections by dispatchers are hidden from the server.
func (p *Proxy) SetClosesBlocked(blocked bool) { p.update(func() { p.closesBlocked = blocked }) }

// SetRejecting sets whether new connections are reset.
func (p *Proxy) SetRejecting(rejecting bool) { p.update(func() { p.rejecting = rejecting }) }

// SetDelay delays all bytes by the given time.
func (p *Proxy) SetDelay(delay time.Duration) { p.update(func() { p.delay = delay }) }

// SetSpread delays the bytes of each connection by a different time, up to maxDelay, so that bytes on different
// connections arrive in another order.
func (p *Proxy) SetSpread(maxDelay time.Duration) { p.update(func() { p.spread = maxDelay }) }

// SetForwardRate limits the bytes a second that the proxy reads from each dispatcher's connection, of those that open
// from now on; 0 means no limit.
func (p *Proxy) SetForwardRate(bytesPerSecond int) {
	p.update(func() { p.forwardRate = bytesPerSecond })
}

// ResetConns resets all connections: at the server's end if the direction is Forward, at the dispatcher's end if it is
// Backward, or at both. If only one end is reset, the other sees the connection closed.
func (p *Proxy) ResetConns(direction Direction, both bool) {
	p.mu.Lock()
	var conns []*proxyConn
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.reset(direction, both)
	}
}

// accept serves connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

// serve forwards a connection from a dispatcher until both directions have ended.
func (p *Proxy) serve(dispatcher *net.TCPConn) {
	p.mu.Lock()
	rejecting, target, forwardRate := p.rejecting || p.stopped, p.target, p.forwardRate
	p.mu.Unlock()
	if rejecting || target == "" {
		resetConn(dispatcher)
		return
	}
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		resetConn(dispatcher)
		return
	}
	c := &proxyConn{proxy: p, dispatcher: dispatcher, server: server.(*net.TCPConn), forwardRate: forwardRate}
	if forwardRate > 0 {
		_ = dispatcher.SetReadBuffer(slowReadBytes) // an error means that the connection is closed
	}
	c.id = ConnID{p.server, c.server.LocalAddr().(*net.TCPAddr).Port}
	p.update(func() { p.conns[c] = true })
	var directions sync.WaitGroup
	directions.Go(func() { c.forward(Forward, c.dispatcher, c.server) })
	directions.Go(func() { c.forward(Backward, c.server, c.dispatcher) })
	directions.Wait()
	c.dispatcher.Close()
	c.server.Close()
	p.update(func() { delete(p.conns, c) })
}
