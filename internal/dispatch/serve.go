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

// Running is a dispatcher that runs on a loop of its own goroutine.
type Running struct {
	Addr netip.AddrPort

	l    *eventloop.Loop
	d    *Dispatcher
	done chan struct{}
	err  error
}

// Run starts a dispatcher by its settings. wrap, if not nil, stands between the dispatcher and its module.
func Run(s *config.Dispatcher, log *slog.Logger, wrap func(Module) Module) (*Running, error) {
	l, err := eventloop.New()
	if err != nil {
		return nil, err
	}
	incarnation := uint64(time.Now().UnixNano())
	seed := s.Seed
	if seed == 0 {
		seed = incarnation
	}
	d, err := New(l, s, log, seed, incarnation, rand.Reader, wrap)
	if err != nil {
		l.Close()
		return nil, err
	}
	r := &Running{l: l, d: d, done: make(chan struct{})}
	if r.Addr, err = d.Start(s.Listen, s.SharePort); err != nil {
		l.Close()
		return nil, fmt.Errorf("dispatcher: %w", err)
	}
	go func() {
		defer close(r.done)
		r.err = l.Run(d.Round)
		l.Close()
		d.exit.Close()
	}()
	return r, nil
}

// Drain asks the dispatcher to leave; Wait tells when it has.
func (r *Running) Drain(within time.Duration) {
	r.l.Post(func() { r.d.Drain(int64(within), r.l.Stop) })
}

// Kill ends the dispatcher at once: nothing is answered, every socket closes.
func (r *Running) Kill() {
	r.l.Stop()
	<-r.done
}

// Wait waits for the end.
func (r *Running) Wait() error {
	<-r.done
	return r.err
}

// Done is closed at the end.
func (r *Running) Done() <-chan struct{} { return r.done }

// Ask runs f on the loop and waits for it; false if the loop has ended.
func (r *Running) Ask(f func(d *Dispatcher)) bool {
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

// LogBeside gives a handler that writes its records beside the caller: a log whose writer is slow loses records,
// which Lost counts, and holds nobody up. It ends with the context.
func LogBeside(ctx context.Context, to slog.Handler) *BesideHandler {
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
	return &BesideHandler{to: to, q: b}
}

type besideRecord struct {
	to     slog.Handler
	record slog.Record
}

type besideQueue struct {
	records chan besideRecord
	lost    atomic.Uint64
}

// BesideHandler is the handler that LogBeside gives.
type BesideHandler struct {
	to slog.Handler
	q  *besideQueue
}

// Lost counts records that found no room.
func (b *BesideHandler) Lost() uint64 { return b.q.lost.Load() }

// Enabled implements slog.Handler.
func (b *BesideHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return b.to.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (b *BesideHandler) Handle(_ context.Context, r slog.Record) error {
	select {
	case b.q.records <- besideRecord{b.to, r.Clone()}:
	default:
		b.q.lost.Add(1)
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (b *BesideHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &BesideHandler{to: b.to.WithAttrs(attrs), q: b.q}
}

// WithGroup implements slog.Handler.
func (b *BesideHandler) WithGroup(name string) slog.Handler {
	return &BesideHandler{to: b.to.WithGroup(name), q: b.q}
}
