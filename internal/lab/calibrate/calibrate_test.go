package calibrate

import (
	"math"
	"testing"
)

// TestCalibrate: every line within a third of what was intended; on a machine that does nothing else the errors are
// a few parts in a hundred (docs/laboratory.md).
func TestCalibrate(t *testing.T) {
	lines, err := Measure(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(lines) < 10 {
		t.Errorf("%d lines", len(lines))
	}
	for _, l := range lines {
		if math.Abs(l.RelativeError()) > 0.35 {
			t.Errorf("%s: intended %.4g %s, recorded %.4g", l.Name, l.Intended, l.Unit, l.Measured)
		}
	}
}
