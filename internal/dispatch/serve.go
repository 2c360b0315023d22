package dispatch

import (
	"context"
	"crypto/rand"
	"docksail/internal/config"
	"docksail/internal/eventloop"
	"fmt"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"
)

// Node is a dispatcher that runs on a loop of its own goroutine.
type Node struct {
	Addr netip.AddrPort

	l    *eventloop.Loop
	d    *Dispatcher
	done chan struct{}
	err  error
}

// Start starts a dispatcher by its settings. wrap, if not nil, stands between the dispatcher and its module.
func Start(s *config.Dispatcher, log *slog.Logger, wrap func(Module) Module) (*Node, error) {
	l, err := eventloop.New()
	if err != nil {
		return nil, err
	}
	incarnation := uint64(time.Now().UnixNano())
	seed := s.Seed
	if seed == 0 {
		seed = incarnation
	}
	d, err := NewGRPC(l, s, log, seed, incarnation, rand.Reader, wrap)
	if err != nil {
		l.Close()
		return nil, err
	}
	r := &Node{l: l, d: d, done: make(chan struct{})}
	if r.Addr, err = d.Start(s.Listen, s.SharePort); err != nil {
		l.Close()
		return nil, fmt.Errorf("dispatcher: %w", err)
	}
	go func() {
		defer close(r.done)
		r.err = l.Run(d.RunIteration)
		l.Close()
		d.exit.Close()
	}()
	return r, nil
}

// Drain asks the dispatcher to leave; Wait tells when it has.
func (r *Node) Drain(within time.Duration) {
	r.l.Post(func() { r.d.Drain(int64(within), r.l.Stop) })
}

// Kill ends the dispatcher at once: nothing is answered, every socket closes.
func (r *Node) Kill() {
	r.l.Stop()
	<-r.done
}

// Wait waits for the end.
func (r *Node) Wait() error {
	<-r.done
	return r.err
}

// Done is closed at the end.
func (r *Node) Done() <-chan struct{} { return r.done }

// RunOnLoop runs f on the loop and waits for it; false if the loop has ended.
func (r *Node) RunOnLoop(f func(d *Dispatcher)) bool {
	got := make(chan struct{})
	if !r.l.Post(func() { f(r.d); close(got) }) {
		return false
	}
	select {
	case <-got:
		return true
	case <-r.done:
		return false
	}
}

const logRoom = 4096 // records that may wait for the log's writer

// NewAsyncLogHandler gives a handler that writes its records beside the caller: a log whose writer is slow loses records,
// which Lost counts, and holds nobody up. It ends with the context.
func NewAsyncLogHandler(ctx context.Context, to slog.Handler) *AsyncLogHandler {
	b := &besideQueue{records: make(chan besideRecord, logRoom)}
	go func() {
		for {
			select {
			case r := <-b.records:
				r.to.Handle(ctx, r.record)
			case <-ctx.Done():
				for {
					select {
					case r := <-b.records:
						r.to.Handle(context.Background(), r.record)
					default:
						return
					}
				}
			}
		}
	}()
	return &AsyncLogHandler{to: to, q: b}
}

type besideRecord struct {
	to     slog.Handler
	record slog.Record
}

type besideQueue struct {
	records chan besideRecord
	lost    atomic.Uint64
}

// AsyncLogHandler is the handler that NewAsyncLogHandler gives.
type AsyncLogHandler struct {
	to slog.Handler
	q  *besideQueue
}

// Dropped counts records that found no room.
func (b *AsyncLogHandler) Dropped() uint64 { return b.q.lost.Load() }

// Enabled implements slog.Handler.
func (b *AsyncLogHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return b.to.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (b *AsyncLogHandler) Handle(_ context.Context, r slog.Record) error {
	select {
	case b.q.records <- besideRecord{b.to, r.Clone()}:
	default:
		b.q.lost.Add(1)
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (b *AsyncLogHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &AsyncLogHandler{to: b.to.WithAttrs(attrs), q: b.q}
}

// WithGroup implements slog.Handler.
func (b *AsyncLogHandler) WithGroup(name string) slog.Handler {
	return &AsyncLogHandler{to: b.to.WithGroup(name), q: b.q}
}
