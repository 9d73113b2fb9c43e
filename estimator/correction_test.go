package estimator

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCorrection checks that predictions are at least as close to the actual
// durations as the estimates are, whether these are accurate, biased or noisy.
func TestCorrection(t *testing.T) {
	tests := []struct {
		name string
		// bias is the factor by which estimates are too high. errorSpread is
		// the standard deviation of the logarithm of their errors,
		// durationSpread that of the logarithm of the durations.
		bias, errorSpread, durationSpread float64
	}{
		{"exact", 1, 0, 0.5},
		{"half of the truth", 0.5, 0.1, 0.5},
		{"rough", 1, 0.9, 0.5},
		{"rough and too high", 3, 0.9, 0.3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			var c Correction
			var declared, expected float64
			for i := range 400 {
				actual := 4 * float64(time.Second) * math.Exp(test.durationSpread*random.NormFloat64())
				estimate := test.bias * actual * math.Exp(test.errorSpread*random.NormFloat64())
				if i >= 100 {
					declared += math.Abs(math.Log(estimate / actual))
					expected += math.Abs(math.Log(float64(c.Predict(time.Duration(estimate))) / actual))
				}
				c.Observe(time.Duration(estimate), time.Duration(actual), 1)
			}
			is.True(expected <= declared+0.01*300) // the mean error of the logarithm may be larger by 0.01, since estimates may be exact
		})
	}
}

// TestCorrectionKnowsNothing checks that a Correction without observations
// predicts the estimates themselves.
func TestCorrectionKnowsNothing(t *testing.T) {
	is := is.New(t)
	var none *Correction
	is.Equal(none.Predict(time.Second), time.Second)
	is.Equal((&Correction{}).Predict(time.Second), time.Second)
	c := &Correction{}
	c.Observe(0, time.Second, 1) // no estimate was declared
	is.Equal(c.Predict(time.Second), time.Second)
	is.Equal(c.Predict(0), time.Duration(0))
}
