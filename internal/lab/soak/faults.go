package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"syscall"
	"time"
)

// Fault is one fault of a schedule: what befalls whom, from when on and for how long.
type Fault struct {
	Start    time.Duration
	Duration time.Duration
	Kind     FaultKind
	Target   string
}

// String is the fault as a line of the schedule.
func (f Fault) String() string {
	return fmt.Sprintf("%.3f s: %s %s for %.3f s", f.Start.Seconds(), f.Target, f.Kind, f.Duration.Seconds())
}

// FaultKind is what goes wrong.
type FaultKind int

const (
	serverHangs FaultKind = iota // its process is stopped, and goes on
	serverRestarts
	heldForward    // nothing reaches the server
	heldBack       // nothing comes from it
	heldBoth       // it is cut off without a word
	oldForward     // as heldForward, for the connections that there are
	oldBack        // as heldBack, for the connections that there are
	closesHeld     // ends of dispatchers' connections do not reach the server
	delayed        // everything comes later
	scattered      // what goes by several connections comes in another order
	cutBoth        // all connections are reset
	cutServer      // connections are reset at the server's end; the dispatcher hears nothing but the end
	cutDispatcher  // connections are reset at the dispatcher's end only
	refused        // new connections are reset
	dispatcherHeld // the dispatcher's process is held up for a moment
	dispatcherKilled
	dispatcherEnds // SIGTERM, and SIGKILL when the platform's time is over
	dispatcherReloads
	discoveryAway
	faultKinds
)

var faultNames = [...]string{
	"hangs", "is killed and starts again", "gets nothing", "is not heard", "is cut off", "gets nothing on old connections", "is not heard on old connections",
	"does not hear of closes", "is slow to reach", "is reached in another order", "has its connections cut at both ends", "has its connections cut at its end", "has its connections cut at the dispatchers' end",
	"refuses connections", "is held up", "is killed and starts again", "ends and starts again", "reads its configuration again", "is silent",
}

// String names a kind of fault.
func (k FaultKind) String() string { return faultNames[k] }

const (
	shortestFault = 200 * time.Millisecond
	longestFault  = 3500 * time.Millisecond
	longestDelay  = 400 * time.Millisecond
	longestHoldUp = 150 * time.Millisecond // of a dispatcher, by the platform's word
	// endGrace is how long after SIGTERM the platform kills at the soonest: the longest deadline, counted as 3 s at
	// most, and 0.7 s.
	endGrace  = 3700 * time.Millisecond
	signalGap = 200 * time.Millisecond // between the signals to a dispatcher that is to end
)

// span draws a length between two.
func span(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// schedule draws faults over a time. They overlap, but of each role's servers half at the least are sound at any
// time: where all are cut off nobody can keep a promise.
func schedule(rng *rand.Rand, prefill, decode, dispatchers int, length time.Duration, each time.Duration) (faults []Fault) {
	busy := map[string]time.Duration{} // until when a target has its fault
	for at := 500 * time.Millisecond; at < length; at += span(rng, each/2, each*3/2) {
		f := Fault{Start: at, Kind: FaultKind(rng.IntN(int(faultKinds))), Duration: span(rng, shortestFault, longestFault)}
		var free []string
		switch {
		case f.Kind == discoveryAway:
			free = []string{"discovery"}
		case f.Kind >= dispatcherHeld:
			for n := range dispatchers {
				free = append(free, dispatcherName(n))
			}
			if f.Kind == dispatcherHeld {
				f.Duration = span(rng, time.Millisecond, longestHoldUp)
			}
			if f.Kind == dispatcherEnds {
				f.Duration = endGrace
			}
		default:
			free = append(soundServers(busy, at, prefillName, prefill), soundServers(busy, at, decodeName, decode)...)
		}
		free = dropBusy(free, busy, at)
		if len(free) == 0 {
			continue
		}
		f.Target = free[rng.IntN(len(free))]
		busy[f.Target] = f.Start + f.Duration + 100*time.Millisecond
		faults = append(faults, f)
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Start < faults[j].Start })
	return faults
}

