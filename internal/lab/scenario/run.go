package scenario

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"docksail/internal/decide/admission"
	"docksail/internal/dispatch"
	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/invariants"
	"docksail/internal/lab/userclient"
)

// ReleaseMargin is how long a run waits after its last request in addition to the script's release time, so that all
// KV states must have been released at its end.
const ReleaseMargin = 300 * time.Millisecond

const defaultConnsPerDispatcher = 2

// Run runs the script to its end, waits until all KV states must have been released, and checks the invariants.
func (d *Deployment) Run(ctx context.Context) (*Report, error) {
	begin := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var faults sync.WaitGroup
	d.scheduleFaults(ctx, &faults, begin)
	summaries, err := userclient.RunLoad(ctx, d.load(), d.Log)
	if err != nil {
		return nil, err
	}
	faults.Wait()
	time.Sleep(d.Script.ReleaseTime + ReleaseMargin)
	report := &Report{
		AdmissionCounts: d.admissionCounts(),
		Summaries:       summaries,
		Counts:          d.Counts(),
		Entries:         d.Log.Entries(),
		Elapsed:         time.Since(begin),
	}
	report.Evaluate(d.Script)
	return report, nil
}

// scheduleFaults starts a goroutine for each fault, which returns at the end of the fault or once ctx is done.
func (d *Deployment) scheduleFaults(ctx context.Context, running *sync.WaitGroup, begin time.Time) {
	random := rand.New(rand.NewPCG(uint64(d.Script.Seed), 2))
	specs := d.Script.EngineSpecs()
	var mu sync.Mutex
	for _, fault := range d.Script.Faults {
		in := &injection{Deployment: d, fault: fault, servers: fault.Targets(specs, random, ceil), mu: &mu}
		running.Go(func() {
			if !sleep(ctx, time.Until(begin.Add(fault.Start))) {
				return
			}
			d.logFault(fault, eventlog.NoteFaultBegins)
			d.logger.Info("fault started", "kind", fault.Kind, "servers", in.servers)
			in.inject(ctx)
			d.logFault(fault, eventlog.NoteFaultEnds)
		})
	}
}

func (d *Deployment) logFault(fault Fault, note string) {
	d.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Code: string(fault.Kind), Note: note})
}

// load returns the load of the script on all dispatchers.
func (d *Deployment) load() userclient.Load {
	return userclient.Load{
		Targets:            d.Addresses(),
		Classes:            d.Script.ClientClasses(),
		Duration:           d.Script.Duration,
		Seed:               uint64(d.Script.Seed),
		ConnsPerDispatcher: defaultConnsPerDispatcher,
		Rate:               d.Script.SessionRate,
		PromptFactor:       d.Script.PromptFactors(),
	}
}

// admissionCounts returns the counts of the admission queues of all running dispatchers, by dispatcher and tenant.
func (d *Deployment) admissionCounts() []admission.TenantCounts {
	var counts []admission.TenantCounts
	for n := range d.dispatchers {
		if node := d.Dispatcher(n); node != nil {
			node.RunOnLoop(func(core *dispatch.Dispatcher) {
				for _, tenant := range core.TenantStatuses() {
					counts = append(counts, tenant.Counts)
				}
			})
		}
	}
	return counts
}

// Evaluate counts the attempts in the entries of the report and checks the invariants on the entries.
func (r *Report) Evaluate(s *Script) {
	r.Violations = invariants.Check(r.Entries, s.InvariantLimits())
	for i := range r.Entries {
		if r.Entries[i].Kind == eventlog.AttemptSent {
			r.Attempts++
		}
	}
}
