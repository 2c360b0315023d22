// Package loadgen sends open-loop load to dispatchers that run anywhere on this machine and tells how long first tokens
// took, from when each job was due: a generator or a dispatcher that falls behind hides nothing.
package loadgen

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/grpc/codes"

	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/scenario"
	"docksail/internal/lab/userclient"
)

// Patterns of arrivals.
var Patterns = []string{"poisson", "bursts", "daily", "recorded"}

const (
	burstEvery = 10 * time.Second // bursts: the first tenth of each such time has five times the rate
	burstPart  = 0.1
	burstTimes = 5
	daySwing   = 0.8 // daily: the rate swings by this share over the whole run, as over a day
)

// ArrivalRate gives the rate of a pattern over a run.
func ArrivalRate(pattern string, base float64, length time.Duration) (func(at time.Duration) float64, error) {
	switch pattern {
	case "poisson", "recorded":
		return func(time.Duration) float64 { return base }, nil
	case "bursts":
		usual := base / (1 + burstPart*(burstTimes-1)) // the mean is the base
		return func(at time.Duration) float64 {
			if at%burstEvery < time.Duration(burstPart*float64(burstEvery)) {
				return usual * burstTimes
			}
			return usual
		}, nil
	case "daily":
		return func(at time.Duration) float64 {
			return base * (1 - daySwing*math.Cos(2*math.Pi*float64(at)/float64(length)))
		}, nil
	}
	return nil, fmt.Errorf("pattern %q, want one of %v", pattern, Patterns)
}

// RecordedArrivals gives the times at which sessions of a record began, from its first.
func RecordedArrivals(name string) ([]time.Duration, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	es, err := eventlog.Read(f)
	if err != nil && len(es) == 0 {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	var at []time.Duration
	first := int64(0)
	for _, e := range es {
		if e.Kind != eventlog.RequestSent || e.ClientAttempt != 0 || len(e.RequestLabel) < 2 || e.RequestLabel[len(e.RequestLabel)-2:] != ".0" {
			continue
		}
		if first == 0 {
			first = e.At
		}
		at = append(at, time.Duration(e.At-first))
	}
	if len(at) == 0 {
		return nil, fmt.Errorf("%s: no session in it", name)
	}
	slices.Sort(at)
	return at, nil
}

// Config is a run.
type Config struct {
	Script             *scenario.Script // its tracks and sessions a second
	Targets            []string
	Pattern            string
	RecordFile         string // file, of the pattern recorded
	Duration           time.Duration
	ConnsPerDispatcher int
}

const (
	least, most = int64(time.Microsecond), int64(10 * time.Minute)
	digits      = 3
)

// ClassResult is what became of a track's jobs.
type ClassResult struct {
	Requests, Served int64
	StatusCounts     map[codes.Code]int64
	FirstTokenTime   *hdrhistogram.Histogram // nanoseconds from when it was due to its first token
}

// Run plays a plan; each second progress is told the jobs that have ended, and how many of them were honoured.
func Run(ctx context.Context, p Config, progress func(at time.Duration, ended, honoured int64)) (map[string]*ClassResult, error) {
	rate, err := ArrivalRate(p.Pattern, p.Script.SessionsPerSecond, p.Duration)
	if err != nil {
		return nil, err
	}
	tracks := map[string]*ClassResult{}
	for _, t := range p.Script.Classes {
		tracks[t.Name] = &ClassResult{StatusCounts: map[codes.Code]int64{}, FirstTokenTime: hdrhistogram.New(least, most, digits)}
	}
	var mu sync.Mutex
	ended, honoured := int64(0), int64(0)
	l := userclient.Load{
		Targets: p.Targets, Classes: p.Script.ClientClasses(), Rate: rate, Duration: p.Duration, Seed: uint64(p.Script.Seed), ConnsPerDispatcher: p.ConnsPerDispatcher,
		OnDone: func(track string, first time.Duration, code codes.Code) {
			mu.Lock()
			defer mu.Unlock()
			t := tracks[track]
			t.Requests++
			t.StatusCounts[code]++
			ended++
			if code == codes.OK {
				t.Served++
				honoured++
				t.FirstTokenTime.RecordValue(min(max(int64(first), least), most))
			}
		},
	}
	if p.Pattern == "recorded" {
		if l.Arrivals, err = RecordedArrivals(p.RecordFile); err != nil {
			return nil, err
		}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if progress != nil {
		begin := time.Now()
		go func() {
			for ticks := time.Tick(time.Second); ; {
				select {
				case <-ticks:
					mu.Lock()
					e, h := ended, honoured
					mu.Unlock()
					progress(time.Since(begin), e, h)
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	if _, err := userclient.RunLoad(ctx, l, nil); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil && !errors.Is(err, context.Canceled) {
		return nil, err
	}
	mu.Lock()
	defer mu.Unlock()
	return tracks, nil
}

// Print writes what became of the jobs, for people.
func Print(w io.Writer, tracks map[string]*ClassResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "track\tjobs\thonoured\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmost ms\t")
	names := make([]string, 0, len(tracks))
	for name := range tracks {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		x := tracks[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t", name, x.Requests, x.Served)
		for _, q := range []float64{50, 90, 99, 99.9, 100} {
			fmt.Fprintf(t, "%.1f\t", float64(x.FirstTokenTime.ValueAtQuantile(q))/1e6)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