func prefillName(n int) string    { return fmt.Sprintf("r%d", n) }
func decodeName(n int) string     { return fmt.Sprintf("w%d", n) }
func dispatcherName(n int) string { return fmt.Sprintf("d%d", n) }

// soundServers gives the servers of a role that may have a fault: none, if half of them have one.
func soundServers(busy map[string]time.Duration, at time.Duration, name func(int) string, count int) (free []string) {
	faulty := 0
	for n := range count {
		if busy[name(n)] > at {
			faulty++
		}
	}
	if 2*(faulty+1) > count {
		return nil
	}
	for n := range count {
		free = append(free, name(n))
	}
	return free
}

func dropBusy(names []string, busy map[string]time.Duration, at time.Duration) (free []string) {
	for _, name := range names {
		if busy[name] <= at {
			free = append(free, name)
		}
	}
	return free
}

// apply brings a fault about, for as long as it lasts.
func (f *Fleet) apply(fault Fault) error {
	switch {
	case fault.Kind == discoveryAway:
		f.SetDiscoverySilent(true)
		time.Sleep(fault.Duration)
		f.SetDiscoverySilent(false)
		return nil
	case fault.Kind >= dispatcherHeld:
		for _, d := range f.Dispatchers {
			if d.Name == fault.Target {
				return d.suffer(fault)
			}
		}
	}
	for _, s := range f.Servers {
		if s.Name == fault.Target {
			return s.suffer(fault)
		}
	}
	return fmt.Errorf("fault of %q, which is nobody", fault.Target)
}

// suffer brings a dispatcher's fault about.
func (d *Dispatcher) suffer(fault Fault) error {
	switch fault.Kind {
	case dispatcherHeld:
		d.Signal(syscall.SIGSTOP)
		time.Sleep(fault.Duration)
		d.Signal(syscall.SIGCONT)
	case dispatcherReloads:
		d.Signal(syscall.SIGHUP)
	case dispatcherKilled:
		d.Kill()
		time.Sleep(fault.Duration / 4)
		return d.Start()
	case dispatcherEnds:
		for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} { // impatient operators
			d.Signal(signal)
			time.Sleep(signalGap)
		}
		err, ended := d.WaitExit(fault.Duration - 3*signalGap)
		if ended && err != nil {
			return fmt.Errorf("dispatcher %s ended with %w", d.Name, err)
		}
		d.Kill()
		return d.Start()
	}
	return nil
}

// suffer brings a server's fault about.
func (s *Server) suffer(fault Fault) error {
	p := s.Proxy
	during := func(set func(yes bool)) {
		set(true)
		time.Sleep(fault.Duration)
		set(false)
	}
	switch fault.Kind {
	case serverHangs:
		s.Stop()
		time.Sleep(fault.Duration)
		s.Continue()
	case serverRestarts:
		return s.Restart()
	case heldForward, oldForward:
		during(func(yes bool) { p.SetHeld(Forward, yes, fault.Kind == oldForward) })
	case heldBack, oldBack:
		during(func(yes bool) { p.SetHeld(Back, yes, fault.Kind == oldBack) })
	case heldBoth:
		during(func(yes bool) { p.SetHeld(Forward, yes, false); p.SetHeld(Back, yes, false) })
	case closesHeld:
		during(p.SetClosesHeld)
	case delayed:
		p.SetDelay(fault.Duration * longestDelay / longestFault)
		time.Sleep(fault.Duration)
		p.SetDelay(0)
	case scattered:
		p.SetSpread(fault.Duration * longestDelay / longestFault)
		time.Sleep(fault.Duration)
		p.SetSpread(0)
	case cutBoth:
		p.ResetConns(Forward, true)
	case cutServer:
		p.ResetConns(Forward, false)
	case cutDispatcher:
		p.ResetConns(Back, false)
	case refused:
		during(p.SetRejecting)
	}
	return nil
}
