// Package soak runs real dispatchers against stand-in model servers, each in its own process, with proxies between
// them that inject network faults. An oracle checks the invariants on what servers, proxies and clients report.
package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitTimeout = 20 * time.Second // longest time from SIGTERM at the end of a run to a dispatcher's exit
	// settleTime is the time from the latest permitted release of a state to the oracle's last check.
	settleTime = 200 * time.Millisecond
)

// Soak is one run with random faults.
type Soak struct {
	Seed         uint64
	Duration     time.Duration // of traffic and faults
	MaxProcesses int           // 0 = drawn by the seed, 10 to 40
	Program      CommandFunc
	// DispatcherProgram makes the dispatchers' commands; nil means Program.
	DispatcherProgram CommandFunc
	LogDirectory      string // holds the logs of the dispatchers
	// MemoryNotJudged lets the dispatchers pass their memory limit, as programs with the race detector do.
	MemoryNotJudged bool
}

// Run runs the soak. The error reports a failure of the run itself; violations of invariants are in the verdict.
func (s *Soak) Run() (Verdict, error) {
	plan := NewPlan(s.Seed, s.MaxProcesses, s.Duration)
	verdict := Verdict{
		Seed: s.Seed, Processes: plan.processes(), FleetDescription: plan.description(), Schedule: plan.Schedule,
	}
	if err := os.MkdirAll(s.LogDirectory, 0o700); err != nil {
		return verdict, err
	}
	fleet, err := s.newFleet(&plan)
	if err != nil {
		return verdict, err
	}
	defer fleet.Close()
	if err := fleet.startAll(&plan); err != nil {
		return verdict, err
	}
	stopWatching := fleet.watchMemory()
	err = s.runTraffic(fleet, &plan, &verdict)
	verdict.MemoryMB, verdict.PeakMB = plan.memoryMB, float64(stopWatching())/(1<<20)
	if err != nil {
		return verdict, err
	}
	if !s.MemoryNotJudged && verdict.PeakMB > float64(plan.memoryMB) {
		fleet.memoryViolations = append(fleet.memoryViolations,
			fmt.Sprintf("memory: %.1f MB of %d MB", verdict.PeakMB, plan.memoryMB))
	}
	return verdict, fleet.completeVerdict(&verdict)
}

// newFleet returns a fleet with the settings of the plan, without processes.
func (s *Soak) newFleet(plan *Plan) (*Fleet, error) {
	fleet, err := NewFleet(s.Program, s.LogDirectory, plan.settings(), DefaultLimits(plan.releaseTime))
	if err != nil {
		return nil, err
	}
	fleet.MaxDescriptors, fleet.MemoryMB = plan.maxDescriptors, plan.memoryMB
	fleet.Oracle.ReleasesRemoveAwaitedStates = plan.releasesRemoveAwaitedStates
	if s.DispatcherProgram != nil {
		fleet.dispatcherProgram = s.DispatcherProgram
	}
	fleet.AttemptPlan = func(id string, isPrefill bool, server string) AttemptPlan {
		if strings.HasPrefix(id, pressureIDPrefix) {
			return planPressureAttempt(id, isPrefill)
		}
		return planAttempt(s.Seed, id, isPrefill, server)
	}
	fleet.ReleaseStatus = planReleaseStatus
	return fleet, nil
}

// startAll starts the servers and the dispatchers of the plan.
func (f *Fleet) startAll(plan *Plan) error {
	for n := range plan.Prefill {
		if _, err := f.AddServer(prefillName(n), true); err != nil {
			return err
		}
	}
	for n := range plan.Decode {
		if _, err := f.AddServer(decodeName(n), false); err != nil {
			return err
		}
	}
	for n := range plan.Dispatchers {
		if _, err := f.AddDispatcher(dispatcherName(n)); err != nil {
			return err
		}
	}
	return nil
}

