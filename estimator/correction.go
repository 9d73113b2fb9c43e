package estimator

import (
	"math"
	"time"
)

// Correction predicts the durations of tasks from their declared estimates, by a
// linear regression of the logarithm of the duration on that of the estimate. If
// estimates carry little information, the slope is near 0 and the prediction is
// near the typical duration; if they are accurate, the slope is near 1. The zero
// value predicts the estimates themselves.
type Correction struct {
	// The fields are sums over the observations, with exponentially decaying
	// weights: x is the logarithm of an estimate, y that of the duration.
	weight, x, y, xx, xy float64
}

const (
	// correctionDecay is the factor by which an observation of weight 1
	// multiplies the weight of all earlier ones.
	correctionDecay = 0.995
	// priorWeight is the weight, in observations, of the prior assumption that
	// estimates are accurate. priorVariance is the variance of the logarithm
	// of estimates in it.
	priorWeight   = 4
	priorVariance = 0.25
	// maxCorrection is the largest factor by which a prediction may exceed its
	// estimate or fall short of it.
	maxCorrection = 10
)

// Observe records the actual duration of a task, with a weight of at most 1. It
// ignores observations whose estimate or duration is not positive.
func (c *Correction) Observe(estimate, actual time.Duration, weight float64) {
	if estimate <= 0 || actual <= 0 {
		return
	}
	x, y := math.Log(float64(estimate)), math.Log(float64(actual))
	keep := math.Pow(correctionDecay, weight)
	c.weight = keep*c.weight + weight
	c.x = keep*c.x + weight*x
	c.y = keep*c.y + weight*y
	c.xx = keep*c.xx + weight*x*x
	c.xy = keep*c.xy + weight*x*y
}

// Predict returns the predicted duration of a task with the estimate. A nil
// Correction predicts the estimate itself.
func (c *Correction) Predict(estimate time.Duration) time.Duration {
	if c == nil || c.weight == 0 || estimate <= 0 {
		return estimate
	}
	x := math.Log(float64(estimate))
	meanX, meanY := c.x/c.weight, c.y/c.weight
	variance := c.xx - c.x*meanX + priorWeight*priorVariance
	covariance := c.xy - c.x*meanY + priorWeight*priorVariance
	slope := min(1, max(0, covariance/variance))
	learned := meanY + slope*(x-meanX)
	change := c.weight / (c.weight + priorWeight) * (learned - x)
	change = min(math.Log(maxCorrection), max(-math.Log(maxCorrection), change))
	return time.Duration(math.Exp(x + change))
}
