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
	// rounds is how often a time is measured. The shortest counts: other processes on the machine only ever add time.
	rounds = 5

	promptTokens       = 4000 // two steps of a prefill
	answerPromptTokens = 1000
	maxAnswerTokens    = 60
	concurrentAnswers  = 6
	stateTokens        = 8000 // of a state that is transferred
	evictionTokens     = 4096 // of each prompt that takes memory from the others
	evictionExcess     = 2    // prompts more than fit
	coldPromptTokens   = 1000
	coldCapacity       = 0.25 // share of its rate at which a cold engine starts
	warmupTime         = 4 * time.Second
	coldStartInterval  = 300 * time.Millisecond // between the starts of cold engines
)

// prefillTime returns the intended time of a prefill that takes so many steps.
func (c *calibration) prefillTime(steps, tokens int64) time.Duration {
	return time.Duration(steps*c.shape.StepTime + tokens*c.shape.TimePerPromptToken)
}

// decodeStepTime returns the intended time of a step with so many answers, each with so many tokens of context.
func (c *calibration) decodeStepTime(answers, contextTokens int64) time.Duration {
	return time.Duration(c.shape.StepTime + answers*c.shape.TimePerAnswer +
		answers*contextTokens*c.shape.TimePer1kContext/1000)
}

// checkPrefillTime measures a prefill of several steps.
func (c *calibration) checkPrefillTime(ctx context.Context) error {
	var times []time.Duration
	for i := range rounds {
		took, _, err := c.prefill(ctx, c.mixed, promptTokens, fmt.Sprint("read", i))
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	const steps = (promptTokens + engine.ChunkTokens - 1) / engine.ChunkTokens
	c.addTime("read of 4,000 tokens", c.prefillTime(steps, promptTokens), slices.Min(times))
	return nil
}

// checkCachedPrefill measures the second prefill of a prompt: all but its last token are cached.
func (c *calibration) checkCachedPrefill(ctx context.Context) error {
	if _, _, err := c.prefill(ctx, c.mixed, promptTokens, "kept"); err != nil {
		return err
	}
	var times []time.Duration
	leastKept := uint32(promptTokens)
	for range rounds {
		took, done, err := c.prefill(ctx, c.mixed, promptTokens, "kept")
		if err != nil {
			return err
		}
		times = append(times, took)
		leastKept = min(leastKept, done.KeptTokens)
	}
	c.add("tokens kept of 4,000 read again", promptTokens-1, float64(leastKept), "tokens")
	c.addTime("time of that read", c.prefillTime(1, 1), slices.Min(times))
	return nil
}

// checkTokenIntervalAlone measures the time between the tokens of an answer that is alone on its engine.
func (c *calibration) checkTokenIntervalAlone(ctx context.Context) error {
	times, err := decode(ctx, c.mixed, c.newAttempt(answerPromptTokens, maxAnswerTokens, "gap"))
	if err != nil {
		return err
	}
	c.meanContext = int64(answerPromptTokens + len(times.intervals)/2)
	c.addTime("gap, one answer alone", c.decodeStepTime(1, c.meanContext), median(times.intervals))
	return nil
}

// checkTokenIntervalTogether measures the time between the tokens of answers that share their engine's steps. Of each
// answer the part from the half to two thirds counts, where all of them run and no prefill does.
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
	c.addTime("gap, six answers together", c.decodeStepTime(concurrentAnswers, c.meanContext), median(intervals))
	return nil
}

// checkTransfers measures the transfer of a state within a cell and to another zone.
func (c *calibration) checkTransfers(ctx context.Context) error {
	if err := c.checkTransfer(ctx, "move of 8,000 tokens within a cell", zone, cell, 1); err != nil {
		return err
	}
	return c.checkTransfer(ctx, "the same to another zone", otherZone, otherCell, engine.CrossZoneFactor)
}

// checkTransfer measures the first token of answers whose state is transferred to a decode server at that place. The
// transfer takes so many times as long as one within the cell.
func (c *calibration) checkTransfer(ctx context.Context, name, toZone, toCell string, factor float64) error {
	decodeServer, err := c.startWarm(engine.Spec{Role: pb.Role_ROLE_WRITER, Zone: toZone, Cell: toCell})
	if err != nil {
		return err
	}
	var firstTokens []time.Duration
	for i := range rounds {
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

// checkEviction measures how many prompts stay cached if more than fit have been read: the least recently used are
// evicted.
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
	for i := fitting + evictionExcess - 1; i > 0; i-- { // the newest first, so that looking evicts none of the others
		_, done, err := c.prefill(ctx, server, evictionTokens, fmt.Sprint("evict", i))
		if err != nil {
			return err
		}
		if done.KeptTokens < evictionTokens/2 {
			break
		}
		cached++
	}
	c.add("beginnings still kept, of two more than fit", float64(fitting), float64(cached), "")
	return nil
}

// checkColdStart measures prefills during the warm-up of engines, whose rate grows to its full rate. Each engine has
// only one warm-up, so several are measured, some time apart: what delays one measurement then does not delay all.
func (c *calibration) checkColdStart(ctx context.Context) error {
	results := make(chan coldStart, rounds)
	for range rounds {
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
	for range rounds {
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

// coldStart is what was measured during the warm-up of one engine.
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
			Name:     fmt.Sprintf("read of 1,000 tokens, %v after a cold start", offset),
			Intended: intended * 1e3, Measured: millis(took), Unit: "ms",
		}
	}
	return result
}
