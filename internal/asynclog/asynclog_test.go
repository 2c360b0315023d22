package asynclog

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"
)

// blockingHandler blocks every record until opened is closed.
type blockingHandler struct {
	slog.Handler
	opened  chan struct{}
	written atomic.Uint64
}

func (h *blockingHandler) Handle(context.Context, slog.Record) error {
	<-h.opened
	h.written.Add(1)
	return nil
}

// TestSlowWriterDropsRecords checks that a blocked writer does not block the callers: records that do not fit in the
// queue are dropped and counted, all others are written.
func TestSlowWriterDropsRecords(t *testing.T) {
	next := &blockingHandler{Handler: slog.DiscardHandler, opened: make(chan struct{})}
	h := NewHandler(t.Context(), next)
	const records = queueLength + 100
	for range records {
		if err := h.Handle(t.Context(), slog.Record{}); err != nil {
			t.Fatal(err)
		}
	}
	dropped := h.Dropped()
	if dropped < 99 || dropped > 100 { // the writer may have taken one out of the queue
		t.Errorf("%d of %d records dropped, want 99 or 100", dropped, records)
	}
	close(next.opened)
	for deadline := time.Now().Add(10 * time.Second); next.written.Load() < records-dropped; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d records written, want %d", next.written.Load(), records-dropped)
		}
	}
}
