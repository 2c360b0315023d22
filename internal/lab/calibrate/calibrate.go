// Package calibrate measures the timing of the stand-in engine with the batch model, over gRPC and in real time, and
// compares it with the timing that the model specifies.
package calibrate

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Comparison is one quantity with its intended value, which the model specifies, and its measured value.
type Comparison struct {
	Name               string
	Intended, Measured float64
	Unit               string
}

// RelativeError returns the error of the measured value as a fraction of the intended one.
func (c Comparison) RelativeError() float64 { return c.Measured/c.Intended - 1 }

// PrintComparisons writes a table of the comparisons.
func PrintComparisons(w io.Writer, comparisons []Comparison) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "figure\tintended\trecorded\terror\t")
	for _, c := range comparisons {
		fmt.Fprintf(t, "%s\t%.4g %s\t%.4g %s\t%+.1f %%\t\n",
			c.Name, c.Intended, c.Unit, c.Measured, c.Unit, 100*c.RelativeError())
	}
	return t.Flush()
}

// Measure runs all checks and returns their comparisons. It takes about 20 seconds.
func Measure(ctx context.Context) ([]Comparison, error) {
	c, err := newCalibration()
	if err != nil {
		return nil, err
	}
	defer c.close()
	for _, check := range []func(context.Context) error{
		c.checkPrefillTime,
		c.checkCachedPrefill,
		c.checkTokenIntervalAlone,
		c.checkTokenIntervalTogether,
		c.checkTransfers,
		c.checkEviction,
		c.checkColdStart,
	} {
		if err := check(ctx); err != nil {
			return nil, err
		}
	}
	return c.comparisons, nil
}

// addTime adds a comparison of two durations.
func (c *calibration) addTime(name string, intended, measured time.Duration) {
	c.add(name, millis(intended), millis(measured), "ms")
}

func (c *calibration) add(name string, intended, measured float64, unit string) {
	c.comparisons = append(c.comparisons, Comparison{name, intended, measured, unit})
}

func millis(d time.Duration) float64 { return d.Seconds() * 1e3 }
