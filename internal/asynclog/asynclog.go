// Package asynclog writes log records on a separate goroutine, so that a slow writer does not block the callers.
package asynclog

import (
	"context"
	"log/slog"
	"sync/atomic"
)

// queueLength is the maximum number of queued records. Further records are dropped.
const queueLength = 4096

// Handler is a slog.Handler that queues records for another handler.
type Handler struct {
	next  slog.Handler
	queue *queue
}

// queue holds the records of a handler and of all handlers derived from it by WithAttrs and WithGroup.
type queue struct {
	records chan queuedRecord
	dropped atomic.Uint64
}

type queuedRecord struct {
	next   slog.Handler
	record slog.Record
}

// NewHandler returns a handler whose records are written by next until the context ends. Records that are still queued
// then are written, too.
func NewHandler(ctx context.Context, next slog.Handler) *Handler {
	q := &queue{records: make(chan queuedRecord, queueLength)}
	go q.write(ctx)
	return &Handler{next: next, queue: q}
}

// write passes records to their handlers until the context ends, and then the records that are still queued.
func (q *queue) write(ctx context.Context) {
	for {
		select {
		case r := <-q.records:
			_ = r.next.Handle(ctx, r.record) // a failure to log cannot be logged
		case <-ctx.Done():
			q.writeRemaining()
			return
		}
	}
}

func (q *queue) writeRemaining() {
	for {
		select {
		case r := <-q.records:
			_ = r.next.Handle(context.Background(), r.record)
		default:
			return
		}
	}
}

// Dropped returns how many records were dropped because the queue was full.
func (h *Handler) Dropped() uint64 { return h.queue.dropped.Load() }

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler. It never blocks, and its error is always nil.
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
