// Package faultproxy implements a TCP proxy between a dispatcher and a server that injects network faults. It reads
// the HTTP/2 frames to record which attempts were sent and how they ended.
package faultproxy

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"docksail/internal/lab/eventlog"
)

// dialTimeout limits the time to connect to the server.
const dialTimeout = time.Second

// Proxy forwards the connections from one dispatcher to one server.
type Proxy struct {
	dialServer func() (net.Conn, error)
	server     int // number of the server in log entries
	dispatcher int // index of the dispatcher in log entries
	log        *eventlog.Log
	listener   net.Listener

	delay   atomic.Int64 // nanoseconds by which each chunk is delayed
	trickle atomic.Bool  // forwards one byte at a time

	mu        sync.Mutex
	conns     map[*proxyConn]bool
	blackhole chan struct{} // closed at the end of the blackhole; nil if there is none
	closed    bool
}

// New returns a proxy that listens on a free port of the loopback interface and forwards connections to target. It
// adds entries with the numbers of the server and the dispatcher to log, which may be nil.
func New(target string, server, dispatcher int, log *eventlog.Log) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy for server %d: %w", server, err)
	}
	p := &Proxy{
		dialServer: func() (net.Conn, error) { return net.DialTimeout("tcp", target, dialTimeout) },
		server:     server, dispatcher: dispatcher, log: log,
		listener: listener, conns: map[*proxyConn]bool{},
	}
	go p.acceptLoop()
	return p, nil
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.ResetConns()
}

// SetBlackhole starts or ends a blackhole, which discards all bytes in both directions without closing connections.
// Connections that lose bytes remain unusable after its end.
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

// BlackholeOpenConns discards all further bytes of the connections that are open now, without closing them. New
// connections are not affected.
func (p *Proxy) BlackholeOpenConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.blackholed.Store(true)
	}
}

// SetDelay delays each chunk of bytes by the given duration.
func (p *Proxy) SetDelay(delay time.Duration) { p.delay.Store(int64(delay)) }

// SetTrickle enables or disables forwarding one byte at a time.
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

// add registers a connection and returns the current blackhole, which may be nil. It returns false if the proxy is
// closed.
func (p *Proxy) add(c *proxyConn) (blackhole chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false
	}
	p.conns[c] = true
	return p.blackhole, true
}

// remove unregisters a connection, to which no server can be attached any more, and returns its server, if any.
func (p *Proxy) remove(c *proxyConn) *net.TCPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	return c.server
}

// serve forwards one connection from the dispatcher to the server until either side closes it.
func (p *Proxy) serve(client *net.TCPConn) {
	c := &proxyConn{proxy: p, client: client, recorder: NewFrameRecorder(p.log, p.server, p.dispatcher)}
	blackhole, ok := p.add(c)
	if !ok {
		client.Close()
		return
	}
	if blackhole != nil { // accept the connection, but do not connect to the server
		c.relay(client, nil, c.recorder.Sent)
		return
	}
	p.mu.Lock()
	dialServer := p.dialServer
	p.mu.Unlock()
	conn, err := dialServer()
	if err != nil {
		c.close(true)
		return
	}
	server := conn.(*net.TCPConn)
	if !p.attachServer(c, server) {
		closeConn(server, true)
		return
	}
	go c.relay(server, client, c.recorder.Received)
	c.relay(client, server, c.recorder.Sent)
}

// attachServer records the connection to the server, unless the client's connection was closed while the server was
// dialed.
func (p *Proxy) attachServer(c *proxyConn, server *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.conns[c] {
		return false
	}
	c.server = server
	return true
}
