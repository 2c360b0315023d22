package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relayBufferSize is the maximum size of a chunk of relayed bytes.
const relayBufferSize = 32 << 10

// proxyConn is a connection from the dispatcher, and the connection to the server that belongs to it.
type proxyConn struct {
	proxy      *Proxy
	client     *net.TCPConn // to the dispatcher
	server     *net.TCPConn // nil until the server is connected
	recorder   *FrameRecorder
	closeOnce  sync.Once
	blackholed atomic.Bool // all bytes are discarded until the connection ends
}

// close closes both connections, either with a reset or gracefully.
func (c *proxyConn) close(reset bool) {
	c.closeOnce.Do(func() {
		server := c.proxy.remove(c)
		closeConn(c.client, reset)
		if server != nil {
			closeConn(server, reset)
		}
		c.recorder.Closed()
	})
}

func closeConn(conn *net.TCPConn, reset bool) {
	if reset {
		_ = conn.SetLinger(0) // if it fails, the connection is closed gracefully
	}
	conn.Close()
}

// relay forwards bytes in one direction until either connection is closed, and passes them to record. If to is nil, it
// discards them.
func (c *proxyConn) relay(from, to *net.TCPConn, record func([]byte)) {
	buf := make([]byte, relayBufferSize)
	discard := to == nil
	for {
		n, err := from.Read(buf)
		if n > 0 {
			discard = discard || c.blackholed.Load() || c.proxy.currentBlackhole() != nil
			if !c.forward(from, to, buf[:n], discard, record) {
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

// forward records a chunk and forwards it unless it is to be discarded. Chunks from the dispatcher are always
// recorded, because the dispatcher has sent them; chunks from the server only if they are forwarded. It returns false
// if the destination is closed.
func (c *proxyConn) forward(from, to *net.TCPConn, chunk []byte, discard bool, record func([]byte)) bool {
	if from == c.client || !discard {
		record(chunk)
	}
	if discard {
		return true
	}
	if delay := c.proxy.delay.Load(); delay > 0 {
		time.Sleep(time.Duration(delay))
	}
	return c.write(to, chunk) == nil
}

// waitForBlackhole waits for the end of a blackhole if the server has closed its connection, so that the dispatcher
// does not see the close during the blackhole.
func (c *proxyConn) waitForBlackhole(from *net.TCPConn) {
	if from == c.client {
		return
	}
	if blackhole := c.proxy.currentBlackhole(); blackhole != nil {
		<-blackhole
	}
}

func (c *proxyConn) write(to *net.TCPConn, chunk []byte) error {
	if !c.proxy.trickle.Load() {
		_, err := to.Write(chunk)
		return err
	}
	for i := range chunk {
		if _, err := to.Write(chunk[i : i+1]); err != nil {
			return err
		}
	}
	return nil
}
