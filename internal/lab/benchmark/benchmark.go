// Package benchmark compares three routes to the same stand-in engines: through a dispatcher, through the baseline
// relay and directly. Each relay runs in its own process, whose CPU time and memory are read from /proc. The engines
// are stand-ins on loopback, so only ratios within one run are meaningful.
package benchmark

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// pauseBetweenPasses lets a relay finish the work that the previous pass left behind.
const pauseBetweenPasses = 300 * time.Millisecond

// Config describes a benchmark.
type Config struct {
	Streams         []int         // numbers of concurrent streams; each route has one pass per number
	TokenInterval   time.Duration // time between the tokens of an answer
	Tokens          int           // maximum length of an answer
	Duration        time.Duration // of each pass
	IdleConns       int           // number of idle connections for the memory measurement
	WaitingRequests int           // number of waiting requests for the memory measurement
	Program         string        // path of the docksail executable
	Output          io.Writer     // receives the results
}

// Measure runs the benchmark and writes each result as soon as it is known.
func Measure(ctx context.Context, config Config) error {
	b, err := startTestbed(&config)
	if err != nil {
		return err
	}
	defer b.stop()
	// Memory is measured first: a heap that has grown in a pass would hide later allocations.
	if err := b.measureMemory(ctx, &config); err != nil {
		return err
	}
	config.printPassHeader()
	for _, streams := range config.Streams {
		measurements := map[route]*measurement{}
		for _, via := range []route{routeDirect, routeBaseline, routeDispatcher} {
			m, err := b.measurePass(ctx, &config, via, streams)
			if err != nil {
				return err
			}
			m.route, measurements[via] = via, m
			config.printPass(m)
			time.Sleep(pauseBetweenPasses)
		}
		config.printRatios(measurements[routeDispatcher], measurements[routeBaseline])
	}
	return nil
}

func (c *Config) printPassHeader() {
	fmt.Fprintf(c.Output, "stand-ins on loopback, a token every %v, answers of up to %d tokens, %v per pass\n",
		c.TokenInterval, c.Tokens, c.Duration)
	fmt.Fprintf(c.Output, "%-9s %8s %8s %10s %7s %10s %10s %12s %9s %9s %9s %9s\n",
		"route", "streams", "requests", "tokens", "failed", "tokens/s",
		"cpu", "tokens/cpu s", "first p50", "first p99", "gap p50", "gap p99")
}

func (c *Config) printPass(m *measurement) {
	fmt.Fprintf(c.Output, "%-9s %8d %8d %10d %7d %10.0f %9.2fs %12.0f %9.2f %9.2f %9.2f %9.2f\n",
		m.route, m.streams, m.requests, m.tokens, m.failed, float64(m.tokens)/m.duration.Seconds(),
		m.cpu.Seconds(), m.tokensPerCPUSecond(),
		millis(m.firstTokenTime, 50), millis(m.firstTokenTime, 99),
		millis(m.tokenIntervals, 50), millis(m.tokenIntervals, 99))
}

// millis returns a percentile, in milliseconds, of a histogram of microseconds.
func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// printRatios compares the dispatcher with the baseline relay.
func (c *Config) printRatios(dispatcher, baseline *measurement) {
	streams := dispatcher.streams
	fmt.Fprintf(c.Output, "at %d streams: resident memory grew by %d bytes per stream, that of the baseline by %d\n",
		streams, dispatcher.memoryGrowth/int64(streams), baseline.memoryGrowth/int64(streams))
	if dispatcher.cpu <= 0 || baseline.cpu <= 0 || dispatcher.requests == 0 || baseline.requests == 0 {
		return
	}
	fmt.Fprintf(c.Output, "at %d streams: %.2f times the baseline's tokens per CPU second, %.2f of its CPU per request\n",
		streams, dispatcher.tokensPerCPUSecond()/baseline.tokensPerCPUSecond(),
		dispatcher.cpuPerRequest()/baseline.cpuPerRequest())
}
