package benchmark

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	pb "docksail/api/docksail/v1"
)

const (
	maxRecordedMicros = 60e6
	significantDigits = 3

	promptTokens = 100
	retryDelay   = 250 * time.Millisecond // of a stream whose request has failed
	// memorySampleTenths is the time, in tenths of a pass, at which the memory of a busy relay is read.
	memorySampleTenths = 9
)

// measurement is what was measured of one route with one number of streams.
type measurement struct {
	route                    route
	streams                  int
	requests, tokens, failed uint64
	cpu                      time.Duration // of the relay
	duration                 time.Duration
	firstTokenTime           *hdrhistogram.Histogram // microseconds
	tokenIntervals           *hdrhistogram.Histogram // microseconds
	memoryGrowth             int64                   // of the relay while the streams ran, in bytes
}

// tokensPerCPUSecond returns the tokens for each second of the relay's CPU time; 0 without a relay.
func (m *measurement) tokensPerCPUSecond() float64 {
	if m.cpu <= 0 {
		return 0
	}
	return float64(m.tokens) / m.cpu.Seconds()
}

// cpuPerRequest returns the relay's CPU seconds for each request.
func (m *measurement) cpuPerRequest() float64 { return m.cpu.Seconds() / float64(m.requests) }

// measurePass measures one route with a number of streams.
func (b *testbed) measurePass(ctx context.Context, config *Config, by route, streams int) (*measurement, error) {
	ctx, cancel := context.WithCancel(ctx) // not a time-out, which would go on the wire and be kept
	defer cancel()
	time.AfterFunc(config.Duration, cancel)
	relay := b.relay(by)
	c, err := b.dial(relay)
	if err != nil {
		return nil, err
	}
	defer c.close()
	if relay == nil {
		return runStreams(ctx, config, streams, c.generate), nil
	}
	cpuBefore, err := relay.process.cpuTime()
	if err != nil {
		return nil, err
	}
	idleMemory, err := relay.process.residentMemory()
	if err != nil {
		return nil, err
	}
	var busyMemory atomic.Int64
	time.AfterFunc(config.Duration*memorySampleTenths/10, func() {
		if memory, err := relay.process.residentMemory(); err == nil {
			busyMemory.Store(memory)
		}
	})
	m := runStreams(ctx, config, streams, c.generate)
	cpuAfter, err := relay.process.cpuTime()
	if err != nil {
		return nil, err
	}
	m.cpu, m.memoryGrowth = cpuAfter-cpuBefore, busyMemory.Load()-idleMemory
	return m, nil
}

// dial returns clients of a relay, or of the engines if it is nil.
func (b *testbed) dial(relay *relay) (*clients, error) {
	if relay == nil {
		return dialEngines(b.addresses)
	}
	return dialRelay(relay.address)
}

// streamCounters are shared by the streams of a pass.
type streamCounters struct{ sent, requests, tokens, failed atomic.Uint64 }

// runStreams keeps a number of streams running until the context is done.
func runStreams(ctx context.Context, config *Config, streams int, generate generateFunc) *measurement {
	m := &measurement{streams: streams, firstTokenTime: newHistogram(), tokenIntervals: newHistogram()}
	var mu sync.Mutex // guards the histograms
	var running sync.WaitGroup
	var counters streamCounters
	start := time.Now()
	answerTime := float64(config.TokenInterval) * float64(config.Tokens)
	for i := range streams {
		running.Go(func() {
			s := stream{
				counters: &counters, maxTokens: uint32(config.Tokens), generate: generate,
				firstTokenTime: newHistogram(), tokenIntervals: newHistogram(),
			}
			time.Sleep(time.Duration(answerTime * float64(i) / float64(streams))) // starts are spread
			s.run(ctx)
			mu.Lock()
			defer mu.Unlock()
			m.firstTokenTime.Merge(s.firstTokenTime)
			m.tokenIntervals.Merge(s.tokenIntervals)
		})
	}
	running.Wait()
	m.requests, m.tokens, m.failed = counters.requests.Load(), counters.tokens.Load(), counters.failed.Load()
	m.duration = time.Since(start)
	return m
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedMicros, significantDigits)
}

// stream sends one request after another.
type stream struct {
	counters       *streamCounters
	maxTokens      uint32
	generate       generateFunc
	firstTokenTime *hdrhistogram.Histogram
	tokenIntervals *hdrhistogram.Histogram
}

func (s *stream) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.request(ctx)
		if err == nil {
			s.counters.requests.Add(1)
		} else if ctx.Err() == nil {
			s.counters.failed.Add(1)
			time.Sleep(retryDelay)
		}
	}
}

// request sends a request and records the times of its tokens.
func (s *stream) request(ctx context.Context) error {
	n := s.counters.sent.Add(1)
	request := &pb.GenerateRequest{
		Track: requestClass, PromptTokens: promptTokens, MaxTokens: s.maxTokens, Label: strconv.FormatUint(n, 10),
	}
	last, times := time.Now(), s.firstTokenTime
	return s.generate(ctx, n, request, func(*pb.Tokens) error {
		now := time.Now()
		_ = times.RecordValue(now.Sub(last).Microseconds()) // a time over the maximum is not recorded
		last, times = now, s.tokenIntervals
		s.counters.tokens.Add(1)
		return nil
	})
}
