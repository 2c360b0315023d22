package eventloop

import (
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// simulatedClientPort is the port from which all simulated connections seem to come.
const simulatedClientPort = 1

// simulatedListener is what a listener of a SimulatedNetwork holds beyond a Listener on a real socket.
type simulatedListener struct {
	acceptPaused bool
	pendingDials []*Conn // dialers that wait while accepting is paused
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

// closeSimulated removes the listener from its address, unless another has taken that since.
func (ln *Listener) closeSimulated() {
	listeners := ln.loop.network.listeners
	if listeners[ln.addr] == ln {
		delete(listeners, ln.addr)
	}
}

// setAcceptPausedSimulated makes dials wait, or has those that wait accepted.
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

// acceptPendingSimulated accepts the dials that wait.
func (ln *Listener) acceptPendingSimulated() {
	ln.sim.acceptPaused = false
	pending := ln.sim.pendingDials
	ln.sim.pendingDials = nil
	for _, dialer := range pending {
		ln.loop.acceptSimulated(dialer)
	}
}

// acceptSimulated gives a dial to the loop's listener, or refuses it if the loop does not listen any more.
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
	l.addConn(c)
	c.handler.Opened(l.now)
}

// simulatedListener returns the listener of the loop, of which a simulated loop has at most one; nil if it has none.
func (l *Loop) simulatedListener() *Listener {
	for _, ln := range l.network.listeners {
		if ln.loop == l {
			return ln
		}
	}
	return nil
}

// refuseDial reports to a dialer, after the latency, that its dial was refused.
func (l *Loop) refuseDial(dialer *Conn) {
	sn := l.network
	sn.schedule(sn.now+sn.Latency, dialer.loop, eventDialRefused).conn = dialer
}
