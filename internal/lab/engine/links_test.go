package engine

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

// TestLinksShare: three hosts of a cell share its one link to others; within the cell each has its port.
func TestLinksShare(t *testing.T) {
	l := NewLinks(1.5, 2)
	defer l.Close()
	move := func(zone, cell string) time.Duration {
		var wg sync.WaitGroup
		begin := time.Now()
		for i := range 3 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				from := Spec{ID: i + 1, Zone: "a", Cell: "a1", TransferRate: 10000}
				if err := l.Transfer(context.Background(), &from, 1000, zone, cell, 1); err != nil {
					t.Error(err)
				}
			}()
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
		if got := move(c.zone, c.cell); got < c.want*98/100 || got > c.want*3/2 {
			t.Errorf("%s: three moves took %v, want %v", c.name, got, c.want)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := l.Transfer(ctx, &Spec{ID: 1, Zone: "a", Cell: "a1", TransferRate: 10}, 1e6, "a", "a1", 1); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a move that is given up: %v", err)
	}
	if got := move("a", "a1"); got > 150*time.Millisecond {
		t.Errorf("after a move was given up three take %v", got)
	}
}
