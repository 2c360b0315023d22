package pace

import "testing"

const millisecond = int64(1e6)

// A pause in which no server takes anything says nothing of how fast they work after it: who arrives then is not told
// that there is no chance.
func TestPauseIsNotCounted(t *testing.T) {
	var m Meter
	now := int64(0)
	m.SetWaiting(true)
	now += 3000 * millisecond // all servers pause while work waits
	for range 20 {
		m.Record(now, 1)
		now += 10 * millisecond
	}
	if got := m.Wait(100); got < 900*millisecond || got > 1100*millisecond {
		t.Errorf("work of 100 waits %d ms after a pause, want about 1000: one is done every 10 ms", got/millisecond)
	}
}

func TestPaceIsUnknownWithoutWaiting(t *testing.T) {
	var m Meter
	for i := range int64(100) {
		m.Record(i*10*millisecond, 1)
	}
	if m.CostPerNano() != 0 || m.Wait(5) != 0 {
		t.Error("a pace was measured while nothing waited: it is only that of the arrivals")
	}
}

func TestPaceFollowsTheServers(t *testing.T) {
	var m Meter
	m.SetWaiting(true)
	now := int64(0)
	for _, interval := range []int64{10 * millisecond, 40 * millisecond} {
		for end := now + 20000*millisecond; now < end; now += interval {
			m.Record(now, 1)
		}
		got, want := m.Wait(100)/millisecond, 100*interval/millisecond
		if got < want*9/10 || got > want*11/10 {
			t.Errorf("with one piece of work every %d ms, 100 wait %d ms, want about %d", interval/millisecond, got, want)
		}
	}
}

// A caller who waits in a queue that stands waits for nothing: as many are served with a short one. A burst is worked
// off, and those in it wait.
func TestStandingQueueIsKeptShort(t *testing.T) {
	const usual = 200 * millisecond
	for _, c := range []struct {
		name     string
		arriving float64 // for each piece of work done
		duration int64
		stands   bool
	}{
		{"a burst", 3, 400 * millisecond, false},
		{"as much as can be done", 1, 20000 * millisecond, false},
		{"twice as much as can be done", 2, 20000 * millisecond, true},
	} {
		var m Meter
		m.SetWaiting(true)
		waiting, refused, longest := 5.0, 0, int64(0)
		for now := int64(0); now < c.duration; now += 10 * millisecond { // one is done every 10 ms
			m.Record(now, 1)
			waiting--
			for range int(c.arriving) {
				m.ObserveQueue(now, waiting, usual)
				if m.IsTooLong(waiting) {
					refused++
					continue
				}
				waiting++
			}
			if now > 5000*millisecond {
				longest = max(longest, m.Wait(waiting))
			}
		}
		if (refused > 0) != c.stands || longest > usual+20*millisecond {
			t.Errorf("%s: %d refused, want some: %v; %d ms waited later on, want %d at most", c.name, refused, c.stands,
				longest/millisecond, usual/millisecond+20)
		}
		m.SetWaiting(false)
		if m.IsTooLong(1000) {
			t.Errorf("%s: an empty queue still stands", c.name)
		}
	}
}
