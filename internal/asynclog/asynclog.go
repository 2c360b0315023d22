// Package asynclog has log records written on a goroutine of their own, so that a slow writer holds up nobody who logs.
package asynclog

import (
	"context"
	"log/slog"
	"sync/atomic"
)

// queueLength is how many records may wait for the writer. Further ones are dropped.
const queueLength = 4096

// Handler is a slog.Handler that queues records for another handler.
type Handler struct {
	next  slog.Handler
	queue *queue
}

// queue is what the handlers derived from one have in common.
type queue struct {
	records chan queuedRecord
	dropped atomic.Uint64
}

type queuedRecord struct {
	next   slog.Handler
	record slog.Record
}

// NewHandler returns a handler that has records written by next until the context ends. The records that wait then are
// still written.
func NewHandler(ctx context.Context, next slog.Handler) *Handler {
	q := &queue{records: make(chan queuedRecord, queueLength)}
	go q.write(ctx)
	return &Handler{next: next, queue: q}
}

// write hands on the records until the context ends, and then those that are left.
func (q *queue) write(ctx context.Context) {
	for {
		select {
		case r := <-q.records:
			_ = r.next.Handle(ctx, r.record) // there is nowhere to report an error of the log
		case <-ctx.Done():
			q.writeRest()
			return
		}
	}
}

func (q *queue) writeRest() {
	for {
		select {
		case r := <-q.records:
			_ = r.next.Handle(context.Background(), r.record)
		default:
			return
		}
	}
}

// Dropped returns how many records were dropped because too many waited.
func (h *Handler) Dropped() uint64 { return h.queue.dropped.Load() }

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler. It never waits and never fails.
func (h *Handler) Handle(_ context.Context, record slog.Record) error {
	select {
	case h.queue.records <- queuedRecord{h.next, record.Clone()}:
	default:
		h.queue.dropped.Add(1)
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: h.next.WithAttrs(attrs), queue: h.queue}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: h.next.WithGroup(name), queue: h.queue}
}
