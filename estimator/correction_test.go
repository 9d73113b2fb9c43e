package estimator

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCorrection: what is expected is closer to the truth than the estimate,
// however good the estimates are.
func TestCorrection(t *testing.T) {
	tests := []struct {
		name string
		// bias is the factor by which estimates are wrong on the whole, off
		// the spread of their errors, spread that of the durations.
		bias, off, spread float64
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
				took := 4 * float64(time.Second) * math.Exp(test.spread*random.NormFloat64())
				estimate := test.bias * took * math.Exp(test.off*random.NormFloat64())
				if i >= 100 {
					declared += math.Abs(math.Log(estimate / took))
					expected += math.Abs(math.Log(float64(c.Predict(time.Duration(estimate))) / took))
				}
				c.Observe(time.Duration(estimate), time.Duration(took), 1)
			}
			is.True(expected <= declared+0.01*300) // within a hundredth where estimates are exact
		})
	}
}

// TestCorrectionKnowsNothing: estimates stand as long as nothing was seen.
func TestCorrectionKnowsNothing(t *testing.T) {
	is := is.New(t)
	var none *Correction
	is.Equal(none.Predict(time.Second), time.Second)
	is.Equal((&Correction{}).Predict(time.Second), time.Second)
	c := &Correction{}
	c.Observe(0, time.Second, 1) // nothing was declared
	is.Equal(c.Predict(time.Second), time.Second)
	is.Equal(c.Predict(0), time.Duration(0))
}
