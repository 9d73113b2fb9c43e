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

// latencyHistogram is a histogram of latencies from 1 µs to 1 min. It is safe
// for concurrent use.
type latencyHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Observe records one latency. One outside the histogram's range counts as the
// nearest value in it.
func (h *latencyHistogram) Observe(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.histogram == nil {
		h.histogram = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)
	}
	value := min(max(latency.Microseconds(), 1), h.histogram.HighestTrackableValue())
	// The value is within the histogram's range, so there is no error.
	_ = h.histogram.RecordValue(value)
}

// quantiles is the summary of a histogram that is published, in milliseconds.
type quantiles struct {
	Count int64
	P50   float64
	P99   float64
	Max   float64
}

func (h *latencyHistogram) quantiles() quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.histogram == nil {
		return quantiles{}
	}
	millis := func(value int64) float64 { return float64(value) / 1000 }
	return quantiles{
		Count: h.histogram.TotalCount(),
		P50:   millis(h.histogram.ValueAtQuantile(50)),
		P99:   millis(h.histogram.ValueAtQuantile(99)),
		Max:   millis(h.histogram.Max()),
	}
}

// counters are the metrics of an entry.
type counters struct {
	// submitted counts the requests to store a job, by Outcome.
	submitted     [5]atomic.Int64
	commits       atomic.Int64
	commitsFailed atomic.Int64
	// commitsRefused counts the commits that the store has refused as invalid.
	commitsRefused atomic.Int64
	// tombstones counts the tombstones that were stored, tombstonesDenied the
	// cancellations refused since too many were.
	tombstones       atomic.Int64
	tombstonesDenied atomic.Int64
	adviceFailed     atomic.Int64
	// adviceAfterDeadline counts the replies to advice requests that had failed
	// before.
	adviceAfterDeadline atomic.Int64
	// oddRows counts the rows and messages that could not be decoded or had
	// values out of range; see logOddRow.
	oddRows atomic.Int64
	// stopsSent counts the stops that were sent for an owner, batchesRefused the batches of
	// stops that were not.
	stopsSent      atomic.Int64
	batchesRefused atomic.Int64
	submitTime     latencyHistogram
	commitTime     latencyHistogram
	adviceTime     latencyHistogram
}

// ObserveSubmit records the outcome and latency of a request to store a job.
func (d *Dispatcher) ObserveSubmit(outcome Outcome, latency time.Duration) {
	d.counters.submitted[outcome].Add(1)
	d.counters.submitTime.Observe(latency)
}

// LogInputs adds the inputs of decisions about requests to a log line: the
// version of the configuration, the owner and its epoch, how long ago this entry
// last observed the store and the owner's row, and for how long all writes to
// the store have failed.
func (d *Dispatcher) LogInputs(event *zerolog.Event) {
	now := d.clock.Now()
	owner := d.cache.ownerView()
	if config := d.Config(); config != nil {
		event.Int64("ConfigVersion", config.Version)
	}
	if contactedAt := d.storeContactedAt.Load(); contactedAt != 0 {
		event.Dur("StoreAgeMillis", now.Sub(time.Unix(0, contactedAt)))
	}
	event.Dur("WritesFailingMillis", d.store.FailingFor(time.Now()))
	event.Str("Owner", string(owner.row.Holder)).Int64("OwnerEpoch", owner.row.Epoch)
	if owner.known {
		event.Dur("OwnerAgeMillis", now.Sub(owner.observedAt))
	}
}

// Metrics returns counters and latencies as JSON, for expvar.
func (d *Dispatcher) Metrics() string {
	owner := d.cache.ownerView()
	published := struct {
		Ready         bool
		Owner         string
		Epoch         int64
		ConfigVersion int64
		Submitted     map[string]int64
		Commits       int64
		CommitsFailed int64
		// CommitsRefused counts commits that the store has refused as invalid.
		CommitsRefused int64
		// Tombstones counts cancellations of jobs that are not stored, for which a
		// tombstone was. TombstonesDenied counts those refused as there were too many.
		Tombstones       int64
		TombstonesDenied int64
		AdviceFailed     int64
		// AdviceAfterDeadline counts replies that came too late.
		AdviceAfterDeadline int64
		OddRows             int64
		// StopsSentForOwner counts the stops sent for an owner, StopBatchesRefused the batches
		// of them that were refused.
		StopsSentForOwner  int64
		StopBatchesRefused int64
		SubmitMillis       quantiles
		CommitMillis       quantiles
		AdviceMillis       quantiles
		Cell               *scheduler.Stats `json:",omitempty"`
		// Awaited counts what lost owners have left that tasks may wait for.
		Awaited *scheduler.Awaited `json:",omitempty"`
	}{
		Ready:               d.Ready(),
		Owner:               string(owner.row.Holder),
		Epoch:               owner.row.Epoch,
		Submitted:           make(map[string]int64),
		Commits:             d.counters.commits.Load(),
		CommitsFailed:       d.counters.commitsFailed.Load(),
		CommitsRefused:      d.counters.commitsRefused.Load(),
		Tombstones:          d.counters.tombstones.Load(),
		TombstonesDenied:    d.counters.tombstonesDenied.Load(),
		AdviceFailed:        d.counters.adviceFailed.Load(),
		AdviceAfterDeadline: d.counters.adviceAfterDeadline.Load(),
		OddRows:             d.counters.oddRows.Load(),
		StopsSentForOwner:   d.counters.stopsSent.Load(),
		StopBatchesRefused:  d.counters.batchesRefused.Load(),
		SubmitMillis:        d.counters.submitTime.quantiles(),
		CommitMillis:        d.counters.commitTime.quantiles(),
		AdviceMillis:        d.counters.adviceTime.quantiles(),
		Cell:                d.cellStats.Load(),
		Awaited:             d.cellAwaited.Load(),
	}
	if config := d.Config(); config != nil {
		published.ConfigVersion = config.Version
	}
	for outcome := OutcomeDone; outcome <= OutcomeInvalid; outcome++ {
		published.Submitted[outcome.String()] = d.counters.submitted[outcome].Load()
	}
	data, err := json.Marshal(published)
	if err != nil {
		d.log.Error().Err(err).Msg("encoding the metrics failed; an empty object is published")
		return "{}"
	}
	return string(data)
}

// waits returns how many tasks wait for each reason, without those for which none
// do.
func waits(load *scheduler.Load) *zerolog.Event {
	counts := zerolog.Dict()
	for reason, count := range load.Waits {
		if count > 0 {
			counts.Int(scheduler.WaitReason(reason).String(), count)
		}
	}
	return counts
}
