package watch

import "testing"

// told is when what a silent watch misses counts as told.
const told = int64(6e9)

// Whatever chance gives, a silent watch is replaced in time though the first try fails, and tries do not slacken beyond a second.
func TestTimes(t *testing.T) {
	for _, chance := range []float64{0, 0.5, 0.999} {
		if at := Quiet + 2*Answer + Retry(1, chance) + 2*Answer; at >= told {
			t.Errorf("chance %v: a list is had after %d ns, want less than %d", chance, at, told)
		}
		if at := 2*Answer + Retry(1, chance) + 2*Answer; at >= 4e9 {
			t.Errorf("chance %v: after a change of address %d ns", chance, at)
		}
		for failures := range 40 {
			if wait := Retry(failures, chance); wait < 0 || wait > 1e9 {
				t.Errorf("%d failures, chance %v: %d ns", failures, chance, wait)
			}
		}
	}
	if Retry(5, 0.999) <= Retry(1, 0.999) {
		t.Error("tries are not spread out further as they fail")
	}
	if Quiet <= beat {
		t.Error("a watch on which nothing changes is given up")
	}
}
