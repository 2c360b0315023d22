package eventloop

import (
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// simulatedClientPort is the source port of all simulated connections.
const simulatedClientPort = 1

// simulatedListener is the additional state of a Listener on a SimulatedNetwork.
type simulatedListener struct {
	acceptPaused bool
	pendingDials []*Conn // dialers' connections that wait to be accepted while accepting is paused
}

func (l *Loop) listenSimulated(address netip.AddrPort, onAccept AcceptFunc) (*Listener, error) {
	sn := l.network
	if address.Port() == 0 {
		sn.lastPort++
		address = netip.AddrPortFrom(l.sim.addr, sn.lastPort)
	}
	if sn.listeners[address] != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, os.NewSyscallError("bind", unix.EADDRINUSE))
	}
	ln := &Listener{loop: l, addr: address, onAccept: onAccept}
	sn.listeners[address] = ln
	return ln, nil
}

// closeSimulated removes the listener from its address, unless another listener uses the address by now.
func (ln *Listener) closeSimulated() {
	listeners := ln.loop.network.listeners
	if listeners[ln.addr] == ln {
		delete(listeners, ln.addr)
	}
}

// setAcceptPausedSimulated pauses accepting, or resumes it and schedules the pending dials.
func (ln *Listener) setAcceptPausedSimulated(paused bool) {
	ln.sim.acceptPaused = paused
	if paused {
		return
	}
	sn := ln.loop.network
	for _, dialer := range ln.sim.pendingDials {
		sn.schedule(sn.now, ln.loop, eventDial).conn = dialer
	}
	ln.sim.pendingDials = nil
}

// acceptPendingSimulated accepts the pending dials.
func (ln *Listener) acceptPendingSimulated() {
	ln.sim.acceptPaused = false
	pending := ln.sim.pendingDials
	ln.sim.pendingDials = nil
	for _, dialer := range pending {
		ln.loop.acceptSimulated(dialer)
	}
}

// acceptSimulated passes a dial to the loop's listener, or refuses it if the loop has no listener any more.
func (l *Loop) acceptSimulated(dialer *Conn) {
	ln := l.simulatedListener()
	if dialer.fd < 0 || ln == nil {
		l.refuseDial(dialer)
		return
	}
	if ln.sim.acceptPaused && len(ln.sim.pendingDials) < listenBacklog {
		ln.sim.pendingDials = append(ln.sim.pendingDials, dialer)
		return
	}
	c := l.newSimulatedConn()
	c.sim.peer, dialer.sim.peer = dialer, c
	sn := l.network
	c.sim.lastArrival = sn.scheduleFrom(l, sn.now+sn.Latency, eventDialAccepted, dialer.loop, dialer).at
	from := netip.AddrPortFrom(dialer.loop.sim.addr, simulatedClientPort)
	if c.handler = ln.onAccept(c, from); c.handler == nil {
		c.closeSimulated()
		return
	}
	l.countConn(c)
	c.handler.Opened(l.now)
}

// simulatedListener returns the loop's listener, or nil. A simulated loop has at most one.
func (l *Loop) simulatedListener() *Listener {
	for _, ln := range l.network.listeners {
		if ln.loop == l {
			return ln
		}
	}
	return nil
}

// refuseDial notifies a dialer, after the latency, that its dial was refused.
func (l *Loop) refuseDial(dialer *Conn) {
	sn := l.network
	sn.schedule(sn.now+sn.Latency, dialer.loop, eventDialRefused).conn = dialer
}
