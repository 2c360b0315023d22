package eventloop

import (
	"sync"
	"sync/atomic"
	"testing"
)

func TestPostFromManyGoroutines(t *testing.T) {
	l, on := startLoop(t)
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
	dropped := int64(l.DroppedPosts()) // before what the test itself posts
	waitUntil(t, on, "all accepted calls have run", func() bool { return ran.Load() == accepted.Load() })
	if accepted.Load()+dropped != 40000 {
		t.Errorf("%d accepted and %d dropped of 40000", accepted.Load(), dropped)
	}
}

// Calls of many goroutines at once are all accepted while there is room; the next one is dropped and counted.
func TestPostRefusesOnlyWhenFull(t *testing.T) {
	l, err := New() // it does not run: no call is taken
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range maxPendingPosts / 8 {
				l.Post(func() {})
			}
		})
	}
	group.Wait()
	if n := l.DroppedPosts(); n != 0 {
		t.Errorf("%d calls were dropped while there was room", n)
	}
	if l.Post(func() {}) || l.DroppedPosts() != 1 {
		t.Errorf("with no room left: %d dropped, want 1", l.DroppedPosts())
	}
}
