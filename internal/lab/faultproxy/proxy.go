// Package faultproxy stands on the wire between a dispatcher and an engine: it passes bytes on, acts out what goes
// wrong on a network, and writes down from the frames which launches passed and how they ended.
package faultproxy

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"docksail/internal/lab/eventlog"
)

// Proxy passes the connections of one dispatcher to one host.
type Proxy struct {
	to   string
	host int
	disp int
	book *eventlog.Log
	ln   net.Listener

	mu    sync.Mutex
	pairs map[*pair]bool
	cut   chan struct{} // not nil while cut; closed at its end
	slow  atomic.Int64  // nanoseconds of delay for each read
	bit   atomic.Bool   // bytes one by one
	done  bool
}

// New opens a relay on a free port of the loopback.
func New(to string, host, disp int, b *eventlog.Log) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay to host %d: %w", host, err)
	}
	r := &Proxy{to: to, host: host, disp: disp, book: b, ln: ln, pairs: map[*pair]bool{}}
	go r.accept()
	return r, nil
}

// Addr is where it listens.
func (r *Proxy) Addr() string { return r.ln.Addr().String() }

// Close ends it and all its connections.
func (r *Proxy) Close() {
	r.mu.Lock()
	r.done = true
	r.mu.Unlock()
	r.ln.Close()
	r.ResetConns()
}

// SetBlackhole swallows all bytes both ways, with no reset and no answer, until it is called with false.
func (r *Proxy) SetBlackhole(yes bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if yes && r.cut == nil {
		r.cut = make(chan struct{})
	} else if !yes && r.cut != nil {
		close(r.cut)
		r.cut = nil
	}
}

// BlackholeOpenConns has the connections that there are swallow all bytes from now on, with no reset; new ones pass.
func (r *Proxy) BlackholeOpenConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.mute.Store(true)
	}
}

// SetDelay holds each piece back for so long.
func (r *Proxy) SetDelay(t time.Duration) { r.slow.Store(int64(t)) }

// SetTrickle passes bytes one at a time.
func (r *Proxy) SetTrickle(yes bool) { r.bit.Store(yes) }

// ResetConns ends all connections with a reset.
func (r *Proxy) ResetConns() {
	r.mu.Lock()
	var ps []*pair
	for p := range r.pairs {
		ps = append(ps, p)
	}
	r.mu.Unlock()
	for _, p := range ps {
		p.close(true)
	}
}

func (r *Proxy) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(c.(*net.TCPConn))
	}
}

// pair is a connection and its other half.
type pair struct {
	r    *Proxy
	in   *net.TCPConn
	out  *net.TCPConn
	tap  *FrameRecorder
	once sync.Once
	mute atomic.Bool // swallows all bytes, for good
}

func (p *pair) close(reset bool) {
	p.once.Do(func() {
		if reset {
			p.in.SetLinger(0)
			if p.out != nil {
				p.out.SetLinger(0)
			}
		}
		p.in.Close()
		if p.out != nil {
			p.out.Close()
		}
		p.tap.Closed()
		p.r.mu.Lock()
		delete(p.r.pairs, p)
		p.r.mu.Unlock()
	})
}

func (r *Proxy) serve(in *net.TCPConn) {
	p := &pair{r: r, in: in}
	p.tap = NewFrameRecorder(r.book, r.host, r.disp)
	r.mu.Lock()
	if r.done {
		r.mu.Unlock()
		in.Close()
		return
	}
	r.pairs[p] = true
	cut := r.cut
	r.mu.Unlock()
	if cut != nil { // taken, and nothing comes of it
		p.pass(in, nil, p.tap.Sent)
		return
	}
	out, err := net.DialTimeout("tcp", r.to, time.Second)
	if err != nil {
		p.close(true)
		return
	}
	r.mu.Lock()
	p.out = out.(*net.TCPConn)
	r.mu.Unlock()
	go p.pass(p.out, in, p.tap.Received)
	p.pass(in, p.out, p.tap.Sent)
}

// pass moves bytes one way until either end is done.
func (p *pair) pass(from, to *net.TCPConn, see func([]byte)) {
	buf := make([]byte, 32<<10)
	swallow := to == nil
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.r.mu.Lock()
			cut := p.r.cut
			p.r.mu.Unlock()
			if cut != nil || p.mute.Load() {
				swallow = true
			}
			if from == p.in { // what a dispatcher sends passes its socket, whether or not it arrives
				see(buf[:n])
			}
			if swallow {
				continue
			}
			if from != p.in {
				see(buf[:n])
			}
			if t := p.r.slow.Load(); t > 0 {
				time.Sleep(time.Duration(t))
			}
			if werr := p.write(to, buf[:n]); werr != nil {
				p.close(false)
				return
			}
		}
		if err != nil {
			if swallow { // the other end never learns of it while the cut lasts
				p.r.mu.Lock()
				cut := p.r.cut
				p.r.mu.Unlock()
				if cut != nil && from != p.in {
					<-cut
				}
			}
			p.close(swallow)
			return
		}
	}
}

func (p *pair) write(to *net.TCPConn, b []byte) error {
	if !p.r.bit.Load() {
		_, err := to.Write(b)
		return err
	}
	for i := range b {
		if _, err := to.Write(b[i : i+1]); err != nil {
			return err
		}
	}
	return nil
}
