package estimator

import (
	"math"
	"time"
)

// Correction learns how long tasks of a kind take against what their declared
// estimates say: a line through the logarithms of both. Where estimates say
// little the line is flat, and the usual duration counts; where they are good
// it is steep. The zero value takes estimates as they are.
type Correction struct {
	// Sums over what was observed, older ones weighing less: x is the
	// logarithm of an estimate, y that of the duration.
	weight, x, y, xx, xy float64
}

const (
	// correctionDecay is the weight that the sums keep with an observation of
	// weight 1.
	correctionDecay = 0.995
	// doubtWeight is how many observations the assumption weighs that
	// estimates hold, doubtSpread the variance of estimates that goes with it.
	doubtWeight = 4
	doubtSpread = 0.25
	// mostCorrection bounds the factor by which an estimate is corrected.
	mostCorrection = 10
)

// Observe takes in, with a weight of at most 1, how long a task has taken.
func (c *Correction) Observe(estimate, took time.Duration, weight float64) {
	if estimate <= 0 || took <= 0 {
		return
	}
	x, y := math.Log(float64(estimate)), math.Log(float64(took))
	keep := math.Pow(correctionDecay, weight)
	c.weight = keep*c.weight + weight
	c.x = keep*c.x + weight*x
	c.y = keep*c.y + weight*y
	c.xx = keep*c.xx + weight*x*x
	c.xy = keep*c.xy + weight*x*y
}

// Predict returns how long a task with that estimate should take.
func (c *Correction) Predict(estimate time.Duration) time.Duration {
	if c == nil || c.weight == 0 || estimate <= 0 {
		return estimate
	}
	x := math.Log(float64(estimate))
	meanX, meanY := c.x/c.weight, c.y/c.weight
	variance := c.xx - c.x*meanX + doubtWeight*doubtSpread
	covariance := c.xy - c.x*meanY + doubtWeight*doubtSpread
	slope := min(1, max(0, covariance/variance))
	learned := meanY + slope*(x-meanX)
	change := c.weight / (c.weight + doubtWeight) * (learned - x)
	change = min(math.Log(mostCorrection), max(-math.Log(mostCorrection), change))
	return time.Duration(math.Exp(x + change))
}
