package soak

import (
	"fmt"
	"syscall"
	"time"
)

// Fault is one fault of a schedule: which target has it, from when on and for how long.
type Fault struct {
	Start    time.Duration
	Duration time.Duration
	Kind     FaultKind
	Target   string // name of a server or dispatcher, or "discovery"
}

// String returns the fault as a line of the schedule.
func (f Fault) String() string {
	return fmt.Sprintf("%.3f s: %s %s for %.3f s", f.Start.Seconds(), f.Target, f.Kind, f.Duration.Seconds())
}

// FaultKind is a kind of fault. Faults of servers come first, then those of dispatchers, then that of discovery; what
// a seed plays depends on the order.
type FaultKind int

const (
	serverSuspended FaultKind = iota // its process is stopped, and continues
	serverRestarted
	forwardBlocked      // no bytes reach the server
	backwardBlocked     // no bytes come from it
	bothBlocked         // no bytes pass, and no connection is closed
	oldForwardBlocked   // as forwardBlocked, for the connections that exist when the fault starts
	oldBackwardBlocked  // as backwardBlocked, for the connections that exist when the fault starts
	closesBlocked       // the server does not see that dispatchers close connections
	delayed             // all bytes come later
	reordered           // bytes on different connections come in another order
	resetBoth           // all connections are reset at both ends
	resetAtServer       // connections are reset at the server's end; the dispatcher sees them closed
	resetAtDispatcher   // connections are reset at the dispatchers' end only
	connectionsRejected // new connections are reset

	dispatcherSuspended // its process is stopped for a moment, and continues
	dispatcherKilled
	dispatcherTerminated // SIGTERM, and SIGKILL when the platform's time is over
	dispatcherReloaded   // SIGHUP

	discoverySilent

	faultKindCount

	firstDispatcherFault = dispatcherSuspended
)

var faultNames = [faultKindCount]string{
	serverSuspended:      "hangs",
	serverRestarted:      "is killed and starts again",
	forwardBlocked:       "gets nothing",
	backwardBlocked:      "is not heard",
	bothBlocked:          "is cut off",
	oldForwardBlocked:    "gets nothing on old connections",
	oldBackwardBlocked:   "is not heard on old connections",
	closesBlocked:        "does not hear of closes",
	delayed:              "is slow to reach",
	reordered:            "is reached in another order",
	resetBoth:            "has its connections cut at both ends",
	resetAtServer:        "has its connections cut at its end",
	resetAtDispatcher:    "has its connections cut at the dispatchers' end",
	connectionsRejected:  "refuses connections",
	dispatcherSuspended:  "is held up",
	dispatcherKilled:     "is killed and starts again",
	dispatcherTerminated: "ends and starts again",
	dispatcherReloaded:   "reads its configuration again",
	discoverySilent:      "is silent",
}

// String returns what the kind does to its target, in words.
func (k FaultKind) String() string { return faultNames[k] }

// discoveryTarget is the target of faults of discovery.
const discoveryTarget = "discovery"

// An UnknownTargetError is the error of a fault whose target the fleet does not have.
type UnknownTargetError struct{ Target string }

func (e *UnknownTargetError) Error() string {
	return fmt.Sprintf("fault of %q: the fleet has no server or dispatcher of that name", e.Target)
}

// apply brings a fault about and returns when it has ended.
func (f *Fleet) apply(fault Fault) error {
	if fault.Kind == discoverySilent {
		f.SetDiscoverySilent(true)
		time.Sleep(fault.Duration)
		f.SetDiscoverySilent(false)
		return nil
	}
	if fault.Kind >= firstDispatcherFault {
		for _, d := range f.Dispatchers {
			if d.Name == fault.Target {
				return d.apply(fault)
			}
		}
		return &UnknownTargetError{fault.Target}
	}
	for _, s := range f.Servers {
		if s.Name == fault.Target {
			return s.apply(fault)
		}
	}
	return &UnknownTargetError{fault.Target}
}

// apply brings a fault of a dispatcher about.
func (d *Dispatcher) apply(fault Fault) error {
	switch fault.Kind {
	case dispatcherSuspended:
		d.Signal(syscall.SIGSTOP)
		time.Sleep(fault.Duration)
		d.Signal(syscall.SIGCONT)
	case dispatcherReloaded:
		d.Signal(syscall.SIGHUP)
	case dispatcherKilled:
		d.Kill()
		time.Sleep(fault.Duration / 4)
		return d.Start()
	case dispatcherTerminated:
		return d.terminate(fault.Duration)
	default: // a fault of a server or of discovery
	}
	return nil
}

// terminate ends a dispatcher as the platform does, with the signals of impatient operators, and starts it again.
func (d *Dispatcher) terminate(gracePeriod time.Duration) error {
	signals := []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}
	for _, signal := range signals {
		d.Signal(signal)
		time.Sleep(signalInterval)
	}
	ended, err := d.WaitExit(gracePeriod - time.Duration(len(signals))*signalInterval)
	if ended && err != nil {
		return fmt.Errorf("dispatcher %s ended with %w", d.Name, err)
	}
	d.Kill()
	return d.Start()
}

// apply brings a fault of a server, or of the network before it, about.
func (s *Server) apply(fault Fault) error {
	p := s.Proxy
	during := func(set func(active bool)) {
		set(true)
		time.Sleep(fault.Duration)
		set(false)
	}
	switch fault.Kind {
	case serverSuspended:
		s.Suspend()
		time.Sleep(fault.Duration)
		s.Resume()
	case serverRestarted:
		return s.Restart()
	case forwardBlocked, oldForwardBlocked:
		during(func(active bool) { p.SetBlocked(Forward, active, fault.Kind == oldForwardBlocked) })
	case backwardBlocked, oldBackwardBlocked:
		during(func(active bool) { p.SetBlocked(Backward, active, fault.Kind == oldBackwardBlocked) })
	case bothBlocked:
		during(func(active bool) { p.SetBlocked(Forward, active, false); p.SetBlocked(Backward, active, false) })
	case closesBlocked:
		during(p.SetClosesBlocked)
	case delayed:
		p.SetDelay(fault.Duration * maxDelay / maxFaultDuration)
		time.Sleep(fault.Duration)
		p.SetDelay(0)
	case reordered:
		p.SetSpread(fault.Duration * maxDelay / maxFaultDuration)
		time.Sleep(fault.Duration)
		p.SetSpread(0)
	case resetBoth:
		p.ResetConns(Forward, true)
	case resetAtServer:
		p.ResetConns(Forward, false)
	case resetAtDispatcher:
		p.ResetConns(Backward, false)
	case connectionsRejected:
		during(p.SetRejecting)
	default: // a fault of a dispatcher or of discovery
	}
	return nil
}
