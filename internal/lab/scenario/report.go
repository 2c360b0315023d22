package scenario

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"docksail/internal/decide/admission"
	"docksail/internal/dispatch"
	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/invariants"
	"docksail/internal/lab/userclient"
)

const (
	maxPrintedAdmissionCounts = 8 // above it, Print prints only the sum
	maxPrintedViolations      = 20
)

// Report is the outcome of a run.
type Report struct {
	Summaries       map[string]*userclient.Summary // by class
	Violations      []invariants.Violation
	Entries         []eventlog.Entry
	Counts          dispatch.Counts
	Attempts        int
	AdmissionCounts []admission.TenantCounts // by dispatcher, by tenant
	Elapsed         time.Duration
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	r.printSummaries(w)
	c := r.Counts
	fmt.Fprintf(w, "dispatchers: %d attempts, %d canceled, %d timed out, %d broken, %d releases, "+
		"%d load reports (%d stale), %d rejected at intake, %d invalid decisions\n",
		c.Attempts, c.Cancels, c.TimedOut, c.Broken, c.Releases, c.LoadReports, c.StaleLoadReports,
		c.RejectedAtIntake, c.InvalidDecisions)
	r.printAdmissionCounts(w)
	r.printReservedRetries(w)
	r.printViolations(w)
}

func (r *Report) printSummaries(w io.Writer) {
	fmt.Fprintf(w, "%-16s %7s %7s %8s %8s %8s %9s %5s %7s %6s %8s %8s %8s\n", "class", "reqs", "tries", "served",
		"on time", "rejected", "failed", "left", "no end", "corrupt", "value", "p50 ms", "p99 ms")
	for _, name := range slices.Sorted(maps.Keys(r.Summaries)) {
		s := r.Summaries[name]
		slices.Sort(s.FirstTokenTimes)
		fmt.Fprintf(w, "%-16s %7d %7d %8d %8d %8d %9d %5d %7d %6d %8.3f %8.0f %8.0f\n", name, s.Requests, s.Attempts,
			s.Served, s.OnTime, s.Rejected, s.Failed, s.Canceled, s.Unanswered, s.Corrupt, s.ValueShare(),
			quantileMilliseconds(s.FirstTokenTimes, 0.5), quantileMilliseconds(s.FirstTokenTimes, 0.99))
	}
}

func (r *Report) printAdmissionCounts(w io.Writer) {
	counts := r.AdmissionCounts
	if len(counts) > maxPrintedAdmissionCounts {
		var sum admission.TenantCounts
		for _, c := range counts {
			sum.Add(c)
		}
		counts = []admission.TenantCounts{sum}
	}
	for i, c := range counts {
		if c.Arrived == 0 {
			continue
		}
		fmt.Fprintf(w, "admission %d: %d arrived, %d admitted, %d canceled, rejected %v, mean wait %d ms, longest %d ms, "+
			"reservations: %d granted, %d redeemed, %d admitted, %d invalid\n",
			i, c.Arrived, c.Admitted, c.Cancelled, c.Rejected,
			c.TotalWait/int64(max(c.Admitted, 1))/1e6, c.MaxWait/1e6, c.ReservationsGranted, c.ReservationsRedeemed,
			c.ReservationsAdmitted, c.ReservationsInvalid)
	}
}

func (r *Report) printReservedRetries(w io.Writer) {
	retries, served := 0, 0
	for _, s := range r.Summaries {
		retries, served = retries+s.ReservedRetries, served+s.ReservedRetriesServed
	}
	if retries > 0 {
		fmt.Fprintf(w, "retries with a reservation: %d, %.3f of them served\n", retries, float64(served)/float64(retries))
	}
}

func (r *Report) printViolations(w io.Writer) {
	if len(r.Violations) == 0 {
		fmt.Fprintf(w, "invariants: all five kept, over %d attempts on the sockets, in %v\n", r.Attempts,
			r.Elapsed.Round(time.Second))
		return
	}
	fmt.Fprintf(w, "invariants: BROKEN, %d times\n", len(r.Violations))
	for i, v := range r.Violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(w, "  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(w, "  %v\n", v)
	}
}

// quantileMilliseconds returns a quantile of sorted durations, or 0 if there are none.
func quantileMilliseconds(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))]) / 1e6
}
