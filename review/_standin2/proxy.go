package main

import (
	"net"
	"sync"
)

// proxy passes TCP connections on to an address. silence makes those that are open fall silent: they stay open, and
// nothing goes through any more in either direction. reset resets those that are open. Later ones work.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	gates    []*gate
}

// gate is one connection; shut is closed when it falls silent.
type gate struct {
	client, server net.Conn
	shut           chan struct{}
}

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target}
	go p.run()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		g := &gate{client, server, make(chan struct{})}
		p.mu.Lock()
		p.gates = append(p.gates, g)
		p.mu.Unlock()
		go g.pass(client, server)
		go g.pass(server, client)
	}
}

// pass passes bytes on until the connection ends or falls silent.
func (g *gate) pass(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-g.shut:
			select {} // silent for good: neither bytes nor an end go through
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	from.Close()
	to.Close()
}

// silence makes the open connections fall silent and returns how many there are.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.gates)
	for _, g := range p.gates {
		close(g.shut)
	}
	p.gates = nil
	return n
}

// reset resets the open connections, on both sides.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.gates {
		for _, c := range []net.Conn{g.client, g.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // a close then resets the connection
			}
			c.Close()
		}
	}
	p.gates = nil
}
