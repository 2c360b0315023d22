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
	retryDelay   = 250 * time.Millisecond // between a failed request and the next one of its stream
	// memorySampleTenths is the point of a pass, in tenths of its duration, at which the memory of the busy relay is
	// read.
	memorySampleTenths = 9
)

// measurement is the result of one pass.
type measurement struct {
	route                    route
	streams                  int
	requests, tokens, failed uint64
	cpu                      time.Duration // CPU time of the relay
	duration                 time.Duration
	firstTokenTime           *hdrhistogram.Histogram // microseconds
	tokenIntervals           *hdrhistogram.Histogram // microseconds
	memoryGrowth             int64                   // of the relay while the streams run, in bytes
}

// tokensPerCPUSecond returns the tokens per second of the relay's CPU time; 0 without a relay.
func (m *measurement) tokensPerCPUSecond() float64 {
	if m.cpu <= 0 {
		return 0
	}
	return float64(m.tokens) / m.cpu.Seconds()
}

// cpuPerRequest returns the relay's CPU time per request in seconds.
func (m *measurement) cpuPerRequest() float64 { return m.cpu.Seconds() / float64(m.requests) }

// measurePass runs one pass: the given number of streams over one route.
func (b *testbed) measurePass(ctx context.Context, config *Config, via route, streams int) (*measurement, error) {
	ctx, cancel := context.WithCancel(ctx) // not a timeout, which would be sent to the servers and enforced
	defer cancel()
	time.AfterFunc(config.Duration, cancel)
	relay := b.relay(via)
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

// dial returns clients of a relay, or of the engines if relay is nil.
func (b *testbed) dial(relay *relay) (*clients, error) {
	if relay == nil {
		return dialEngines(b.addresses)
	}
	return dialRelay(relay.address)
}

// streamCounters holds the counters that all streams of a pass share.
type streamCounters struct{ sent, requests, tokens, failed atomic.Uint64 }

// runStreams runs the given number of streams until the context is done.
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
			time.Sleep(time.Duration(answerTime * float64(i) / float64(streams))) // spreads the starts
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

// stream sends requests one after another.
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

// request sends a request and records the time to its first token and the intervals between its tokens.
func (s *stream) request(ctx context.Context) error {
	number := s.counters.sent.Add(1)
	request := &pb.GenerateRequest{
		Track: requestClass, PromptTokens: promptTokens, MaxTokens: s.maxTokens, Label: strconv.FormatUint(number, 10),
	}
	last, times := time.Now(), s.firstTokenTime
	return s.generate(ctx, number, request, func(*pb.Tokens) error {
		now := time.Now()
		_ = times.RecordValue(now.Sub(last).Microseconds()) // fails for times above the maximum, which are dropped
		last, times = now, s.tokenIntervals
		s.counters.tokens.Add(1)
		return nil
	})
}
