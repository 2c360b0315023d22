package eventloop

import (
	"sync"
	"sync/atomic"
	"testing"
)

// TestPostFromManyGoroutines checks that each posted call is either run or counted as dropped.
func TestPostFromManyGoroutines(t *testing.T) {
	l, onLoop := startLoop(t)
	var ran, accepted atomic.Int64
	done := make(chan struct{})
	for range 8 {
		go func() {
			for range 5000 {
				if l.Post(func() { ran.Add(1) }) {
					accepted.Add(1)
				}
			}
			done <- struct{}{}
		}()
	}
	for range 8 {
		<-done
	}
	dropped := int64(l.DroppedPosts()) // read before waitUntil posts calls
	waitUntil(t, onLoop, "all accepted calls run", func() bool { return ran.Load() == accepted.Load() })
	if accepted.Load()+dropped != 40000 {
		t.Errorf("%d calls accepted and %d dropped, want 40000 in all", accepted.Load(), dropped)
	}
}

// TestPostDropsOnlyWhenFull checks that concurrent posts are all accepted until the queue is full, and that the next
// one is dropped and counted.
func TestPostDropsOnlyWhenFull(t *testing.T) {
	l, err := New() // not run, so that the queue only fills
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range maxPendingPosts / 8 {
				l.Post(func() {})
			}
		})
	}
	wg.Wait()
	if n := l.DroppedPosts(); n != 0 {
		t.Errorf("%d calls were dropped before the queue was full", n)
	}
	if l.Post(func() {}) || l.DroppedPosts() != 1 {
		t.Errorf("%d calls dropped when the queue is full, want 1", l.DroppedPosts())
	}
}
