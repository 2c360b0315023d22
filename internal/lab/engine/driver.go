package engine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine/batchmodel"
	"docksail/internal/lab/eventlog"
)

// driver runs a batchmodel.Server on the clock.
type driver struct {
	mu   sync.Mutex
	host *batchmodel.Server
	last batchmodel.ID
	subs map[batchmodel.ID]*sub
	wake chan struct{}
}

// sub is who waits for the events of one piece of work.
type sub struct {
	events []batchmodel.Event
	ready  chan struct{}
}

const (
	// BlockTokens is how many tokens a block of memory holds.
	BlockTokens = 16
	// ChunkTokens are read in a step, at most.
	ChunkTokens = 2048
	readerStep  = 5 * time.Millisecond // of a host whose spec names no time between tokens
)

// BatchShape is a spec as the batch model has it.
func (s *Spec) BatchShape() batchmodel.Shape {
	step := s.TokenGap
	if step <= 0 {
		step = readerStep
	}
	return batchmodel.Shape{
		Slots: s.Slots, Queue: s.Queue, MaxChunkTokens: ChunkTokens, StepTime: int64(step), TimePerPromptToken: int64(1e9 / s.PrefillRate),
		TimePerAnswer: int64(step) / int64(2*s.Slots), TimePer1kContext: int64(step) / int64(20*s.Slots),
	}
}

func newDriver(s *Spec) (*driver, error) {
	h, err := batchmodel.NewServer(s.BatchShape(), int(s.MemoryTokens), BlockTokens)
	if err != nil {
		return nil, err
	}
	return &driver{host: h, subs: map[batchmodel.ID]*sub{}, wake: make(chan struct{}, 1)}, nil
}

// run steps the host until its process ends.
func (d *driver) run(ctx context.Context, e *Engine) {
	for ctx.Err() == nil {
		d.mu.Lock()
		took, events, ok := d.host.BeginStep(nil)
		d.tell(events)
		d.mu.Unlock()
		if !ok {
			select {
			case <-d.wake:
			case <-ctx.Done():
			}
			continue
		}
		e.mu.Lock()
		warmth := e.warmth()
		e.mu.Unlock()
		if e.sleep(ctx, "", time.Duration(float64(took)/warmth)) != nil {
			return
		}
		d.mu.Lock()
		d.tell(d.host.EndStep(nil))
		d.mu.Unlock()
	}
}

// tell hands events to who waits for them. The lock is held.
func (d *driver) tell(events []batchmodel.Event) {
	for _, ev := range events {
		if s := d.subs[ev.ID]; s != nil {
			s.events = append(s.events, ev)
			select {
			case s.ready <- struct{}{}:
			default:
			}
		}
	}
}

func (d *driver) nudge() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *driver) arrive(w batchmodel.Work) (batchmodel.ID, *sub, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	w.ID = d.last
	if err := d.host.Enqueue(w); err != nil {
		return 0, nil, err
	}
	s := &sub{ready: make(chan struct{}, 1)}
	d.subs[w.ID] = s
	d.nudge()
	return w.ID, s, nil
}

// next waits for an event.
func (d *driver) next(ctx context.Context, s *sub) (batchmodel.Event, error) {
	for {
		d.mu.Lock()
		if len(s.events) > 0 {
			ev := s.events[0]
			s.events = s.events[1:]
			d.mu.Unlock()
			return ev, nil
		}
		d.mu.Unlock()
		select {
		case <-s.ready:
		case <-ctx.Done():
			return batchmodel.Event{}, ctx.Err()
		}
	}
}

func (d *driver) fetched(id batchmodel.ID) {
	d.mu.Lock()
	d.host.StateFetched(id)
	d.mu.Unlock()
	d.nudge()
}

// deaf forgets who waits; drop takes the work out as well.
func (d *driver) deaf(id batchmodel.ID) {
	d.mu.Lock()
	delete(d.subs, id)
	d.mu.Unlock()
}

func (d *driver) drop(id batchmodel.ID) {
	d.mu.Lock()
	delete(d.subs, id)
	d.host.Remove(id)
	d.mu.Unlock()
	d.nudge()
}

// BatchWork is a request as the batch model has it: its blocks are named by the shared beginning, then by the session.
func BatchWork(req *pb.GenerateRequest, answer int, fetch bool) batchmodel.Work {
	w := batchmodel.Work{PromptTokens: max(int(req.PromptTokens), 1), AnswerTokens: answer, FetchState: fetch}
	begin := xxhash.Sum64String(req.Tenant + "/b/" + req.Beginning)
	rest := xxhash.Sum64String(req.Tenant + "/s/" + req.Session)
	if req.Session == "" {
		rest = xxhash.Sum64String(req.Tenant + "/l/" + req.Label)
	}
	h := batchmodel.BlockHash(0)
	for at := BlockTokens; at <= w.PromptTokens; at += BlockTokens {
		key := rest
		if req.Beginning != "" && at <= int(req.BeginningTokens) {
			key = begin
		}
		h = batchmodel.ChainHash(h, key)
		w.Blocks = append(w.Blocks, h)
	}
	return w
}

