package bootclock

import (
	"testing"
	"time"
)

// TestSince checks that the time between two instants is known on one boot of one machine only.
func TestSince(t *testing.T) {
	earlier := Instant{BootID: "a", SinceBoot: time.Hour}
	for _, c := range []struct {
		name    string
		now     Instant
		elapsed time.Duration
		ok      bool
	}{
		{"same boot", earlier.Add(time.Minute), time.Minute, true},
		{"another boot", Instant{BootID: "b", SinceBoot: 2 * time.Hour}, 0, false},
		{"before the earlier one", earlier.Add(-time.Minute), 0, false},
		{"unknown", Instant{}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if elapsed, ok := c.now.Since(earlier); elapsed != c.elapsed || ok != c.ok {
				t.Errorf("%v, %v; want %v, %v", elapsed, ok, c.elapsed, c.ok)
			}
		})
	}
	if elapsed, ok := Now().Since(Now().Add(-time.Second)); !ok || elapsed < time.Second/2 {
		t.Errorf("%v, %v since a second ago", elapsed, ok)
	}
}
