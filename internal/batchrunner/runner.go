// Package batchrunner sends the lines of batches through the dispatcher as background requests and stores their
// results. It joins the store (internal/state/batchstore) and the scheduler (internal/decide/batchscheduler) with a
// gRPC client of the dispatcher's own frontend, so that every line passes the admission queue and the policy. It
// decides nothing.
package batchrunner

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "docksail/api/docksail/v1"
	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/batchstore"
)

// CompletionsEndpoint is the only endpoint of a batch and the only URL of its lines.
const CompletionsEndpoint = "/v1/completions"

// minConnectTimeout is how long a connection attempt to the dispatcher may take.
const minConnectTimeout = time.Second

// randomStream is the second half of the seed of the scheduler's random source.
const randomStream = 0x6261746368

// Class holds what the runner needs of a request class.
type Class struct {
	Effect              batchscheduler.Effect
	DeduplicationWindow time.Duration
	Timeout             time.Duration // of a line's first token; 0 = the class takes no batches
}

// Tenant is a tenant with its weight in the scheduler.
type Tenant struct {
	Name   string
	Weight float64
}

// Config configures a runner.
type Config struct {
	Tenants           []Tenant         // none: a single tenant without a name
	Classes           map[string]Class // by name, which is the model that a line asks for
	DispatcherAddress string
	MaxLinesInFlight  int
	InitialBackoff    time.Duration // of a line after its first attempt
	MaxLines          int           // of an input file
	MaxLineBytes      int
	Seed              uint64 // of the jitter of backoffs
}

// Runner runs batches while Run does. Its methods may be called concurrently.
type Runner struct {
	config    Config
	store     *batchstore.Store
	log       *slog.Logger
	client    pb.GenerationClient
	conn      *grpc.ClientConn
	tenants   map[string]int // index in the scheduler, by name
	startedAt time.Time
	wake      chan struct{} // has an element when Run is to look at the scheduler again
	wg        sync.WaitGroup

	mu          sync.Mutex
	scheduler   *batchscheduler.Scheduler
	active      map[string]*activeBatch // by the ID in the store
	resuming    map[string]bool         // batches that a call of resume works on, by the ID in the store
	byID        map[batchscheduler.BatchID]*activeBatch
	lastBatchID batchscheduler.BatchID
}

// activeBatch is a batch that the scheduler holds. Runner.mu guards its fields except record.ID, record.Tenant,
// record.InputFileID, id and the contexts, which do not change.
type activeBatch struct {
	id             batchscheduler.BatchID
	record         batchstore.Batch
	ctx            context.Context    // of its requests: ends by cancellation and at the deadline
	cancel         context.CancelFunc // ends ctx
	runnerCtx      context.Context    // its end leaves the lines to the next runner
	finalizing     bool
	expired        bool // its deadline has passed by the monotonic clock
	unrecordedEnds int  // lines that have ended in the scheduler and not yet in the store
}

// New returns a runner over a store. It connects to the dispatcher when the first line is sent.
func New(store *batchstore.Store, config Config, log *slog.Logger) (*Runner, error) {
	if len(config.Tenants) == 0 {
		config.Tenants = []Tenant{{Weight: 1}}
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
	conn, err := grpc.NewClient(
		config.DispatcherAddress,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: minConnectTimeout}),
	)
	if err != nil {
		return nil, err
	}
	return &Runner{
		config:    config,
		store:     store,
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

// now returns the scheduler's time, which does not jump with the wall clock.
func (r *Runner) now() batchscheduler.Nanos { return int64(time.Since(r.startedAt)) }

// wakeLoop makes Run look at the scheduler again.
func (r *Runner) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run resumes the unfinished batches of the store and runs them and those of Submit until ctx ends. It returns when all
// lines in flight have ended.
func (r *Runner) Run(ctx context.Context) error {
	unfinished, err := r.store.UnfinishedBatches()
	if err != nil {
		return err
	}
	for _, b := range unfinished {
		if err := r.resume(ctx, b); err != nil { // a damaged batch does not stop the others
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

// runOnce starts all that is due now. It returns how long to wait for the next event, and false if there is none.
func (r *Runner) runOnce(ctx context.Context) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.expireBatches(now)
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

// sendLines sends the lines that may be sent now. r.mu must be held.
func (r *Runner) sendLines(now batchscheduler.Nanos) {
	for {
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
		if ended && !a.finalizing && a.unrecordedEnds == 0 {
			a.finalizing = true
			r.wg.Go(func() { r.finalizeBatch(ctx, a, unsent) })
		}
	}
}

// Submit validates a new batch of the store and runs it. ctx must end with the context of Run.
func (r *Runner) Submit(ctx context.Context, b batchstore.Batch) {
	r.wg.Go(func() {
		if err := r.resume(ctx, b); err != nil {
			r.log.Error("batch start failed", "batch_id", b.ID, "error", err)
		}
	})
}

// Cancel moves a batch to StateCancelling: no more lines are sent, requests in flight are cancelled, and the lines that
// have not ended fail. It returns the batch; one that was cancelled before is returned as it is.
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

// Forecast returns when a batch will have ended at its present pace, and false if that is not known.
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
