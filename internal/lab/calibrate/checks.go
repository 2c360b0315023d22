package calibrate

import (
	"context"
	"fmt"
	"slices"
	"time"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine"
)

const (
	// repetitions is how often a duration is measured. The shortest one is used: other processes on the machine only
	// lengthen it.
	repetitions = 5

	promptTokens       = 4000 // takes two steps of a prefill
	answerPromptTokens = 1000
	maxAnswerTokens    = 60
	concurrentAnswers  = 6
	stateTokens        = 8000 // length of a state that is transferred
	evictionTokens     = 4096 // length of each prompt that competes for memory
	evictionExcess     = 2    // prompts beyond those that fit in memory
	coldPromptTokens   = 1000
	coldCapacity       = 0.25 // fraction of its full rate at which a cold engine starts
	warmupTime         = 4 * time.Second
	coldStartInterval  = 300 * time.Millisecond // between the starts of cold engines
)

// prefillTime returns the intended duration of a prefill with the given numbers of steps and of prompt tokens.
func (c *calibration) prefillTime(steps, tokens int64) time.Duration {
	return time.Duration(steps*c.shape.StepTime + tokens*c.shape.TimePerPromptToken)
}

// decodeStepTime returns the intended duration of a step that continues the given number of answers, each with the
// given number of context tokens.
func (c *calibration) decodeStepTime(answers, contextTokens int64) time.Duration {
	return time.Duration(c.shape.StepTime + answers*c.shape.TimePerAnswer +
		answers*contextTokens*c.shape.TimePer1kContext/1000)
}

