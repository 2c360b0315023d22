package calibrate

import (
	"math"
	"strings"
	"testing"
)

const (
	minComparisons = 10
	// maxRelativeError bounds the error of quantities that are the best of several measurements.
	maxRelativeError = 0.2
	// maxIntervalError bounds the error of medians of token intervals, which load on the machine lengthens. Their
	// minimum cannot be used instead: a token that arrives late shortens the interval to the next one.
	maxIntervalError = 0.35
)

// TestCalibrate checks that every measured value is close to the intended one. On an idle machine the errors are a few
// percent (docs/emulator.md).
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
		if strings.HasPrefix(c.Name, "token interval") {
			bound = maxIntervalError
		}
		if math.Abs(c.RelativeError()) > bound {
			t.Errorf("%s: intended %.4g %s, measured %.4g", c.Name, c.Intended, c.Unit, c.Measured)
		}
	}
}
