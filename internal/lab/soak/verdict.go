package soak

import (
	"errors"
	"fmt"
	"strings"
)

// Verdict is the outcome of a soak.
type Verdict struct {
	Seed             uint64
	Processes        int
	FleetDescription string
	Schedule         []Fault
	Requests         int
	Served           int
	Canceled         int         // requests that their client canceled
	AfterTerm        int         // requests that were sent to a dispatcher after its SIGTERM
	LastSent         int         // those of them that were sent in the last lastMoment before the planned SIGKILL
	Read             int         // requests that the dispatchers have read, by their logs
	Excused          int         // missing answers to requests that were not read
	StatesHeld       int         // prefills that left a state
	Releases         int         // releases that reached a server
	PeakMB           float64     // the most memory of a dispatcher
	MemoryMB         int         // limit of PeakMB
	PressureAnswers  map[int]int // answers to clients of pressure, by status; 0 = none
	Violations       []string
}

// ErrNothingServed reports a run that is inconclusive because no request was served or no prefill left a state.
var ErrNothingServed = errors.New("no request was served or no prefill left a state")

// ViolationsError reports a run that violated invariants.
type ViolationsError struct{ Count int }

func (e *ViolationsError) Error() string { return fmt.Sprintf("%d violations of invariants", e.Count) }

// Err returns nil if the run served requests and violated no invariant, else a *ViolationsError or ErrNothingServed.
func (v *Verdict) Err() error {
	switch {
	case len(v.Violations) > 0:
		return &ViolationsError{len(v.Violations)}
	case v.Served == 0 || v.StatesHeld == 0:
		return ErrNothingServed
	}
	return nil
}

// String returns the verdict as one line.
func (v *Verdict) String() string {
	return fmt.Sprintf("seed %d: %d processes, %s, %d faults, %d requests, %d served, %d canceled, "+
		"%d after SIGTERM, %d just before SIGKILL, %d read, %d excused as unread, %d states, %d releases, "+
		"peak %.1f of %d MB, answers under pressure %v, %d violations",
		v.Seed, v.Processes, v.FleetDescription, len(v.Schedule), v.Requests, v.Served, v.Canceled,
		v.AfterTerm, v.LastSent, v.Read, v.Excused, v.StatesHeld, v.Releases,
		v.PeakMB, v.MemoryMB, v.PressureAnswers, len(v.Violations))
}

// Details returns the verdict's line and, if there are violations, the schedule of faults and each violation.
func (v *Verdict) Details() string {
	var b strings.Builder
	fmt.Fprintln(&b, v)
	if len(v.Violations) == 0 {
		return b.String()
	}
	for _, fault := range v.Schedule {
		fmt.Fprintln(&b, " ", fault)
	}
	for _, text := range v.Violations {
		fmt.Fprintln(&b, text)
	}
	return b.String()
}

// count adds the outcome of a request to the counts.
func (v *Verdict) count(outcome clientOutcome) {
	v.Requests++
	switch outcome {
	case outcomeServed:
		v.Served++
	case outcomeCanceled:
		v.Canceled++
	case outcomeNotServed:
	}
}