// checkPrefillTime measures the duration of a prefill that takes several steps.
func (c *calibration) checkPrefillTime(ctx context.Context) error {
	var times []time.Duration
	for i := range repetitions {
		took, _, err := c.prefill(ctx, c.mixed, promptTokens, fmt.Sprint("read", i))
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	const steps = (promptTokens + engine.ChunkTokens - 1) / engine.ChunkTokens
	c.addTime("prefill of 4,000 tokens", c.prefillTime(steps, promptTokens), slices.Min(times))
	return nil
}

// checkCachedPrefill measures the second prefill of a prompt, of which all but the last token are cached.
func (c *calibration) checkCachedPrefill(ctx context.Context) error {
	if _, _, err := c.prefill(ctx, c.mixed, promptTokens, "kept"); err != nil {
		return err
	}
	var times []time.Duration
	minCachedTokens := uint32(promptTokens)
	for range repetitions {
		took, done, err := c.prefill(ctx, c.mixed, promptTokens, "kept")
		if err != nil {
			return err
		}
		times = append(times, took)
		minCachedTokens = min(minCachedTokens, done.KeptTokens)
	}
	c.add("cached tokens of the repeated prompt", promptTokens-1, float64(minCachedTokens), "tokens")
	c.addTime("prefill of the repeated prompt", c.prefillTime(1, 1), slices.Min(times))
	return nil
}

// checkTokenIntervalAlone measures the time between the tokens of an answer that is alone on its engine.
func (c *calibration) checkTokenIntervalAlone(ctx context.Context) error {
	times, err := decode(ctx, c.mixed, c.newAttempt(answerPromptTokens, maxAnswerTokens, "gap"))
	if err != nil {
		return err
	}
	c.meanContext = int64(answerPromptTokens + len(times.intervals)/2)
	c.addTime("token interval, one answer", c.decodeStepTime(1, c.meanContext), median(times.intervals))
	return nil
}

// checkTokenIntervalTogether measures the time between the tokens of answers that share the steps of their engine. It
// uses the part of each answer from one half to two thirds, during which all answers and no prefills run.
func (c *calibration) checkTokenIntervalTogether(ctx context.Context) error {
	type result struct {
		times answerTimes
		err   error
	}
	results := make(chan result, concurrentAnswers)
	for i := range concurrentAnswers {
		attempt := c.newAttempt(answerPromptTokens, maxAnswerTokens, fmt.Sprint("many", i))
		go func() {
			times, err := decode(ctx, c.mixed, attempt)
			results <- result{times, err}
		}()
	}
	var intervals []time.Duration
	for range concurrentAnswers {
		r := <-results
		if r.err != nil {
			return r.err
		}
		n := len(r.times.intervals)
		intervals = append(intervals, r.times.intervals[n/2:n*2/3]...)
	}
	c.addTime("token interval, six answers", c.decodeStepTime(concurrentAnswers, c.meanContext), median(intervals))
	return nil
}

// checkTransfers measures the transfer of a state within a cell and to another zone.
func (c *calibration) checkTransfers(ctx context.Context) error {
	if err := c.checkTransfer(ctx, "transfer of 8,000 tokens within a cell", zone, cell, 1); err != nil {
		return err
	}
	return c.checkTransfer(ctx, "transfer of 8,000 tokens to another zone", otherZone, otherCell, engine.CrossZoneFactor)
}

// checkTransfer measures the time to the first token of answers whose state is transferred to a decode server in the
// given zone and cell. The transfer is intended to take factor times as long as one within the cell.
func (c *calibration) checkTransfer(ctx context.Context, name, toZone, toCell string, factor float64) error {
	decodeServer, err := c.startWarm(engine.Spec{Role: pb.Role_ROLE_WRITER, Zone: toZone, Cell: toCell})
	if err != nil {
		return err
	}
	var firstTokens []time.Duration
	for i := range repetitions {
		attempt := c.newAttempt(stateTokens, 1, fmt.Sprint(toCell, i))
		if _, err := c.mixed.client.Read(ctx, attempt); err != nil {
			return err
		}
		attempt.StateAddress = c.mixed.Addr()
		times, err := decode(ctx, decodeServer, attempt)
		if err != nil {
			return err
		}
		firstTokens = append(firstTokens, times.firstToken)
	}
	intendedSeconds := stateTokens*factor/transferRate + c.decodeStepTime(1, stateTokens).Seconds()
	c.add(name, intendedSeconds*1e3, millis(slices.Min(firstTokens)), "ms")
	return nil
}

// checkEviction measures how many prompts stay cached after more prompts than fit in memory: the least recently used
// ones are evicted.
func (c *calibration) checkEviction(ctx context.Context) error {
	server, err := c.startWarm(engine.Spec{Role: pb.Role_ROLE_READER, Zone: zone, Cell: cell})
	if err != nil {
		return err
	}
	fitting := int(server.Spec.MemoryTokens) / evictionTokens
	for i := range fitting + evictionExcess {
		if _, _, err := c.prefill(ctx, server, evictionTokens, fmt.Sprint("evict", i)); err != nil {
			return err
		}
	}
	cached := 0
	for i := fitting + evictionExcess - 1; i > 0; i-- { // newest first, so that a lookup does not evict older prompts
		_, done, err := c.prefill(ctx, server, evictionTokens, fmt.Sprint("evict", i))
		if err != nil {
			return err
		}
		if done.KeptTokens < evictionTokens/2 {
			break
		}
		cached++
	}
	c.add("prefixes cached, after two more than fit", float64(fitting), float64(cached), "")
	return nil
}

// checkColdStart measures prefills during the warm-up of engines, in which their rate grows to the full rate. As each
// engine warms up only once, several engines are measured, started at intervals so that one delay does not affect all.
func (c *calibration) checkColdStart(ctx context.Context) error {
	results := make(chan coldStart, repetitions)
	for range repetitions {
		server, err := c.start(engine.Spec{
			Role: pb.Role_ROLE_READER, Zone: zone, Cell: cell, InitialCapacity: coldCapacity, WarmupTime: warmupTime,
		})
		if err != nil {
			return err
		}
		attempts := make([]*pb.Launch, len(coldStartOffsets))
		for i := range attempts {
			attempts[i] = c.newAttempt(coldPromptTokens, 1, fmt.Sprint("cold", i))
		}
		go func() { results <- c.measureColdStart(ctx, server, attempts) }()
		time.Sleep(coldStartInterval)
	}
	var best [len(coldStartOffsets)]Comparison
	for range repetitions {
		result := <-results
		if result.err != nil {
			return result.err
		}
		for i, comparison := range result.comparisons {
			if best[i].Name == "" || comparison.RelativeError() < best[i].RelativeError() {
				best[i] = comparison
			}
		}
	}
	c.comparisons = append(c.comparisons, best[:]...)
	return nil
}

// coldStartOffsets are the times after an engine's start at which its prefills are measured.
var coldStartOffsets = [...]time.Duration{0, warmupTime / 2, warmupTime}

// coldStart is the result of measuring one engine during its warm-up.
type coldStart struct {
	comparisons [len(coldStartOffsets)]Comparison
	err         error
}

// measureColdStart measures one prefill at each offset after the start of an engine.
func (c *calibration) measureColdStart(ctx context.Context, server testEngine, attempts []*pb.Launch) coldStart {
	var result coldStart
	started, _ := server.StartTime()
	for i, offset := range coldStartOffsets {
		time.Sleep(time.Until(started.Add(offset)))
		capacity := min(1, coldCapacity+(1-coldCapacity)*time.Since(started).Seconds()/warmupTime.Seconds())
		took, _, err := runPrefill(ctx, server, attempts[i])
		if err != nil {
			return coldStart{err: err}
		}
		intended := c.prefillTime(1, coldPromptTokens).Seconds() / capacity
		result.comparisons[i] = Comparison{
			Name:     fmt.Sprintf("prefill of 1,000 tokens, %v after a cold start", offset),
			Intended: intended * 1e3, Measured: millis(took), Unit: "ms",
		}
	}
	return result
}
