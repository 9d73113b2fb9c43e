package dispatcher

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"kumquatstall/scheduler"
)

// timings is a histogram of latencies, from 1 µs to 1 min.
type timings struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Observe counts one latency.
func (t *timings) Observe(latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.histogram == nil {
		t.histogram = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)
	}
	value := min(max(latency.Microseconds(), 1), t.histogram.HighestTrackableValue())
	// The value lies within the histogram's bounds, so it can't be refused.
	_ = t.histogram.RecordValue(value)
}

// quantiles is a histogram as it is published, in milliseconds.
type quantiles struct {
	Count int64
	P50   float64
	P99   float64
	Max   float64
}

func (t *timings) quantiles() quantiles {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.histogram == nil {
		return quantiles{}
	}
	millis := func(value int64) float64 { return float64(value) / 1000 }
	return quantiles{
		Count: t.histogram.TotalCount(),
		P50:   millis(t.histogram.ValueAtQuantile(50)),
		P99:   millis(t.histogram.ValueAtQuantile(99)),
		Max:   millis(t.histogram.Max()),
	}
}

type counters struct {
	submitted     [4]atomic.Int64
	commits       atomic.Int64
	commitsFailed atomic.Int64
	adviceFailed  atomic.Int64
	submitTime    timings
	commitTime    timings
	adviceTime    timings
}

// ObserveSubmit counts a request to store a job and how long it took.
func (d *Dispatcher) ObserveSubmit(outcome Outcome, latency time.Duration) {
	d.counters.submitted[outcome].Add(1)
	d.counters.submitTime.Observe(latency)
}

// LogInputs adds to a line of the log what decisions about requests rest on:
// versions, and how old they are.
func (d *Dispatcher) LogInputs(event *zerolog.Event) {
	now := d.clock.Now()
	owner := d.board.ownerView()
	if config := d.Config(); config != nil {
		event.Int64("ConfigVersion", config.Version)
	}
	if seen := d.storeSeen.Load(); seen != 0 {
		event.Dur("StoreAgeMillis", now.Sub(time.Unix(0, seen)))
	}
	event.Dur("WritesFailingMillis", d.store.FailingFor(time.Now()))
	event.Str("Owner", string(owner.row.Holder)).Int64("OwnerEpoch", owner.row.Epoch)
	if owner.known {
		event.Dur("OwnerAgeMillis", now.Sub(owner.since))
	}
}

// Metrics returns counters and latencies as JSON, for expvar.
func (d *Dispatcher) Metrics() string {
	owner := d.board.ownerView()
	published := struct {
		Ready         bool
		Owner         string
		Epoch         int64
		ConfigVersion int64
		Submitted     map[string]int64
		Commits       int64
		CommitsFailed int64
		AdviceFailed  int64
		SubmitMillis  quantiles
		CommitMillis  quantiles
		AdviceMillis  quantiles
		Cell          *scheduler.Stats `json:",omitempty"`
	}{
		Ready:         d.Ready(),
		Owner:         string(owner.row.Holder),
		Epoch:         owner.row.Epoch,
		Submitted:     make(map[string]int64),
		Commits:       d.counters.commits.Load(),
		CommitsFailed: d.counters.commitsFailed.Load(),
		AdviceFailed:  d.counters.adviceFailed.Load(),
		SubmitMillis:  d.counters.submitTime.quantiles(),
		CommitMillis:  d.counters.commitTime.quantiles(),
		AdviceMillis:  d.counters.adviceTime.quantiles(),
		Cell:          d.cellStats.Load(),
	}
	if config := d.Config(); config != nil {
		published.ConfigVersion = config.Version
	}
	for outcome := OutcomeDone; outcome <= OutcomeNotFound; outcome++ {
		published.Submitted[outcome.String()] = d.counters.submitted[outcome].Load()
	}
	data, err := json.Marshal(published)
	if err != nil {
		d.log.Error().Err(err).Msg("metrics can't be encoded")
		return "{}"
	}
	return string(data)
}
