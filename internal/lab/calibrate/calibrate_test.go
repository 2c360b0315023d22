package calibrate

import (
	"math"
	"strings"
	"testing"
)

const (
	minComparisons = 10
	// maxRelativeError bounds the error of the best of several measurements.
	maxRelativeError = 0.2
	// maxIntervalError bounds the error of a median of token intervals, which load on the machine stretches. Their least
	// says nothing: a token that comes late shortens the interval to the next.
	maxIntervalError = 0.35
)

// Every figure is close to what is intended. On a machine that does nothing else the errors are a few percent
// (docs/emulator.md).
func TestCalibrate(t *testing.T) {
	comparisons, err := Measure(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(comparisons) < minComparisons {
		t.Errorf("%d comparisons, want %d at least", len(comparisons), minComparisons)
	}
	for _, c := range comparisons {
		bound := maxRelativeError
		if strings.HasPrefix(c.Name, "gap") {
			bound = maxIntervalError
		}
		if math.Abs(c.RelativeError()) > bound {
			t.Errorf("%s: intended %.4g %s, measured %.4g", c.Name, c.Intended, c.Unit, c.Measured)
		}
	}
}
