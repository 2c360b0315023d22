package soak

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"
)

const (
	proxyReadSize = 64 << 10
	// maxQueuedChunks bounds the chunks that were read from a dispatcher and not yet forwarded, maxQueuedAnswerChunks
	// those that were read from a server: a server notices when the dispatcher does not read.
	maxQueuedChunks       = 1024
	maxQueuedAnswerChunks = 4
	// spreadSteps is the number of different delays with a spread. Connections with consecutive ports differ.
	spreadSteps = 7
)

// proxyConn is one connection through a proxy.
type proxyConn struct {
	proxy         *Proxy
	dispatcher    *net.TCPConn
	server        *net.TCPConn
	id            ConnID
	forwardRate   int  // bytes a second that are read from the dispatcher; 0 = no limit
	predatesBlock bool // whether it existed when the proxy was last blocked; guarded by proxy.mu
}

// chunk holds bytes that were read and are not yet forwarded.
type chunk struct {
	data   []byte
	readAt time.Time
}

// reset resets the connection at the server's or the dispatcher's end, or at both.
func (c *proxyConn) reset(direction Direction, both bool) {
	if direction == Forward || both {
		resetConn(c.server)
	}
	if direction == Backward || both {
		resetConn(c.dispatcher)
	}
}

// resetOnClose makes a later Close reset the connection.
func resetOnClose(conn *net.TCPConn) { _ = conn.SetLinger(0) } // an error means that the connection is closed

// resetConn resets a connection.
func resetConn(conn *net.TCPConn) {
	resetOnClose(conn)
	conn.Close()
}

// forward forwards the bytes of one direction. Reading continues while forwarding is blocked.
func (c *proxyConn) forward(direction Direction, from, to *net.TCPConn) {
	queued := maxQueuedChunks
	if direction == Backward {
		queued = maxQueuedAnswerChunks
	}
	chunks := make(chan chunk, queued)
	go c.read(direction, from, to, chunks)
	c.writeChunks(direction, from, to, chunks)
	for range chunks { // discard what arrives after a reset
	}
	c.waitUntilAllowed(direction, true, time.Now())
	_ = to.CloseWrite() // an error means that the connection is closed
}

// read reads the chunks of one direction until the connection ends. It reports attempts and closes of the dispatcher
// to the oracle.
func (c *proxyConn) read(direction Direction, from, to *net.TCPConn, chunks chan<- chunk) {
	defer close(chunks)
	const slowReadsPerSecond = 20
	buffer, rate := make([]byte, proxyReadSize), 0
	if direction == Forward && c.forwardRate > 0 {
		rate = c.forwardRate
		buffer = buffer[:max(rate/slowReadsPerSecond, 1)]
	}
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if direction == Forward {
				c.reportAttempt(buffer[:n])
			}
			chunks <- chunk{bytes.Clone(buffer[:n]), time.Now()}
		}
		if rate > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
		}
		if err == nil {
			continue
		}
		if direction == Forward {
			c.proxy.oracle.ConnClosed(Now(), c.id)
		}
		if !errors.Is(err, io.EOF) {
			resetOnClose(to)
		}
		return
	}
}

// writeChunks forwards chunks until the channel is closed, the connection is reset or the proxy stops.
func (c *proxyConn) writeChunks(direction Direction, from, to *net.TCPConn, chunks <-chan chunk) {
	for next := range chunks {
		if !c.waitUntilAllowed(direction, false, next.readAt) {
			return
		}
		if _, err := to.Write(next.data); err != nil {
			resetConn(from)
			return
		}
		if direction == Backward {
			c.proxy.oracle.ResponseForwarded(Now(), c.id)
		}
	}
}

// waitUntilAllowed waits until a chunk, or the end of the direction, may be forwarded. It returns false once the proxy
// has stopped.
func (c *proxyConn) waitUntilAllowed(direction Direction, isEnd bool, readAt time.Time) bool {
	p := c.proxy
	p.mu.Lock()
	for !p.stopped && c.isBlocked(direction, isEnd) {
		p.changed.Wait()
	}
	stopped := p.stopped
	delay := p.delay + p.spread*time.Duration(c.id.Port%spreadSteps)/spreadSteps
	p.mu.Unlock()
	if remaining := time.Until(readAt.Add(delay)); delay > 0 && remaining > 0 {
		time.Sleep(remaining)
	}
	return !stopped
}

// isBlocked reports whether a chunk, or the end of the direction, is blocked. The caller must hold p.mu.
func (c *proxyConn) isBlocked(direction Direction, isEnd bool) bool {
	p := c.proxy
	if p.blocked[direction] && (!p.blocksExistingOnly || c.predatesBlock) {
		return true
	}
	return isEnd && direction == Forward && p.closesBlocked
}

var (
	requestMethod   = []byte("POST")
	requestIDHeader = []byte("X-Txn: ")
)

// reportAttempt reports the start of an attempt to the oracle if the bytes are the head of a request.
func (c *proxyConn) reportAttempt(head []byte) {
	if !bytes.HasPrefix(head, requestMethod) {
		return
	}
	_, rest, found := bytes.Cut(head, requestIDHeader)
	if !found {
		return
	}
	id, _, _ := bytes.Cut(rest, []byte("\r\n"))
	c.proxy.oracle.AttemptStarted(Now(), string(id), c.id)
}