func refused(err error) error {
	if errors.Is(err, batchmodel.ErrQueueFull) {
		return status.Error(codes.ResourceExhausted, err.Error())
	}
	return status.Error(codes.InvalidArgument, err.Error())
}

// readBatch reads a prompt by the batch model; its state is held when it returns.
func (e *Engine) readBatch(ctx context.Context, d *driver, req *pb.GenerateRequest) (batchmodel.ID, int, error) {
	if err := e.sleep(ctx, req.Track, 0); err != nil { // deaf to its track
		return 0, 0, status.FromContextError(err).Err()
	}
	id, s, err := d.arrive(BatchWork(req, 0, false))
	if err != nil {
		return 0, 0, refused(err)
	}
	for {
		ev, err := d.next(ctx, s)
		if err != nil {
			d.drop(id)
			return 0, 0, status.FromContextError(err).Err()
		}
		if ev.Kind == batchmodel.PrefillDone {
			d.deaf(id)
			return id, ev.N, nil
		}
	}
}

// writeBatch writes an answer by the batch model.
func (e *Engine) writeBatch(ctx context.Context, d *driver, l *pb.Launch, out grpc.ServerStreamingServer[pb.Tokens]) error {
	req, begin := l.GetRequest(), time.Now()
	if err := e.sleep(ctx, req.Track, 0); err != nil {
		return status.FromContextError(err).Err()
	}
	id, s, err := d.arrive(BatchWork(req, AnswerTokens(req), l.StateAddress != ""))
	if err != nil {
		return refused(err)
	}
	defer d.drop(id)
	ran := false
	for {
		ev, err := d.next(ctx, s)
		if err != nil {
			return status.FromContextError(err).Err()
		}
		if l.BeginWithinNs > 0 && !ran && time.Since(begin) > time.Duration(l.BeginWithinNs) {
			return status.Error(codes.DeadlineExceeded, "its time to begin is up")
		}
		switch ev.Kind {
		case batchmodel.NeedsFetch:
			if err := e.fetch(ctx, l); err != nil {
				return err
			}
			d.fetched(id)
		case batchmodel.Token:
			if !ran {
				ran = true
				e.book.Add(eventlog.Entry{
					Kind: eventlog.AnswerStarted, Server: e.Spec.ID, Request: jobName(l.Dispatcher, l.Job), Attempt: int(l.Shot), RequestLabel: req.Label,
					ClientAttempt: int(l.Repeat), Class: req.Track,
				})
			}
			e.mu.Lock()
			stall := e.faults.StallAfter
			e.mu.Unlock()
			if stall > 0 && ev.N >= stall {
				<-ctx.Done()
				return status.FromContextError(ctx.Err()).Err()
			}
			if err := e.sleep(ctx, req.Track, 0); err != nil { // deaf to its track
				return status.FromContextError(err).Err()
			}
			if err := out.Send(&pb.Tokens{Position: uint32(ev.N), Tokens: []uint32{TokenAt(req, ev.N)}, Text: []byte("tok ")}); err != nil {
				return err
			}
		case batchmodel.AnswerDone:
			e.mu.Lock()
			e.Served++
			e.mu.Unlock()
			return nil
		}
	}
}

// Preemptions counts answers that the batch model sent back to the queue.
func (e *Engine) Preemptions() uint64 {
	e.mu.Lock()
	d := e.drv
	e.mu.Unlock()
	if d == nil {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.host.Counts.Preemptions
}

// batchReport makes the report that is known of a batching host now; false if there is none yet. The engine's lock is
// held.
func (e *Engine) batchReport(late time.Duration) bool {
	d, now := e.drv, int64(time.Since(e.started))
	d.mu.Lock()
	h := d.host
	unread := h.QueuedPromptTokens()
	e.rep.Observe(now, batchmodel.Load{
		Requests: float64(h.Queued() + h.Running()), MemoryUtilization: float64(h.Memory.InUse()) / float64(h.Memory.Blocks()),
		QueuedPromptTokens: float64(unread), QueueTime: int64(float64(unread) / e.Spec.PrefillRate * 1e9),
	})
	d.mu.Unlock()
	e.rep.SetDelay(int64(late))
	f, age, ok := e.rep.Latest(now)
	if ok {
		e.report = &orca.OrcaLoadReport{MemUtilization: f.MemoryUtilization, NamedMetrics: map[string]float64{
			"requests":      f.Requests,
			"unread_tokens": f.QueuedPromptTokens, "finish_ms": float64(f.QueueTime) / 1e6, "age_ms": float64(age) / 1e6,
		}}
	}
	return ok
}
