package engine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine/batchmodel"
)

const (
	// BlockTokens is the number of tokens in a block of memory.
	BlockTokens = 16
	// ChunkTokens is the maximum number of prompt tokens that a step processes.
	ChunkTokens = 2048
)

// defaultStepTime is the step time of a server whose Spec has no TokenInterval.
const defaultStepTime = 5 * time.Millisecond

// batchRunner runs the batch model of an engine in real time.
type batchRunner struct {
	mu            sync.Mutex
	model         *batchmodel.Server
	lastID        batchmodel.ID
	subscriptions map[batchmodel.ID]*subscription
	wake          chan struct{} // holds a value when there is new work
}

// subscription queues the events of one piece of work.
type subscription struct {
	events []batchmodel.Event
	ready  chan struct{} // holds a value when there are new events
}

// BatchShape returns the parameters of the server for the batch model.
func (s *Spec) BatchShape() batchmodel.Shape {
	step := s.TokenInterval
	if step <= 0 {
		step = defaultStepTime
	}
	return batchmodel.Shape{
		Slots:              s.Slots,
		Queue:              s.Queue,
		MaxChunkTokens:     ChunkTokens,
		StepTime:           int64(step),
		TimePerPromptToken: int64(1e9 / s.PrefillRate),
		TimePerAnswer:      int64(step) / int64(2*s.Slots),
		TimePer1kContext:   int64(step) / int64(20*s.Slots),
	}
}

// BatchWork returns a request as work of the batch model, with an answer of the given length. The content of a block
// is identified by the shared prefix if the block lies within it, and otherwise by the session, or by the label if
// there is no session.
func BatchWork(req *pb.GenerateRequest, answerTokens int, fetchState bool) batchmodel.Work {
	w := batchmodel.Work{
		PromptTokens: max(int(req.PromptTokens), 1),
		AnswerTokens: answerTokens,
		FetchState:   fetchState,
	}
	prefixKey := xxhash.Sum64String(req.Tenant + "/b/" + req.Beginning)
	restKey := xxhash.Sum64String(req.Tenant + "/s/" + req.Session)
	if req.Session == "" {
		restKey = xxhash.Sum64String(req.Tenant + "/l/" + req.Label)
	}
	hash := batchmodel.BlockHash(0)
	for end := BlockTokens; end <= w.PromptTokens; end += BlockTokens {
		key := restKey
		if req.Beginning != "" && end <= int(req.BeginningTokens) {
			key = prefixKey
		}
		hash = batchmodel.ChainHash(hash, key)
		w.Blocks = append(w.Blocks, hash)
	}
	return w
}

// enqueueStatus converts an error of enqueue to a status error.
func enqueueStatus(err error) error {
	if errors.Is(err, batchmodel.ErrQueueFull) {
		return status.Error(codes.ResourceExhausted, err.Error())
	}
	return status.Error(codes.InvalidArgument, err.Error())
}

func newBatchRunner(s *Spec) (*batchRunner, error) {
	model, err := batchmodel.NewServer(s.BatchShape(), int(s.MemoryTokens), BlockTokens)
	if err != nil {
		return nil, err
	}
	return &batchRunner{
		model:         model,
		subscriptions: map[batchmodel.ID]*subscription{},
		wake:          make(chan struct{}, 1),
	}, nil
}

// run executes the steps of the model in real time until the process ends.
func (r *batchRunner) run(process context.Context, e *Engine) {
	for process.Err() == nil {
		r.mu.Lock()
		duration, events, ok := r.model.BeginStep(nil)
		r.deliver(events)
		r.mu.Unlock()
		if !ok {
			select {
			case <-r.wake:
			case <-process.Done():
			}
			continue
		}
		e.mu.Lock()
		capacityShare := e.capacityShare()
		e.mu.Unlock()
		if e.sleep(process, "", time.Duration(float64(duration)/capacityShare)) != nil {
			return
		}
		r.mu.Lock()
		r.deliver(r.model.EndStep(nil))
		r.mu.Unlock()
	}
}

// deliver adds events to their subscriptions. The lock must be held.
func (r *batchRunner) deliver(events []batchmodel.Event) {
	for _, event := range events {
		if s := r.subscriptions[event.ID]; s != nil {
			s.events = append(s.events, event)
			signal(s.ready)
		}
	}
}

// signal sends to a channel of capacity 1 without blocking; if the channel is full, a signal is pending already.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// enqueue adds work to the model and returns its ID and the subscription to its events.
func (r *batchRunner) enqueue(w batchmodel.Work) (batchmodel.ID, *subscription, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	w.ID = r.lastID
	if err := r.model.Enqueue(w); err != nil {
		return 0, nil, err
	}
	s := &subscription{ready: make(chan struct{}, 1)}
	r.subscriptions[w.ID] = s
	signal(r.wake)
	return w.ID, s, nil
}

// nextEvent waits for the next event of a subscription. It returns the error of the context if that ends first.
func (r *batchRunner) nextEvent(ctx context.Context, s *subscription) (batchmodel.Event, error) {
	for {
		r.mu.Lock()
		if len(s.events) > 0 {
			event := s.events[0]
			s.events = s.events[1:]
			r.mu.Unlock()
			return event, nil
		}
		r.mu.Unlock()
		select {
		case <-s.ready:
		case <-ctx.Done():
			return batchmodel.Event{}, ctx.Err()
		}
	}
}

// stateFetched informs the model that the state for some work has arrived.
func (r *batchRunner) stateFetched(id batchmodel.ID) {
	r.mu.Lock()
	r.model.StateFetched(id)
	r.mu.Unlock()
	signal(r.wake)
}

// unsubscribe ends the subscription to some work. The work stays in the model.
func (r *batchRunner) unsubscribe(id batchmodel.ID) {
	r.mu.Lock()
	delete(r.subscriptions, id)
	r.mu.Unlock()
}

// remove removes work from the model and ends its subscription.
func (r *batchRunner) remove(id batchmodel.ID) {
	r.mu.Lock()
	delete(r.subscriptions, id)
	r.model.Remove(id)
	r.mu.Unlock()
	signal(r.wake)
}

// observe passes the current load of the model to a reporter.
func (r *batchRunner) observe(reporter *batchmodel.Reporter, now batchmodel.Nanos, prefillRate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	model := r.model
	queuedTokens := model.QueuedPromptTokens()
	reporter.Observe(now, batchmodel.Load{
		Requests:           float64(model.Queued() + model.Running()),
		MemoryUtilization:  float64(model.Memory.InUse()) / float64(model.Memory.Blocks()),
		QueuedPromptTokens: float64(queuedTokens),
		QueueTime:          int64(float64(queuedTokens) / prefillRate * 1e9),
	})
}

func (r *batchRunner) preemptions() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.model.Counts.Preemptions
}
