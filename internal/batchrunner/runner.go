// Package batchrunner sends the lines of batches through the dispatcher as background requests and stores their
// results. It connects the store (internal/state/batchstore) and the scheduler (internal/decide/batchscheduler) to a
// gRPC client of the dispatcher's own frontend, so that every line passes the admission queue and the policy. The
// scheduler makes all scheduling decisions.
package batchrunner

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"

	pb "docksail/api/docksail/v1"
	"docksail/internal/bootclock"
	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/batchstore"
)

// CompletionsEndpoint is the only supported endpoint of batches and URL of their lines.
const CompletionsEndpoint = "/v1/completions"

// randomStream is the second half of the seed of the scheduler's random source, which Config.Seed begins.
const randomStream = 0x6261746368

// Class holds the settings of a request class that the runner needs.
type Class struct {
	Idempotency         batchscheduler.Idempotency
	DeduplicationWindow time.Duration
	Timeout             time.Duration // until a line's first token; 0 = the class does not accept batches
}

// Tenant is a tenant with its weight in the scheduler.
type Tenant struct {
	Name   string
	Weight float64
}

// Config configures a runner.
type Config struct {
	Tenants           []Tenant         // empty = a single tenant without a name
	Classes           map[string]Class // by name, which lines give as their model
	DispatcherAddress string
	MaxLinesInFlight  int
	InitialBackoff    time.Duration // of a line after its first attempt
	MaxLines          int           // of an input file
	MaxLineBytes      int
	Seed              uint64          // of the jitter of backoffs
	BootClock         bootclock.Clock // nil = bootclock.Now
}

// lineStore stores the states and results of lines. A *batchstore.Store implements it.
type lineStore interface {
	SetLineState(batchID string, index batchscheduler.LineIndex, state batchscheduler.LineState,
		attempts batchstore.Attempts) error
	RecordResult(batchID string, index batchscheduler.LineIndex, kind batchstore.ResultKind, text []byte) error
	FailLines(batchID string, indexes []batchscheduler.LineIndex,
		failureText func(index batchscheduler.LineIndex, line batchstore.Line) []byte) error
}

// Runner runs the batches of a store. Batches make progress only during a call of Run. Its methods may be called
// concurrently.
type Runner struct {
	config    Config
	store     *batchstore.Store
	lines     lineStore // is store, except in tests
	log       *slog.Logger
	client    pb.GenerationClient
	conn      *grpc.ClientConn
	tenants   map[string]int // index in the scheduler, by name
	startedAt time.Time
	wake      chan struct{} // has an element if Run must check the scheduler
	wg        sync.WaitGroup

	mu          sync.Mutex
	scheduler   *batchscheduler.Scheduler
	active      map[string]*activeBatch // by the ID in the store
	resuming    map[string]bool         // batches that a call of resume has reserved, by the ID in the store
	byID        map[batchscheduler.BatchID]*activeBatch
	lastBatchID batchscheduler.BatchID
	// unstoredEnds is the sum of those of all batches. No line is sent while it is at Config.MaxLinesInFlight, so that
	// what waits for a store that fails stays bounded.
	unstoredEnds int
}

// activeBatch is a batch that the scheduler holds. Runner.mu guards its fields except record.ID, record.Tenant,
// record.InputFileID, id, class and the contexts, which do not change.
type activeBatch struct {
	id           batchscheduler.BatchID
	record       batchstore.Batch
	class        Class              // of all lines
	ctx          context.Context    // of its requests; ends on cancellation and at the deadline
	cancel       context.CancelFunc // ends ctx
	runnerCtx    context.Context    // if it ends, unfinished lines are left to the next process
	finalizing   bool               // finalizeBatch has been started
	expired      bool               // its deadline has passed on the monotonic clock
	unstoredEnds int                // attempts whose end was reported to the scheduler but is not stored yet
}

// New returns a runner for the batches of a store. It connects to the dispatcher when the first line is sent.
func New(store *batchstore.Store, config Config, log *slog.Logger) (*Runner, error) {
	if len(config.Tenants) == 0 {
		config.Tenants = []Tenant{{Weight: 1}}
	}
	if config.BootClock == nil {
		config.BootClock = bootclock.Now
	}
	tenants := map[string]int{}
	var weights []float64
	for i, t := range config.Tenants {
		tenants[t.Name] = i
		weights = append(weights, t.Weight)
	}
	random := rand.New(rand.NewPCG(config.Seed, randomStream))
	scheduler, err := batchscheduler.New(
		weights, int64(config.InitialBackoff), config.MaxLinesInFlight, random.Float64,
	)
	if err != nil {
		return nil, err
	}
	conn, err := dialDispatcher(config.DispatcherAddress)
	if err != nil {
		return nil, err
	}
	return &Runner{
		config:    config,
		store:     store,
		lines:     store,
		log:       log,
		client:    pb.NewGenerationClient(conn),
		conn:      conn,
		tenants:   tenants,
		startedAt: time.Now(),
		wake:      make(chan struct{}, 1),
		scheduler: scheduler,
		active:    map[string]*activeBatch{},
		resuming:  map[string]bool{},
		byID:      map[batchscheduler.BatchID]*activeBatch{},
	}, nil
}

