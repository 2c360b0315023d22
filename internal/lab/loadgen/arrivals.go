package loadgen

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"docksail/internal/lab/eventlog"
)

// Names of the arrival patterns.
const (
	patternPoisson  = "poisson"
	patternBursts   = "bursts"
	patternDaily    = "daily"
	patternRecorded = "recorded"
)

// Patterns lists the names of all arrival patterns.
var Patterns = []string{patternPoisson, patternBursts, patternDaily, patternRecorded}

const (
	burstInterval  = 10 * time.Second
	burstShare     = 0.1 // fraction of each interval that the burst at its start takes
	burstFactor    = 5   // rate in a burst, as a multiple of the rate between bursts
	dailyAmplitude = 0.8 // amplitude of the daily cycle, as a fraction of the mean rate; a run is one cycle
)

// firstTurnSuffix is the suffix of the label of the first request of a session.
const firstTurnSuffix = ".0"

// ArrivalRate returns the rate of an arrival pattern at each time of a run with the given mean rate and duration.
func ArrivalRate(pattern string, meanRate float64, duration time.Duration) (func(at time.Duration) float64, error) {
	switch pattern {
	case patternPoisson, patternRecorded:
		return func(time.Duration) float64 { return meanRate }, nil
	case patternBursts:
		betweenBursts := meanRate / (1 + burstShare*(burstFactor-1))
		return func(at time.Duration) float64 {
			if at%burstInterval < time.Duration(burstShare*float64(burstInterval)) {
				return betweenBursts * burstFactor
			}
			return betweenBursts
		}, nil
	case patternDaily:
		return func(at time.Duration) float64 {
			return meanRate * (1 - dailyAmplitude*math.Cos(2*math.Pi*float64(at)/float64(duration)))
		}, nil
	}
	return nil, fmt.Errorf("pattern %q is unknown, must be one of %v", pattern, Patterns)
}

// RecordedArrivals returns the times at which the sessions of a recorded run started, relative to the first one.
func RecordedArrivals(file string) ([]time.Duration, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	entries, err := eventlog.Read(f)
	if err != nil && len(entries) == 0 {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	var arrivals []time.Duration
	first := int64(0)
	for i := range entries {
		e := &entries[i]
		if !startsSession(e) {
			continue
		}
		if first == 0 {
			first = e.At
		}
		arrivals = append(arrivals, time.Duration(e.At-first))
	}
	if len(arrivals) == 0 {
		return nil, fmt.Errorf("%s: contains no sessions", file)
	}
	slices.Sort(arrivals)
	return arrivals, nil
}

// startsSession reports whether an entry is the first attempt at the first request of a session.
func startsSession(e *eventlog.Entry) bool {
	return e.Kind == eventlog.RequestSent && e.ClientAttempt == 0 && strings.HasSuffix(e.RequestLabel, firstTurnSuffix)
}
