package experiment

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidenceLevel is that of all intervals.
const confidenceLevel = 0.95

// Difference is the mean of paired differences and the half width of its confidence interval.
type Difference struct{ Mean, HalfWidth float64 }

// IsSignificant reports whether the interval excludes 0.
func (d Difference) IsSignificant() bool { return math.Abs(d.Mean) > d.HalfWidth }

// Compare returns by how much b differs from a, pair by pair, with the interval of Student's t distribution. Both must
// have the same length, of at least two.
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
