package eventloop

import "testing"

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
		t.Fatalf("%d fired at 10000, want the 1000 that were neither moved nor cancelled", len(fired))
	}
	for i := 1; i < len(fired); i++ {
		if fired[i] > fired[i-1] {
			t.Fatal("fired out of order")
		}
	}
	fired = nil
	q.fireDue(1 << 40)
	if len(fired) != 1000 || fired[0] != 1 {
		t.Fatalf("%d fired later, first %v, want 1000 from 1 on", len(fired), fired[:1])
	}
	// A timer that sets itself for a time already past waits for the next iteration.
	n := 0
	var again Timer
	var callback func(Nanos)
	callback = func(Nanos) { n++; q.set(&again, 0, callback) }
	q.set(&again, 0, callback)
	q.fireDue(1 << 41)
	if n != 1 {
		t.Fatalf("fired %d times in one iteration", n)
	}
}