// now returns the scheduler's time: the monotonic time since the runner was created.
func (r *Runner) now() batchscheduler.Nanos { return int64(time.Since(r.startedAt)) }

// wakeLoop makes Run check the scheduler.
func (r *Runner) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run resumes the unfinished batches of the store, and runs these and the submitted ones until ctx ends. It returns
// after all lines in flight have ended.
func (r *Runner) Run(ctx context.Context) error {
	unfinished, err := r.store.UnfinishedBatches()
	if err != nil {
		return err
	}
	for _, b := range unfinished {
		if err := r.resume(ctx, b); err != nil { // the other batches can still be resumed
			r.log.Error("batch resume failed", "batch_id", b.ID, "error", err)
		}
	}
	defer r.conn.Close()
	defer r.wg.Wait()
	timer := time.NewTimer(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		case <-timer.C:
		}
		if wait, ok := r.runOnce(ctx); ok {
			timer.Reset(wait)
		}
	}
}

// runOnce expires batches and lines, sends lines and starts finalizations that are due. It returns the time until the
// next event, and false if there is none.
func (r *Runner) runOnce(ctx context.Context) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.expireBatches(now)
	r.expireLines(now)
	r.sendLines(now)
	r.finalizeEndedBatches(ctx)
	next, ok := r.scheduler.NextEventAt(now)
	return max(time.Duration(next-now), time.Millisecond), ok
}

// expireBatches cancels the requests of the batches whose deadline has passed. r.mu must be held.
func (r *Runner) expireBatches(now batchscheduler.Nanos) {
	for {
		id, ok := r.scheduler.ExpireNext(now)
		if !ok {
			return
		}
		a := r.byID[id]
		r.log.Info("batch expired", "batch_id", a.record.ID)
		a.expired = true
		a.cancel()
	}
}

// expireLines stores the failures of the lines that may have run and whose deduplication window is over. r.mu must be
// held.
func (r *Runner) expireLines(now batchscheduler.Nanos) {
	expired := map[*activeBatch][]batchscheduler.LineIndex{}
	for {
		id, index, ok := r.scheduler.ExpireNextLine(now)
		if !ok {
			break
		}
		a := r.byID[id]
		expired[a] = append(expired[a], index)
	}
	for a, lines := range expired {
		r.beginStoring(a)
		r.wg.Go(func() { r.storeExpiredLines(a, lines) })
	}
}

// sendLines sends the lines that the scheduler allows to be sent. r.mu must be held.
func (r *Runner) sendLines(now batchscheduler.Nanos) {
	for r.unstoredEnds < r.config.MaxLinesInFlight {
		id, index, ok := r.scheduler.NextLine(now)
		if !ok {
			return
		}
		a := r.byID[id]
		r.wg.Go(func() { r.sendLine(a, index) })
	}
}

// finalizeEndedBatches starts the finalization of the batches whose lines have all ended. r.mu must be held.
func (r *Runner) finalizeEndedBatches(ctx context.Context) {
	for _, a := range r.byID {
		unsent, ended := r.scheduler.UnsentLines(a.id)
		if ended && !a.finalizing && a.unstoredEnds == 0 {
			a.finalizing = true
			r.wg.Go(func() { r.finalizeBatch(ctx, a, unsent) })
		}
	}
}

// Submit validates a newly stored batch and runs it. ctx must end with the context passed to Run.
func (r *Runner) Submit(ctx context.Context, b batchstore.Batch) {
	r.wg.Go(func() {
		if err := r.resume(ctx, b); err != nil {
			r.log.Error("batch start failed", "batch_id", b.ID, "error", err)
		}
	})
}

// Cancel moves a batch to StateCancelling: no more lines are sent, requests in flight are cancelled, and the lines that
// have not ended fail. It returns the batch. A batch that was cancelled before stays unchanged.
func (r *Runner) Cancel(tenant, batchID string) (batchstore.Batch, error) {
	b, err := r.store.Batch(tenant, batchID)
	if err != nil {
		return b, err
	}
	if b.State == batchscheduler.StateCancelling || b.State == batchscheduler.StateCancelled {
		return b, nil
	}
	b, err = r.store.TransitionBatch(batchID, batchscheduler.StateCancelling, func(b *batchstore.Batch) {
		b.CancellingUnix = time.Now().Unix()
	})
	if err != nil {
		return b, err
	}
	r.cancelActive(batchID)
	r.wakeLoop()
	return b, nil
}

// cancelActive stops a batch in the scheduler and cancels its requests.
func (r *Runner) cancelActive(batchID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.active[batchID]
	if a == nil {
		return
	}
	a.record.State = batchscheduler.StateCancelling
	r.scheduler.StopBatch(a.id)
	a.cancel()
}

// Forecast returns the estimated end of a batch at its current rate, and false if the batch is not active or its rate
// is not known.
func (r *Runner) Forecast(batchID string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.active[batchID]
	if a == nil {
		return time.Time{}, false
	}
	at, ok := r.scheduler.Forecast(r.now(), a.id)
	return r.startedAt.Add(time.Duration(at)), ok
}
