package engine

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

// TestLinksShare checks that the servers of a cell share its link to other cells, and that each has a link of its own
// within the cell.
func TestLinksShare(t *testing.T) {
	l := NewLinks(1.5, 2)
	defer l.Close()
	transferAll := func(zone, cell string) time.Duration {
		var wg sync.WaitGroup
		begin := time.Now()
		for i := range 3 {
			wg.Go(func() {
				from := Spec{ID: i + 1, Zone: "a", Cell: "a1", TransferRate: 10000}
				if err := l.Transfer(context.Background(), &from, 1000, zone, cell, 1); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		return time.Since(begin)
	}
	for _, c := range []struct {
		name, zone, cell string
		want             time.Duration
	}{
		{"within the cell", "a", "a1", 100 * time.Millisecond},
		{"to another cell", "a", "a2", 200 * time.Millisecond},
		{"to another zone", "b", "b1", 400 * time.Millisecond},
	} {
		if got := transferAll(c.zone, c.cell); got < c.want*98/100 || got > c.want*3/2 {
			t.Errorf("%s: three transfers took %v, want %v", c.name, got, c.want)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	slow := Spec{ID: 1, Zone: "a", Cell: "a1", TransferRate: 10}
	if err := l.Transfer(ctx, &slow, 1e6, "a", "a1", 1); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("canceled transfer: error %v, want %v", err, context.DeadlineExceeded)
	}
	if got := transferAll("a", "a1"); got > 150*time.Millisecond {
		t.Errorf("three transfers after a canceled one took %v, want 150ms at most", got)
	}
}
