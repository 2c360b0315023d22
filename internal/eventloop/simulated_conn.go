package eventloop

import (
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// maxInFlightBytes bounds the bytes that one side of a connection has sent and the other has not read, as the buffers
// of real sockets do.
const maxInFlightBytes = 256 << 10

// simulatedConn is the additional state of a Conn on a SimulatedNetwork.
type simulatedConn struct {
	peer              *Conn
	id                uint64 // ascends in order of creation
	lastArrival       Nanos  // arrival time of the last event sent to the peer; later events arrive no earlier
	inFlightBytes     int    // sent and not yet read by the peer
	unreadInput       []byte // received while reading was paused
	deliveryScheduled bool   // an event that delivers unreadInput is scheduled
	blackholed        bool   // everything sent is dropped
	tap               Tap
}

// SimulatedID returns the identifier of a connection on a SimulatedNetwork. Identifiers ascend in order of creation.
func (c *Conn) SimulatedID() uint64 { return c.sim.id }

func (l *Loop) newSimulatedConn() *Conn {
	l.network.lastSequence++
	c := &Conn{loop: l, readOpen: true, sim: simulatedConn{id: l.network.lastSequence}}
	l.sim.conns[c] = struct{}{}
	return c
}

func (l *Loop) dialSimulated(address netip.AddrPort, timeout Nanos, handler Handler) (*Conn, error) {
	sn := l.network
	c := l.newSimulatedConn()
	c.handler, c.connecting = handler, true
	l.countConn(c)
	if sn.NewTap != nil {
		c.sim.tap = sn.NewTap(l, address)
	}
	c.startConnectTimer(timeout)
	ln := sn.listeners[address]
	if ln == nil {
		sn.schedule(sn.now+2*sn.Latency, l, eventDialRefused).conn = c
		return c, nil
	}
	c.sim.lastArrival = sn.scheduleFrom(l, sn.now+sn.Latency, eventDial, ln.loop, c).at
	return c, nil
}

// sendToPeer schedules an event for the peer, after the latency and not before the events sent earlier.
func (c *Conn) sendToPeer(kind eventKind, p []byte) {
	peer := c.sim.peer
	if peer == nil || c.sim.blackholed {
		return
	}
	sn := c.loop.network
	arrival := sn.now + sn.Latency + c.loop.sim.extraLatency + peer.loop.sim.extraLatency
	e := sn.scheduleFrom(c.loop, max(arrival, c.sim.lastArrival), kind, peer.loop, peer)
	c.sim.lastArrival = e.at
	e.data = append(e.data, p...)
}

// closeSimulated closes the connection and notifies its tap and its peer.
func (c *Conn) closeSimulated() {
	if c.sim.tap != nil {
		c.sim.tap.Closed()
		c.sim.tap = nil
	}
	c.sendToPeer(eventPeerClosed, nil)
	delete(c.loop.sim.conns, c)
	c.fd = -1
	c.sim.unreadInput = nil
}

func (c *Conn) handleDialAccepted() {
	if c.fd < 0 || !c.connecting {
		return
	}
	c.loop.CancelTimer(&c.connectTimer)
	c.connecting = false
	c.notifyOpened()
}

func (c *Conn) handleDialRefused() {
	if c.fd >= 0 && c.connecting {
		c.terminate(os.NewSyscallError("connect", unix.ECONNREFUSED))
	}
}

func (c *Conn) handleData(p []byte) {
	if c.fd < 0 {
		return
	}
	if c.readPaused || len(c.sim.unreadInput) > 0 {
		c.sim.unreadInput = append(c.sim.unreadInput, p...)
		return
	}
	c.deliver(p)
}

// handlePeerClosed notifies the handler that the peer has closed its sending side, or resets a connection whose reading
// is paused or that has unread input.
func (c *Conn) handlePeerClosed() {
	if c.fd < 0 || !c.readOpen {
		return
	}
	c.readOpen = false
	if c.readPaused || len(c.sim.unreadInput) > 0 {
		c.terminate(unix.ECONNRESET)
		return
	}
	c.handler.PeerHalfClosed(c.loop.now)
}

func (c *Conn) handlePeerRead() {
	if c.fd >= 0 && c.writeBlocked {
		c.queueFlush()
	}
}

// deliver passes received bytes to the handler and lets a write-blocked peer continue.
func (c *Conn) deliver(p []byte) {
	if c.sim.tap != nil {
		c.sim.tap.Received(p)
	}
	received, peer := len(p), c.sim.peer
	maxPart := maxReadBytes
	if c.loop.sim.byteByByte || peer != nil && peer.loop.sim.byteByByte {
		maxPart = 1
	}
	for len(p) > 0 && c.fd >= 0 {
		part := p[:min(len(p), maxPart)]
		p = p[len(part):]
		c.handler.Received(c.loop.now, part)
	}
	if peer == nil {
		return
	}
	peer.sim.inFlightBytes -= received
	if peer.writeBlocked {
		sn := c.loop.network
		sn.scheduleFrom(c.loop, sn.now+sn.Latency, eventPeerRead, peer.loop, peer)
	}
}

// writeSimulated sends as much queued output as may be in flight. It reports whether that was all; if not, the
// connection is write-blocked until the peer reads.
func (c *Conn) writeSimulated() bool {
	for c.written < len(c.output) {
		p := c.output[c.written:]
		n := min(len(p), max(maxInFlightBytes-c.sim.inFlightBytes, 0))
		if n == 0 {
			c.writeBlocked = true
			c.compactOutput()
			return false
		}
		c.sim.inFlightBytes += n
		if c.sim.tap != nil {
			c.sim.tap.Sent(p[:n])
		}
		c.sendToPeer(eventData, p[:n])
		c.written += n
	}
	return true
}

// resumeSimulated schedules the delivery of input that was received while reading was paused.
func (c *Conn) resumeSimulated() {
	if c.readPaused || len(c.sim.unreadInput) == 0 || c.sim.deliveryScheduled {
		return
	}
	c.sim.deliveryScheduled = true
	sn := c.loop.network
	sn.schedule(sn.now, c.loop, eventCall).callback = func() {
		c.sim.deliveryScheduled = false
		if p := c.sim.unreadInput; c.fd >= 0 && !c.readPaused {
			c.sim.unreadInput = nil
			c.deliver(p)
		}
	}
}
