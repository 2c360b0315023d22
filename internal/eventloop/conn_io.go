package eventloop

import (
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

const (
	// maxReadBytes bounds the bytes of one read, so that no connection starves the others.
	maxReadBytes = 64 << 10

	// maxReadsAtHalfClose bounds the reads of one iteration from a peer that has closed its sending side. Several reads
	// are needed to report the half-close in the same iteration as the last bytes.
	maxReadsAtHalfClose = 16
)

// updateInterest registers the socket for the epoll events that the connection can handle in its present state.
func (c *Conn) updateInterest() {
	if c.loop.isSimulated() {
		c.resumeSimulated()
		return
	}
	interest := uint32(0)
	switch {
	case c.readOpen && !c.readPaused:
		interest |= unix.EPOLLIN | unix.EPOLLRDHUP
	case c.readOpen && c.notifyHalfCloseWhilePaused:
		interest |= unix.EPOLLRDHUP
	}
	if c.writeBlocked {
		interest |= unix.EPOLLOUT
	}
	if interest != c.interest {
		c.interest = interest
		c.loop.setInterest(c.fd, interest)
	}
}

// handleEvents handles the epoll events of the connection's socket.
func (c *Conn) handleEvents(_ *Loop, events uint32) {
	if c.connecting {
		c.handleConnectEvents(events)
		return
	}
	if events&unix.EPOLLOUT != 0 && c.fd >= 0 {
		c.flush()
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) == 0 || c.fd < 0 {
		return
	}
	switch {
	case c.readPaused || !c.readOpen:
		c.handleEventsWithoutReading(events)
	case events&unix.EPOLLRDHUP == 0:
		c.read()
	default:
		c.readToHalfClose()
	}
}

// handleEventsWithoutReading handles a reset or a half-close by the peer while input is not read.
func (c *Conn) handleEventsWithoutReading(events uint32) {
	switch {
	case events&(unix.EPOLLHUP|unix.EPOLLERR) != 0:
		c.terminate(unix.ECONNRESET)
	case events&unix.EPOLLRDHUP != 0 && c.readOpen && c.notifyHalfCloseWhilePaused:
		c.peerHalfClosed()
	}
}

// readToHalfClose reads the last bytes of a peer that has closed its sending side, in at most maxReadsAtHalfClose
// reads.
func (c *Conn) readToHalfClose() {
	for n := 0; n < maxReadsAtHalfClose && c.fd >= 0 && c.readOpen && !c.readPaused; n++ {
		if !c.read() {
			return
		}
	}
}

// read passes at most one buffer of input to the handler. It reports whether there may be more input.
func (c *Conn) read() bool {
	buffer := c.loop.readBuffer
	if c.readLimit > 0 {
		buffer = buffer[:min(c.readLimit, len(buffer))]
	}
	n, err := unix.Read(c.fd, buffer)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false
	case err != nil:
		c.terminate(os.NewSyscallError("read", err))
		return false
	case n == 0:
		c.peerHalfClosed()
		return false
	}
	c.handler.Received(c.loop.now, buffer[:n])
	return true
}

// peerHalfClosed records that the peer has closed its sending side and notifies the handler.
func (c *Conn) peerHalfClosed() {
	c.readOpen = false
	c.updateInterest()
	c.handler.PeerHalfClosed(c.loop.now)
}

// flush writes the queued output. Once all of it is written, flush carries out a requested close.
func (c *Conn) flush() {
	if !c.writeOutput() {
		return
	}
	hadOutput := c.hadOutput
	c.hadOutput = false
	c.releaseOutput()
	if c.writeBlocked {
		c.writeBlocked = false
		c.updateInterest()
	}
	if c.closeAfterFlush {
		if !c.loop.isSimulated() {
			c.shutdownWrite()
		}
		c.terminate(nil)
		return
	}
	if c.closeWriteAfterFlush {
		c.closeWriteAfterFlush = false
		if c.loop.isSimulated() {
			c.sendToPeer(eventPeerClosed, nil)
		} else {
			c.shutdownWrite()
		}
	}
	if hadOutput {
		c.handler.OutputFlushed(c.loop.now)
	}
}

// writeOutput writes as much queued output as the socket accepts. It reports whether that was all; if not, the
// connection is write-blocked or closed.
func (c *Conn) writeOutput() bool {
	if c.loop.isSimulated() {
		return c.writeSimulated()
	}
	for c.QueuedBytes() > 0 {
		n, err := c.writeOnce()
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if errors.Is(err, unix.EAGAIN) {
			c.writeBlocked = true
			c.updateInterest()
			c.compactOutput()
			return false
		}
		if err != nil {
			c.terminate(os.NewSyscallError("write", err))
			return false
		}
		c.advanceOutput(n)
	}
	return true
}

// writeOnce passes queued output to the system, both parts of it in one call.
func (c *Conn) writeOnce() (int, error) {
	rest := c.output[c.written:]
	switch {
	case len(c.shared) == 0:
		return unix.Write(c.fd, rest)
	case len(rest) == 0:
		return unix.Write(c.fd, c.shared)
	}
	return unix.Writev(c.fd, [][]byte{rest, c.shared})
}

// advanceOutput records that n bytes of the queued output have been written.
func (c *Conn) advanceOutput(n int) {
	own := min(n, len(c.output)-c.written)
	c.written += own
	c.shared = c.shared[n-own:]
}

// compactOutput moves unwritten output to the front of the buffer if more than half of the buffer has been written.
func (c *Conn) compactOutput() {
	if c.written > len(c.output)/2 {
		c.output = c.output[:copy(c.output, c.output[c.written:])]
		c.written = 0
	}
}

// shutdownWrite closes the sending side of the socket. An error means that the connection is lost, which the next read
// reports.
func (c *Conn) shutdownWrite() { _ = unix.Shutdown(c.fd, unix.SHUT_WR) }
