package calibrate

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/engine/batchmodel"
)

const (
	zone      = "a"
	otherZone = "b"
	cell      = "a1"
	otherCell = "b1"

	slotCount     = 8
	queueLength   = 64
	memoryTokens  = 1 << 15
	prefillRate   = 20000.0  // tokens per second
	transferRate  = 100000.0 // tokens per second
	tokenInterval = 20 * time.Millisecond
	maxHoldTime   = time.Minute
)

// calibration is the state of one Measure call: the engines started and the comparisons made so far.
type calibration struct {
	engines     []*engine.Engine
	conns       []*grpc.ClientConn
	links       *engine.Links
	lastRequest uint64
	comparisons []Comparison

	mixed testEngine // serves prefill and decode; skips its warm-up
	shape batchmodel.Shape

	meanContext int64 // context tokens at the middle of the answer in checkTokenIntervalAlone
}

// testEngine is an engine with a client for it.
type testEngine struct {
	*engine.Engine
	client pb.EngineClient
}

// newCalibration returns a calibration with the engine that most checks use.
func newCalibration() (*calibration, error) {
	c := &calibration{links: engine.NewLinks(engine.CellLinkFactor, engine.CrossZoneFactor)}
	var err error
	if c.mixed, err = c.startWarm(engine.Spec{Role: pb.Role_ROLE_MIXED, Zone: zone, Cell: cell}); err != nil {
		c.close()
		return nil, err
	}
	c.shape = c.mixed.Spec.BatchShape()
	return c, nil
}

func (c *calibration) close() {
	for _, conn := range c.conns {
		conn.Close()
	}
	for _, e := range c.engines {
		e.Crash()
	}
	c.links.Close()
}

// startWarm starts an engine that skips its warm-up.
func (c *calibration) startWarm(spec engine.Spec) (testEngine, error) {
	e, err := c.start(spec)
	if err == nil {
		e.SkipWarmup()
	}
	return e, err
}

// start starts an engine with the role, zone, cell and warm-up of the given specification. All other fields are set
// here.
func (c *calibration) start(spec engine.Spec) (testEngine, error) {
	spec.ID, spec.Slots, spec.Queue, spec.MemoryTokens = len(c.engines)+1, slotCount, queueLength, memoryTokens
	spec.PrefillRate, spec.RequestsPerSecond, spec.TransferRate = prefillRate, 1000, transferRate
	spec.MaxHoldTime, spec.BatchModel, spec.TokenInterval = maxHoldTime, true, tokenInterval
	e := engine.New(spec, engine.LinearModel{}, nil)
	e.Links = c.links
	if err := e.Start("127.0.0.1:0"); err != nil {
		return testEngine{}, err
	}
	c.engines = append(c.engines, e)
	conn, err := grpc.NewClient(e.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return testEngine{}, err
	}
	c.conns = append(c.conns, conn)
	return testEngine{e, pb.NewEngineClient(conn)}, nil
}

// newAttempt returns an attempt of a new request. The label is also the session, and determines the length of the
// answer.
func (c *calibration) newAttempt(promptTokens, maxTokens uint32, label string) *pb.Launch {
	c.lastRequest++
	return &pb.Launch{Job: c.lastRequest, Request: &pb.GenerateRequest{
		PromptTokens: promptTokens, MaxTokens: maxTokens, Session: label, Label: label,
	}}
}

// prefill runs the prefill of a new request and releases its state. It returns the duration of the prefill.
func (c *calibration) prefill(
	ctx context.Context, target testEngine, promptTokens uint32, label string,
) (time.Duration, *pb.ReadDone, error) {
	return runPrefill(ctx, target, c.newAttempt(promptTokens, 1, label))
}

// runPrefill runs a prefill attempt and releases its state. It returns the duration of the prefill.
func runPrefill(ctx context.Context, target testEngine, attempt *pb.Launch) (time.Duration, *pb.ReadDone, error) {
	start := time.Now()
	done, err := target.client.Read(ctx, attempt)
	took := time.Since(start)
	if err == nil {
		_, err = target.client.Release(ctx, &pb.ReleaseRequest{Job: attempt.Job})
	}
	return took, done, err
}

// answerTimes holds the time to the first token of an answer and the intervals between its tokens.
type answerTimes struct {
	firstToken time.Duration
	intervals  []time.Duration
}

// decode runs a decode attempt to its end and returns the times of its tokens.
func decode(ctx context.Context, target testEngine, attempt *pb.Launch) (answerTimes, error) {
	var times answerTimes
	start := time.Now()
	stream, err := target.client.Write(ctx, attempt)
	if err != nil {
		return times, err
	}
	for last := start; ; {
		if _, err := stream.Recv(); errors.Is(err, io.EOF) {
			return times, nil
		} else if err != nil {
			return times, err
		}
		now := time.Now()
		if times.firstToken == 0 {
			times.firstToken = now.Sub(start)
		} else {
			times.intervals = append(times.intervals, now.Sub(last))
		}
		last = now
	}
}

// median returns the median of times. It sorts them in place.
func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}
