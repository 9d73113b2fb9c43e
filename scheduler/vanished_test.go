package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReportFromBeforeAnAcceptance guards against a run that is given up as its worker doesn't
// report it, although the report may be older than the run: its poll was issued before the start was
// accepted. A report to a poll from after that proves that the run is gone.
func TestReportFromBeforeAnAcceptance(t *testing.T) {
	for _, after := range []bool{false, true} {
		is := is.New(t)
		h := newHarness(2)
		start := h.unanswered(t)
		w := h.core.workers[start.Worker.HostID]
		accepted := h.now.Add(300 * time.Millisecond)
		sentAt := accepted.Add(-10 * time.Millisecond)
		if after {
			sentAt = accepted.Add(10 * time.Millisecond)
		}
		h.now = accepted
		h.core.StartAccepted(h.now, start, h.clock(start.Worker))
		poll := PollOrder{Worker: w.ref(), Fence: h.core.fence(w), SentAt: sentAt}
		h.now = h.now.Add(100 * time.Millisecond)
		h.core.PollDone(h.now, poll, &Report{Clock: h.clock(w.ref()), BootedAt: w.bootedAt}, OrderAccepted)
		is.Equal(len(w.runs) == 0, after)
		is.Equal(h.core.Stats().Vanished == 1, after)
	}
}

// TestPartialReportLacksARun guards against a run that is given up as a report lacks it which
// doesn't list all of the worker's runs or ends.
func TestPartialReportLacksARun(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	start := h.unanswered(t)
	w := h.core.workers[start.Worker.HostID]
	h.core.StartAccepted(h.now, start, h.clock(start.Worker))
	h.now = h.now.Add(100 * time.Millisecond)
	poll := PollOrder{Worker: w.ref(), Fence: h.core.fence(w), SentAt: h.now}
	h.core.PollDone(h.now, poll, &Report{Clock: h.clock(w.ref()), BootedAt: w.bootedAt, Partial: true}, OrderAccepted)
	is.Equal(len(w.runs), 1)
	is.Equal(h.core.Stats().Vanished, int64(0))
}
