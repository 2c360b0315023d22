package eventloop

import "testing"

// TestTimers checks the order of timers that are set, moved and cancelled.
func TestTimers(t *testing.T) {
	q := newTimerQueue()
	var fired []int
	timers := make([]Timer, 3000)
	for i := range timers {
		q.set(&timers[i], int64(10000-i), func(Nanos) { fired = append(fired, i) })
	}
	for i := 0; i < len(timers); i += 3 {
		q.cancel(&timers[i])
	}
	for i := 1; i < len(timers); i += 3 {
		q.set(&timers[i], int64(20000+i), func(Nanos) { fired = append(fired, i) })
	}
	q.fireDue(10000)
	if len(fired) != 1000 {
		t.Fatalf("%d timers fired at 10000, want the 1000 that were neither moved nor cancelled", len(fired))
	}
	for i := 1; i < len(fired); i++ {
		if fired[i] > fired[i-1] {
			t.Fatal("timers fired out of order")
		}
	}
	fired = nil
	q.fireDue(1 << 40)
	if len(fired) != 1000 || fired[0] != 1 {
		t.Fatalf("%d moved timers fired, the first was %v, want 1000 starting with 1", len(fired), fired[:1])
	}
	// A timer that sets itself again for a past time fires in the next iteration.
	fireCount := 0
	var again Timer
	var callback func(Nanos)
	callback = func(Nanos) { fireCount++; q.set(&again, 0, callback) }
	q.set(&again, 0, callback)
	q.fireDue(1 << 41)
	if fireCount != 1 {
		t.Fatalf("timer fired %d times in one iteration, want 1", fireCount)
	}
}