// runTraffic has clients send requests for the duration of the soak while it injects the scheduled faults. It returns
// the errors of faults that could not be injected.
func (s *Soak) runTraffic(fleet *Fleet, plan *Plan, verdict *Verdict) error {
	end := time.Now().Add(s.Duration)
	var clients sync.WaitGroup
	var mu sync.Mutex // guards the verdict
	for n := range plan.clients {
		clients.Go(func() {
			s.sendRequests(fleet, plan, n, end, func(outcome clientOutcome) {
				mu.Lock()
				defer mu.Unlock()
				verdict.count(outcome)
			})
		})
	}
	err := fleet.injectFaults(plan.Schedule)
	clients.Wait()
	return err
}

// sendRequests sends the requests of client n, one after another, until end.
func (s *Soak) sendRequests(fleet *Fleet, plan *Plan, n int, end time.Time, onDone func(clientOutcome)) {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(1000+n)))
	client := NewClient(fleet)
	client.habit, client.longestDeadline = habit(n%int(habitCount)), plan.longestDeadline
	defer client.Close()
	for k := 0; time.Now().Before(end); k++ {
		onDone(client.sendRandomRequest(rng, fmt.Sprintf("%04x%04x%08x", s.Seed&0x7fff, n, k)))
		client.pause(rng)
	}
}

// injectFaults injects each fault of a schedule at its start time and waits until all have ended.
func (f *Fleet) injectFaults(schedule []Fault) error {
	var running sync.WaitGroup
	var mu sync.Mutex
	var failed error
	start := time.Now()
	for _, fault := range schedule {
		time.Sleep(time.Until(start.Add(fault.Start)))
		running.Go(func() {
			if err := f.inject(fault); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = errors.Join(failed, fmt.Errorf("%s: %w", fault, err))
			}
		})
	}
	running.Wait()
	return failed
}

// completeVerdict waits until every state must have been released, ends the dispatchers and completes the verdict.
func (f *Fleet) completeVerdict(verdict *Verdict) error {
	time.Sleep(f.Oracle.limits.ReleaseTime + f.Oracle.limits.HoldTolerance + settleTime)
	if err := f.checkReadRequests(verdict); err != nil {
		return err
	}
	verdict.Violations = append(f.Oracle.Check(Now()), f.memoryViolations...)
	verdict.PressureAnswers = f.pressureAnswers
	for _, d := range f.Dispatchers {
		d.Signal(syscall.SIGTERM)
	}
	for _, d := range f.Dispatchers {
		if ended, err := d.WaitExit(exitTimeout); !ended || err != nil {
			verdict.Violations = append(verdict.Violations,
				fmt.Sprintf("crash: dispatcher %s: exited %v, error %v", d.Name, ended, err))
		}
		lines, err := d.ProgramErrors()
		if err != nil {
			return err
		}
		for _, line := range lines {
			verdict.Violations = append(verdict.Violations, fmt.Sprintf("error logged by %s: %s", d.Name, line))
		}
	}
	verdict.StatesHeld, verdict.Releases = f.Oracle.PrefillsCompleted, f.Oracle.ReleasesReceived
	return nil
}

// readRecord begins the part of a dispatcher's log record that names a request that the dispatcher has read.
const readRecord = `msg="request received" request_id=`

// checkReadRequests has the oracle decide which requests without an answer were read, by the dispatchers' logs.
func (f *Fleet) checkReadRequests(verdict *Verdict) error {
	read := map[string]bool{}
	for _, d := range f.Dispatchers {
		lines, err := d.LogLines(readRecord)
		if err != nil {
			return err
		}
		for _, line := range lines {
			_, id, _ := strings.Cut(line, readRecord)
			id, _, _ = strings.Cut(id, " ")
			read[id] = true
		}
	}
	verdict.Read, verdict.AfterTerm, verdict.LastSent = len(read), f.sentAfterTerm, f.sentLast
	verdict.Excused = f.Oracle.CheckRead(func(id string) bool { return read[id] })
	return nil
}
