package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/keeper"
	"kumquatstall/scheduler"
)

// TestRetryAfter: in a long failure of the store callers come back so that
// their tries last as long as their jobs can still be in time.
func TestRetryAfter(t *testing.T) {
	job := func(millis int64, stretch float64) *scheduler.Job {
		return &scheduler.Job{
			Policy: scheduler.Policy{Stretch: stretch, ObjectiveMillis: 300},
			Steps:  []scheduler.Step{{Count: 1, EstimateMillis: millis}},
		}
	}
	tests := []struct {
		name string
		job  *scheduler.Job
		away time.Duration
		want time.Duration
	}{
		{"no job", nil, 5 * time.Second, time.Second},
		{"a failure that has just begun", job(4000, 4), time.Second, time.Second},
		{"little time", job(1000, 1.5), 5 * time.Second, time.Second},
		{"some time", job(4000, 3), 5 * time.Second, 2 * time.Second},
		{"much time", job(60_000, 4), 5 * time.Second, 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC)
			clock := &setClock{now}
			d := &Dispatcher{store: keeper.NewHedged(nil), clock: clock}
			d.storeSeen.Store(now.UnixNano())
			clock.now = now.Add(test.away)
			is.Equal(d.RetryAfter(test.job), test.want)
		})
	}
}

// setClock stands still.
type setClock struct{ now time.Time }

func (c *setClock) Now() time.Time { return c.now }
