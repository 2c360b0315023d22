// Package loadgen sends open-loop load to running dispatchers. It measures the time to the first token from the time
// at which each request was due, so that a delayed generator or dispatcher does not hide latency (coordinated
// omission).
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

// Config holds the parameters of a load.
type Config struct {
	Script             *scenario.Script // provides the classes and the sessions per second
	Targets            []string         // addresses of dispatchers
	Pattern            string           // one of Patterns
	RecordFile         string           // event log for the pattern "recorded"
	Duration           time.Duration
	ConnsPerDispatcher int
}

// ClassResult holds the results of the requests of a class.
type ClassResult struct {
	Requests, Served int64
	StatusCounts     map[codes.Code]int64
	FirstTokenTime   *hdrhistogram.Histogram // nanoseconds since the request was due
}

func newClassResult() *ClassResult {
	return &ClassResult{
		StatusCounts:   map[codes.Code]int64{},
		FirstTokenTime: hdrhistogram.New(minRecordedTime, maxRecordedTime, significantDigits),
	}
}

// results collects the results of requests while the load runs.
type results struct {
	mu            sync.Mutex
	ended, served int64
	classes       map[string]*ClassResult
}

// record records the result of a request.
func (r *results) record(class string, firstToken time.Duration, code codes.Code) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.classes[class]
	result.Requests++
	result.StatusCounts[code]++
	r.ended++
	if code != codes.OK {
		return
	}
	result.Served++
	r.served++
	nanos := min(max(int64(firstToken), minRecordedTime), maxRecordedTime)
	_ = result.FirstTokenTime.RecordValue(nanos) // cannot fail within the bounds of the histogram
}

func (r *results) counts() (ended, served int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended, r.served
}

// ProgressFunc is called once per second with the time since the start, the number of requests that have ended and the
// number of those that were served.
type ProgressFunc func(at time.Duration, ended, served int64)

// GenerateLoad sends the load and returns the results by class. onProgress may be nil.
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

// reportProgress calls onProgress once per second until the context is done.
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
