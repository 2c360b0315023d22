// Package faultproxy is a proxy between a dispatcher and a server. It passes bytes on, acts out network faults, and
// records from the HTTP/2 frames which attempts passed and how they ended.
package faultproxy

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"docksail/internal/lab/eventlog"
)

// dialTimeout bounds the connection to the server.
const dialTimeout = time.Second

// Proxy passes the connections of one dispatcher to one server.
type Proxy struct {
	target     string // address of the server
	server     int
	dispatcher int
	log        *eventlog.Log
	listener   net.Listener

	delay   atomic.Int64 // nanoseconds before each piece is passed on
	trickle atomic.Bool  // passes single bytes

	mu        sync.Mutex
	conns     map[*proxyConn]bool
	blackhole chan struct{} // nil: no blackhole; closed at its end
	closed    bool
}

// New returns a proxy that listens on a free port of the loopback and passes connections to the target. server and
// dispatcher are the numbers that its entries in log have; log may be nil.
func New(target string, server, dispatcher int, log *eventlog.Log) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy for server %d: %w", server, err)
	}
	p := &Proxy{
		target: target, server: server, dispatcher: dispatcher, log: log,
		listener: listener, conns: map[*proxyConn]bool{},
	}
	go p.acceptLoop()
	return p, nil
}

// Addr returns the address at which it listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.ResetConns()
}

// SetBlackhole discards all bytes in both directions, without a reset, until it is called with false. Connections that
// lost bytes stay useless.
func (p *Proxy) SetBlackhole(enabled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if enabled && p.blackhole == nil {
		p.blackhole = make(chan struct{})
	} else if !enabled && p.blackhole != nil {
		close(p.blackhole)
		p.blackhole = nil
	}
}

// currentBlackhole returns a channel that is closed at the end of the blackhole, or nil if there is none.
func (p *Proxy) currentBlackhole() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blackhole
}

// BlackholeOpenConns makes the connections that are open now discard all further bytes, without a reset. New
// connections pass.
func (p *Proxy) BlackholeOpenConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.blackholed.Store(true)
	}
}

// SetDelay delays each piece by the given time.
func (p *Proxy) SetDelay(delay time.Duration) { p.delay.Store(int64(delay)) }

// SetTrickle passes bytes one at a time.
func (p *Proxy) SetTrickle(enabled bool) { p.trickle.Store(enabled) }

// ResetConns resets all connections.
func (p *Proxy) ResetConns() {
	p.mu.Lock()
	var conns []*proxyConn
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.close(true)
	}
}

func (p *Proxy) acceptLoop() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

// add registers a connection. It returns false if the proxy is closed, and the blackhole if there is one.
func (p *Proxy) add(c *proxyConn) (blackhole chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false
	}
	p.conns[c] = true
	return p.blackhole, true
}

func (p *Proxy) remove(c *proxyConn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// serve passes one connection of the dispatcher to the server until either side ends it.
func (p *Proxy) serve(client *net.TCPConn) {
	c := &proxyConn{proxy: p, client: client, recorder: NewFrameRecorder(p.log, p.server, p.dispatcher)}
	blackhole, ok := p.add(c)
	if !ok {
		client.Close()
		return
	}
	if blackhole != nil { // accepted, but never connected to the server
		c.relay(client, nil, c.recorder.Sent)
		return
	}
	conn, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		c.close(true)
		return
	}
	server := conn.(*net.TCPConn)
	p.mu.Lock()
	c.server = server
	p.mu.Unlock()
	go c.relay(server, client, c.recorder.Received)
	c.relay(client, server, c.recorder.Sent)
}
