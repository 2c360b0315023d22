package calibrate

import (
	"math"
	"testing"
)

const (
	minComparisons   = 10
	maxRelativeError = 0.35
)

// Every figure is within about a third of what is intended. On a machine that does nothing else the errors are a few
// percent (docs/laboratory.md).
func TestCalibrate(t *testing.T) {
	comparisons, err := Measure(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(comparisons) < minComparisons {
		t.Errorf("%d comparisons, want %d at least", len(comparisons), minComparisons)
	}
	for _, c := range comparisons {
		if math.Abs(c.RelativeError()) > maxRelativeError {
			t.Errorf("%s: intended %.4g %s, measured %.4g", c.Name, c.Intended, c.Unit, c.Measured)
		}
	}
}
