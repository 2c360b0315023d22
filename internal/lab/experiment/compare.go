package experiment

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidenceLevel is the level of all confidence intervals.
const confidenceLevel = 0.95

// Difference holds the mean of paired differences and half the width of its confidence interval.
type Difference struct{ Mean, HalfWidth float64 }

// IsSignificant reports whether the confidence interval excludes 0.
func (d Difference) IsSignificant() bool { return math.Abs(d.Mean) > d.HalfWidth }

// Compare returns the mean of the paired differences b[i] - a[i], with the confidence interval of Student's t
// distribution. Both slices must have the same length, which must be at least 2.
func Compare(a, b []float64) Difference {
	differences := make([]float64, len(a))
	for i := range a {
		differences[i] = b[i] - a[i]
	}
	n := float64(len(differences))
	mean, deviation := stat.MeanStdDev(differences, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(1 - (1-confidenceLevel)/2)
	return Difference{mean, t * deviation / math.Sqrt(n)}
}
