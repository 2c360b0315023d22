package simulation

import (
	"context"
	"time"

	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/scenario"
	"docksail/internal/lab/userclient"
)

const (
	runStep = int64(time.Second) // simulated time between checks for the end or the cancellation of a run

	// maxDrainTime is the longest wait for open sessions after the end of the load and of all faults. A client that
	// waits for longer violates an invariant.
	maxDrainTime = int64(10 * time.Minute)
)

// Report is the outcome of a simulated run.
type Report struct {
	scenario.Report
	LoopIterations uint64 // sum over all loops
	Simulated      time.Duration
}

// Run runs the script to its end, waits until all sessions have ended and all KV states must have been released, and
// checks the invariants. If the context is done, it returns early with the error of the context.
func (s *Simulation) Run(ctx context.Context) (*Report, error) {
	begin := time.Now()
	for _, d := range s.dispatchers {
		if err := s.startDispatcher(d); err != nil {
			return nil, err
		}
	}
	s.network.RunUntil(s.loadStart)
	s.scheduleFaults()
	if s.SampleInterval > 0 {
		s.recordServerLoads()
	}
	s.scheduleSessions()
	if err := s.runToEnd(ctx); err != nil {
		return nil, err
	}
	report := s.report()
	report.Elapsed = time.Since(begin)
	return report, nil
}

// runToEnd runs the network until the script and all sessions have ended.
func (s *Simulation) runToEnd(ctx context.Context) error {
	end := s.loadStart + int64(s.scriptDuration())
	latestEnd := end + maxDrainTime
	for now := s.loadStart; now < end || now < latestEnd && s.hasOpenSessions(); {
		now += runStep
		s.network.RunUntil(now)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	s.network.RunUntil(s.network.Now() + int64(s.Script.ReleaseTime+scenario.ReleaseMargin))
	return nil
}

// scriptDuration returns the time from the start of the load to the end of the load and of all faults.
func (s *Simulation) scriptDuration() time.Duration {
	duration := s.Script.Duration
	for _, f := range s.Script.Faults {
		duration = max(duration, f.Start+f.Duration+f.Duration/10)
	}
	return duration
}

func (s *Simulation) hasOpenSessions() bool {
	for _, group := range s.clientGroups {
		if group.openSessions > 0 {
			return true
		}
	}
	return false
}

// report collects the outcome of the run.
func (s *Simulation) report() *Report {
	report := &Report{LoopIterations: s.network.Iterations, Simulated: time.Duration(s.network.Now())}
	report.Summaries, report.Counts = map[string]*userclient.Summary{}, s.stoppedCounts
	report.Entries = s.Log.Entries()
	for _, group := range s.clientGroups {
		report.Summaries[group.class.Name] = group.summary
	}
	for _, d := range s.dispatchers {
		if d.core == nil {
			continue
		}
		report.Counts.Add(d.core.Counts)
		for _, tenant := range d.core.TenantStatuses() {
			report.AdmissionCounts = append(report.AdmissionCounts, tenant.Counts)
		}
	}
	report.Evaluate(s.Script)
	return report
}

// recordServerLoads logs the load of all running servers, now and after each SampleInterval.
func (s *Simulation) recordServerLoads() {
	for _, server := range s.servers {
		if server.loop == nil {
			continue
		}
		memory := server.model.Memory
		s.Log.Add(eventlog.Entry{
			Kind: eventlog.ServerLoad, Server: server.spec.ID, Value: int64(server.model.QueuedPromptTokens()),
			ClientAttempt: server.requestCount(), Attempt: 1000 * memory.InUse() / memory.Blocks(),
		})
	}
	s.scheduleAfter(int64(s.SampleInterval), s.recordServerLoads)
}
