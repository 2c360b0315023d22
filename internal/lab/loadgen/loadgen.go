// Package loadgen sends open-loop load to dispatchers that run anywhere on this machine. It measures first tokens from
// the time at which each request was due, so that a generator or a dispatcher that falls behind hides nothing.
package loadgen

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/grpc/codes"

	"docksail/internal/lab/scenario"
	"docksail/internal/lab/userclient"
)

const (
	minRecordedTime   = int64(time.Microsecond)
	maxRecordedTime   = int64(10 * time.Minute)
	significantDigits = 3

	progressInterval = time.Second
)

// Config describes a run.
type Config struct {
	Script             *scenario.Script // its classes and sessions a second
	Targets            []string         // addresses of dispatchers
	Pattern            string           // one of Patterns
	RecordFile         string           // of the pattern "recorded"
	Duration           time.Duration
	ConnsPerDispatcher int
}

// ClassResult holds the outcome of a class's requests.
type ClassResult struct {
	Requests, Served int64
	StatusCounts     map[codes.Code]int64
	FirstTokenTime   *hdrhistogram.Histogram // nanoseconds from when a request was due
}

func newClassResult() *ClassResult {
	return &ClassResult{
		StatusCounts:   map[codes.Code]int64{},
		FirstTokenTime: hdrhistogram.New(minRecordedTime, maxRecordedTime, significantDigits),
	}
}

// results collects the outcome of requests while the load runs.
type results struct {
	mu            sync.Mutex
	ended, served int64
	classes       map[string]*ClassResult
}

// record records the end of a request.
func (r *results) record(class string, firstToken time.Duration, code codes.Code) {
	r.mu.Lock()
	defer r.mu.Unlock()
	of := r.classes[class]
	of.Requests++
	of.StatusCounts[code]++
	r.ended++
	if code != codes.OK {
		return
	}
	of.Served++
	r.served++
	nanos := min(max(int64(firstToken), minRecordedTime), maxRecordedTime)
	_ = of.FirstTokenTime.RecordValue(nanos) // within the histogram's bounds it cannot fail
}

func (r *results) counts() (ended, served int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended, r.served
}

// ProgressFunc is called each second with the time since the start and the number of requests that have ended, and of
// those that were served.
type ProgressFunc func(at time.Duration, ended, served int64)

// GenerateLoad sends the load and returns the outcome by class. onProgress may be nil.
func GenerateLoad(ctx context.Context, config Config, onProgress ProgressFunc) (map[string]*ClassResult, error) {
	rate, err := ArrivalRate(config.Pattern, config.Script.SessionsPerSecond, config.Duration)
	if err != nil {
		return nil, err
	}
	r := &results{classes: map[string]*ClassResult{}}
	for _, class := range config.Script.Classes {
		r.classes[class.Name] = newClassResult()
	}
	load := userclient.Load{
		Targets: config.Targets, Classes: config.Script.ClientClasses(), Rate: rate, Duration: config.Duration,
		Seed: uint64(config.Script.Seed), ConnsPerDispatcher: config.ConnsPerDispatcher, OnDone: r.record,
	}
	if config.Pattern == patternRecorded {
		if load.Arrivals, err = RecordedArrivals(config.RecordFile); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if onProgress != nil {
		go r.reportProgress(ctx, onProgress)
	}
	if _, err := userclient.RunLoad(ctx, load, nil); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil && !errors.Is(err, context.Canceled) {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.classes, nil
}

// reportProgress calls onProgress each second until the context is done.
func (r *results) reportProgress(ctx context.Context, onProgress ProgressFunc) {
	start := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			ended, served := r.counts()
			onProgress(time.Since(start), ended, served)
		case <-ctx.Done():
			return
		}
	}
}
