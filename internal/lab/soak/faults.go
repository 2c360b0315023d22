package soak

import (
	"fmt"
	"syscall"
	"time"
)

// Fault is one fault of a schedule.
type Fault struct {
	Start    time.Duration // since the start of the run
	Duration time.Duration
	Kind     FaultKind
	Target   string // name of a server or dispatcher, or "discovery"
	Signals  []timedSignal
	Pressure PressureKind // of dispatcherUnderPressure
	Clients  int          // of dispatcherUnderPressure
}

// String returns the fault as a line of the schedule.
func (f Fault) String() string {
	text := fmt.Sprintf("%.3f s: %s: %s, duration %.3f s", f.Start.Seconds(), f.Target, f.Kind, f.Duration.Seconds())
	if len(f.Signals) > 0 {
		text += fmt.Sprintf(", signals %v", f.Signals)
	}
	if f.Kind == dispatcherUnderPressure {
		text += fmt.Sprintf(", %d clients: %s", f.Clients, f.Pressure)
	}
	return text
}

// FaultKind is a kind of fault. Faults of servers come first, then those of dispatchers, then that of discovery. The
// schedule of a seed depends on the order.
type FaultKind int

const (
	serverSuspended FaultKind = iota // its process is stopped and later resumed
	serverRestarted
	forwardBlocked          // no bytes reach the server
	backwardBlocked         // no bytes from the server reach the dispatchers
	bothBlocked             // no bytes pass in either direction, and no connection is closed
	existingForwardBlocked  // like forwardBlocked, for connections that exist when the fault starts
	existingBackwardBlocked // like backwardBlocked, for connections that exist when the fault starts
	closesBlocked           // the server does not see dispatchers close connections
	delayed                 // all bytes are delayed
	reordered               // bytes on different connections arrive in another order
	resetBoth               // all connections are reset at both ends
	resetAtServer           // connections are reset at the server's end only; the dispatcher sees them closed
	resetAtDispatcher       // connections are reset at the dispatchers' end only
	connectionsRejected     // new connections are reset

	dispatcherSuspended // its process is stopped briefly and resumed
	dispatcherKilled
	dispatcherTerminated      // SIGTERM and further signals, then SIGKILL after the platform's grace period
	dispatcherReloaded        // SIGHUP, once or more often
	dispatcherSignaledAtStart // killed and restarted, with signals during the start

	discoverySilent
	discoverySilentInCrowd // idle clients fill the dispatchers' descriptors meanwhile, and send at once afterwards

	dispatcherUnderPressure // a group of clients burdens it, see PressureKind

	faultKindCount

	firstDispatcherFault = dispatcherSuspended
)

var faultNames = [faultKindCount]string{
	serverSuspended:           "suspended",
	serverRestarted:           "killed and restarted",
	forwardBlocked:            "forward bytes blocked",
	backwardBlocked:           "backward bytes blocked",
	bothBlocked:               "both directions blocked",
	existingForwardBlocked:    "forward bytes blocked on existing connections",
	existingBackwardBlocked:   "backward bytes blocked on existing connections",
	closesBlocked:             "connection closes blocked",
	delayed:                   "bytes delayed",
	reordered:                 "bytes reordered across connections",
	resetBoth:                 "connections reset at both ends",
	resetAtServer:             "connections reset at the server",
	resetAtDispatcher:         "connections reset at the dispatchers",
	connectionsRejected:       "new connections rejected",
	dispatcherSuspended:       "suspended",
	dispatcherKilled:          "killed and restarted",
	dispatcherTerminated:      "terminated and restarted",
	dispatcherReloaded:        "configuration reloaded",
	dispatcherSignaledAtStart: "restarted with signals during the start",
	discoverySilent:           "silent",
	discoverySilentInCrowd:    "silent in a crowd",
	dispatcherUnderPressure:   "under pressure",
}

// String returns the name of the kind in words.
func (k FaultKind) String() string { return faultNames[k] }

// discoveryTarget is the Target of faults of discovery.
const discoveryTarget = "discovery"

// UnknownTargetError reports a fault whose target is not part of the fleet.
type UnknownTargetError struct{ Target string }

func (e *UnknownTargetError) Error() string {
	return fmt.Sprintf("fault target %q is not a server or dispatcher of the fleet", e.Target)
}

// inject injects a fault and returns when it has ended.
func (f *Fleet) inject(fault Fault) error {
	switch fault.Kind {
	case discoverySilent:
		f.SetDiscoverySilent(true)
		time.Sleep(fault.Duration)
		f.SetDiscoverySilent(false)
		return nil
	case discoverySilentInCrowd:
		f.crowd(fault.Duration)
		return nil
	default: // a fault of a server or dispatcher
	}
	if fault.Kind >= firstDispatcherFault {
		for _, d := range f.Dispatchers {
			if d.Name == fault.Target {
				return d.inject(fault)
			}
		}
		return &UnknownTargetError{fault.Target}
	}
	for _, s := range f.Servers {
		if s.Name == fault.Target {
			return s.inject(fault)
		}
	}
	return &UnknownTargetError{fault.Target}
}

// inject injects a fault of a dispatcher and returns when it has ended.
func (d *Dispatcher) inject(fault Fault) error {
	if fault.Kind != dispatcherUnderPressure {
		d.faults.Lock()
		defer d.faults.Unlock()
	}
	switch fault.Kind {
	case dispatcherSuspended:
		d.Signal(syscall.SIGSTOP)
		time.Sleep(fault.Duration)
		d.Signal(syscall.SIGCONT)
	case dispatcherReloaded:
		d.Signal(syscall.SIGHUP)
		d.sendSignals(fault.Signals)
	case dispatcherKilled:
		d.Kill()
		time.Sleep(fault.Duration / 4)
		return d.Start()
	case dispatcherTerminated:
		return d.terminate(fault.Signals, fault.Duration)
	case dispatcherSignaledAtStart:
		return d.signalInStart(fault.Signals, fault.Duration)
	case dispatcherUnderPressure:
		pressure := Pressure{Kind: fault.Pressure, Clients: fault.Clients, Dispatcher: d, Pause: pressurePause}
		pressure.Run(fault.Duration)
		d.fleet.notePressure(&pressure)
	default: // a fault of a server or of discovery
	}
	return nil
}

// inject injects a fault of a server, or of the network in front of it, and returns when it has ended.
func (s *Server) inject(fault Fault) error {
	p := s.Proxy
	setTemporarily := func(set func(active bool)) {
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
	case forwardBlocked, existingForwardBlocked:
		setTemporarily(func(active bool) { p.SetBlocked(Forward, active, fault.Kind == existingForwardBlocked) })
	case backwardBlocked, existingBackwardBlocked:
		setTemporarily(func(active bool) { p.SetBlocked(Backward, active, fault.Kind == existingBackwardBlocked) })
	case bothBlocked:
		setTemporarily(func(active bool) { p.SetBlocked(Forward, active, false); p.SetBlocked(Backward, active, false) })
	case closesBlocked:
		setTemporarily(p.SetClosesBlocked)
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
		setTemporarily(p.SetRejecting)
	default: // a fault of a dispatcher or of discovery
	}
	return nil
}
