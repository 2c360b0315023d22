package soak

import (
	"net"
	"net/http"
	"os/exec"
	"sync"
)

// CommandFunc returns a command that runs docksail with the given arguments.
type CommandFunc func(args ...string) *exec.Cmd

// initialListVersion is the version of the endpoint list before its first change.
const initialListVersion = 41

// Fleet holds everything that runs in a soak: dispatchers, model servers with their proxies, discovery and the oracle.
type Fleet struct {
	Oracle      *Oracle
	Servers     []*Server
	Dispatchers []*Dispatcher
	// AttemptPlan returns what a server does with an attempt, ReleaseStatus the status with which it rejects a release
	// (0 = it accepts it). Both must be safe for concurrent use.
	AttemptPlan    func(id string, isPrefill bool, server string) AttemptPlan
	ReleaseStatus  func(id, server string) int
	MaxDescriptors int // file descriptors in the configuration of each dispatcher
	MemoryMB       int // memory limit in the configuration of each dispatcher

	program           CommandFunc
	dispatcherProgram CommandFunc
	directory         string
	settings          string
	reports           net.Listener // accepts the connections on which model servers report
	discovery         net.Listener
	memoryViolations  []string // written by the goroutine that runs the soak

	mu              sync.Mutex // guards the fields below and the servers' entries in the endpoint list
	listVersion     int
	watches         map[chan struct{}]bool
	discoverySilent bool
	crowdCount      int
	pressureCount   int
	pressureAnswers map[int]int // answers to clients of pressure, by status; 0 = none
	sentAfterTerm   int         // requests that were sent to a dispatcher after its SIGTERM
	sentLast        int         // those of them that were sent in the last lastMoment before the planned SIGKILL
}

// NewFleet returns a fleet that stores its files in directory. settings is the settings object of its dispatchers.
func NewFleet(program CommandFunc, directory, settings string, limits Limits) (*Fleet, error) {
	f := &Fleet{
		Oracle:         NewOracle(limits),
		AttemptPlan:    func(string, bool, string) AttemptPlan { return AttemptPlan{} },
		ReleaseStatus:  func(string, string) int { return 0 },
		MaxDescriptors: defaultMaxDescriptors,
		MemoryMB:       defaultMemoryMB,

		program: program, dispatcherProgram: program, directory: directory, settings: settings,
		listVersion: initialListVersion, watches: map[chan struct{}]bool{},
	}
	var err error
	if f.reports, err = listenOnLoopback(); err != nil {
		return nil, err
	}
	if f.discovery, err = listenOnLoopback(); err != nil {
		return nil, err
	}
	go f.serveReports()
	go func() { _ = http.Serve(f.discovery, http.HandlerFunc(f.serveWatch)) }() // until Close
	return f, nil
}

// Close kills every process of the fleet.
func (f *Fleet) Close() {
	for _, d := range f.Dispatchers {
		d.Kill()
		if d.logFile != nil {
			d.logFile.Close()
		}
	}
	for _, s := range f.Servers {
		s.kill()
		s.Proxy.Close()
	}
	f.reports.Close()
	f.discovery.Close()
}

// listenOnLoopback listens on a free port of the loopback interface.
func listenOnLoopback() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// freeAddress returns an address of the loopback interface with an unused port.
func freeAddress() (string, error) {
	listener, err := listenOnLoopback()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// noteSentAfterTerm counts a request that was sent to a dispatcher after its SIGTERM.
func (f *Fleet) noteSentAfterTerm(justBeforeKill bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sentAfterTerm++
	if justBeforeKill {
		f.sentLast++
	}
}
