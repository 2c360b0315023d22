package eventloop

import (
	"os"

	"golang.org/x/sys/unix"
)

const (
	// maxReadBytes is how much one read takes from a connection, so that no peer holds up the others.
	maxReadBytes = 64 << 10

	// maxReadsAtHalfClose bounds the reads of one iteration from a peer that has ended its half. Its end is reported in
	// the iteration of its last bytes.
	maxReadsAtHalfClose = 16
)

// updateInterest sets the events that epoll reports to those that the connection can act on.
func (c *Conn) updateInterest() {
	if c.loop.isSimulated() {
		c.resumeSimulated()
		return
	}
	want := uint32(0)
	switch {
	case c.readOpen && !c.readPaused:
		want |= unix.EPOLLIN | unix.EPOLLRDHUP
	case c.readOpen && c.notifyHalfCloseWhilePaused:
		want |= unix.EPOLLRDHUP
	}
	if c.writeBlocked {
		want |= unix.EPOLLOUT
	}
	if want != c.interest {
		c.interest = want
		c.loop.setInterest(c.fd, want)
	}
}

// handleEvents acts on the events of the connection's socket.
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

// handleEventsWithoutReading acts on the end of a peer whose input is not read now.
func (c *Conn) handleEventsWithoutReading(events uint32) {
	switch {
	case events&(unix.EPOLLHUP|unix.EPOLLERR) != 0:
		c.terminate(unix.ECONNRESET)
	case events&unix.EPOLLRDHUP != 0 && c.readOpen && c.notifyHalfCloseWhilePaused:
		c.peerHalfClosed()
	}
}

// readToHalfClose reads the last bytes of a peer that has ended its half, within a bounded number of reads.
func (c *Conn) readToHalfClose() {
	for n := 0; n < maxReadsAtHalfClose && c.fd >= 0 && c.readOpen && !c.readPaused; n++ {
		if !c.read() {
			return
		}
	}
}

// read passes one buffer of input to the handler. It reports whether there may be more.
func (c *Conn) read() bool {
	n, err := unix.Read(c.fd, c.loop.readBuffer)
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
	c.handler.Received(c.loop.now, c.loop.readBuffer[:n])
	return true
}

// peerHalfClosed records the end of the peer's half and notifies the handler.
func (c *Conn) peerHalfClosed() {
	c.readOpen = false
	c.updateInterest()
	c.handler.PeerHalfClosed(c.loop.now)
}

// flush writes the queued output and, once all is written, carries out the close that was asked for.
func (c *Conn) flush() {
	if !c.writeOutput() {
		return
	}
	hadOutput := c.output != nil
	c.loop.buffers.put(c.output)
	c.output, c.written = nil, 0
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

// writeOutput writes as much output as the peer takes and reports whether that was all. Otherwise the connection is
// blocked or has ended.
func (c *Conn) writeOutput() bool {
	if c.loop.isSimulated() {
		return c.writeToPipe()
	}
	for c.written < len(c.output) {
		n, err := unix.Write(c.fd, c.output[c.written:])
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			c.writeBlocked = true
			c.updateInterest()
			c.compactOutput()
			return false
		}
		if err != nil {
			c.terminate(os.NewSyscallError("write", err))
			return false
		}
		c.written += n
	}
	return true
}

// compactOutput moves unwritten output to the front of the buffer once more than half of it is written.
func (c *Conn) compactOutput() {
	if c.written > len(c.output)/2 {
		c.output = c.output[:copy(c.output, c.output[c.written:])]
		c.written = 0
	}
}

// shutdownWrite ends this side's half of the socket. An error means that the peer is gone, which reading reports.
func (c *Conn) shutdownWrite() { _ = unix.Shutdown(c.fd, unix.SHUT_WR) }
