package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relayBufferSize is the size of the pieces in which bytes are passed on.
const relayBufferSize = 32 << 10

// proxyConn is a connection of the dispatcher and the one to the server that belongs to it.
type proxyConn struct {
	proxy      *Proxy
	client     *net.TCPConn // to the dispatcher
	server     *net.TCPConn // nil until it is connected
	recorder   *FrameRecorder
	closeOnce  sync.Once
	blackholed atomic.Bool // discards all bytes until its end
}

// close closes both connections, with a reset or in order.
func (c *proxyConn) close(reset bool) {
	c.closeOnce.Do(func() {
		closeConn(c.client, reset)
		if c.server != nil {
			closeConn(c.server, reset)
		}
		c.recorder.Closed()
		c.proxy.remove(c)
	})
}

func closeConn(conn *net.TCPConn, reset bool) {
	if reset {
		_ = conn.SetLinger(0) // if it fails, the connection is closed in order
	}
	conn.Close()
}

// relay passes bytes in one direction until either end is closed, and shows them to record. A nil destination discards
// them.
func (c *proxyConn) relay(from, to *net.TCPConn, record func([]byte)) {
	buf := make([]byte, relayBufferSize)
	discard := to == nil
	for {
		n, err := from.Read(buf)
		if n > 0 {
			discard = discard || c.blackholed.Load() || c.proxy.currentBlackhole() != nil
			if !c.pass(from, to, buf[:n], discard, record) {
				c.close(false)
				return
			}
		}
		if err != nil {
			if discard {
				c.waitForBlackhole(from)
			}
			c.close(discard)
			return
		}
	}
}

// pass records a piece and passes it on unless it is discarded. What the dispatcher sends is recorded in any case, as
// it has left its socket; what the server sends only if it arrives. It returns false if the destination is closed.
func (c *proxyConn) pass(from, to *net.TCPConn, piece []byte, discard bool, record func([]byte)) bool {
	if from == c.client || !discard {
		record(piece)
	}
	if discard {
		return true
	}
	if delay := c.proxy.delay.Load(); delay > 0 {
		time.Sleep(time.Duration(delay))
	}
	return c.write(to, piece) == nil
}

// waitForBlackhole hides the end of the server's connection from the dispatcher while a blackhole lasts.
func (c *proxyConn) waitForBlackhole(from *net.TCPConn) {
	if from == c.client {
		return
	}
	if blackhole := c.proxy.currentBlackhole(); blackhole != nil {
		<-blackhole
	}
}

func (c *proxyConn) write(to *net.TCPConn, piece []byte) error {
	if !c.proxy.trickle.Load() {
		_, err := to.Write(piece)
		return err
	}
	for i := range piece {
		if _, err := to.Write(piece[i : i+1]); err != nil {
			return err
		}
	}
	return nil
}
