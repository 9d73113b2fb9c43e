package scheduler

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// logged returns the records of an event since the last call, which drops all others.
func (h *harness) logged(event string) []LogRecord {
	var found []LogRecord
	for _, record := range h.core.TakeLogRecords() {
		if record.Event == event {
			found = append(found, record)
		}
	}
	return found
}

// lapse starts a task whose worker reports its run once and is then silent until its lease
// counts as expired. It returns the start and the record of that.
func (h *harness) lapse(t *testing.T) (StartOrder, LogRecord) {
	t.Helper()
	h.add("j", Policy{Stretch: 9}, stepOf(1, 8000))
	starts := h.settle()
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	h.advance(time.Second)
	for range 200 {
		h.advanceSilent(starts[0].Worker, 100*time.Millisecond)
		if records := h.logged("lease lapsed"); len(records) == 1 {
			return starts[0], records[0]
		}
	}
	t.Fatal("the lease doesn't lapse")
	return StartOrder{}, LogRecord{}
}

// answerAs has the worker of a start answer a poll, as the incarnation that was born then.
func (h *harness) answerAs(start StartOrder, bootedAt time.Time, report Report) {
	w := h.core.workers[start.Worker.HostID]
	report.Clock, report.BootedAt = WorkerTime(h.now.Sub(bootedAt).Milliseconds()), bootedAt
	h.core.PollDone(h.now, PollOrder{Worker: w.ref(), Fence: h.core.fence(w), SentAt: h.now}, &report, OrderAccepted)
}

// TestLapsedLeaseIsExplained checks that the log has what was counted of a lease.
func TestLapsedLeaseIsExplained(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	start, lapsed := h.lapse(t)
	w := h.core.workers[start.Worker.HostID]
	is.Equal(lapsed.Address, start.Worker.Address)
	is.Equal(lapsed.BootedAt, start.Worker.BootedAt)
	is.Equal(lapsed.Lease, LeaseCount{Deadline: w.leaseDeadline, Clock: w.clock, ClockAge: h.now.Sub(w.clockAt), GrantAge: h.now.Sub(w.grantedAt)})
	is.True(lapsed.Lease.Deadline > lapsed.Lease.Clock)
	is.True(lapsed.Lease.ClockAge > 5*time.Second && lapsed.Lease.GrantAge > 5*time.Second)
	is.Equal(lapsed.Why, "reported")
}

// TestReleasedRunIsExplained checks that the log and the counters tell a released run that
// is active from one that has ended, and in which incarnation.
func TestReleasedRunIsExplained(t *testing.T) {
	tests := []struct {
		name  string
		state string
		later time.Duration // birth after that of the start
		event string
		why   string
	}{
		{"active", stillActive, 0, "released run is active", "Active: the same incarnation of its worker has it 100ms after the release: reported, its lease expired; its clock shows CLOCK; its task has run 2 on "},
		{"done", "Done", 0, "released run resurfaced", "Done: the same incarnation of its worker has it 100ms after the release: reported, its lease expired; its clock shows CLOCK"},
		{"lapsed", "Lapsed", 0, "", ""},
		{"active in a later life", stillActive, time.Second, "released run is active", "Active: a later incarnation "},
		{"lapsed in a later life", "Lapsed", time.Second, "released run resurfaced", "Lapsed: a later incarnation "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(2)
			start, lapsed := h.lapse(t)
			h.advanceSilent(start.Worker, 100*time.Millisecond)
			h.core.TakeLogRecords()
			var report Report
			switch test.state {
			case stillActive:
				report.Running = []RunningTask{{Task: start.Task, Run: start.Run}}
			case "Done":
				report.Ended = []EndedRun{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndDone}}
			case "Lapsed":
				report.Ended = []EndedRun{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndExpired}}
			}
			bootedAt := start.Worker.BootedAt.Add(test.later)
			if test.later > 0 {
				h.answerAs(start, bootedAt, Report{})
			}
			h.answerAs(start, bootedAt, report)

			var found []LogRecord
			for _, record := range h.core.TakeLogRecords() {
				if strings.HasPrefix(record.Event, "released run") {
					found = append(found, record)
				}
			}
			stats := h.core.Stats()
			is.Equal(stats.ReleasedActive == 1, test.state == stillActive)
			is.Equal(stats.Violations, int64(0))
			is.Equal(stats.Resurfaced, int64(len(found)))
			if test.event == "" {
				is.Equal(len(found), 0)
				return
			}
			is.Equal(len(found), 1)
			is.Equal(found[0].Event, test.event)
			is.Equal(found[0].Warning, test.state == stillActive)
			is.True(strings.HasPrefix(found[0].Why, strings.ReplaceAll(test.why, "CLOCK", strconv.FormatInt(h.now.Sub(bootedAt).Milliseconds(), 10)))) // Why
			is.Equal(found[0].BootedAt, bootedAt)
			is.Equal(found[0].FormerBootedAt, start.Worker.BootedAt)
			is.Equal(found[0].Address, start.Worker.Address)
			is.Equal(found[0].Lease, lapsed.Lease) // as counted at the release
		})
	}
}

// TestRebirthIsExplained checks that the log tells what has shown a new incarnation, and that
// a run of the former one that is active after all is told from one of the new one.
func TestRebirthIsExplained(t *testing.T) {
	is := is.New(t)
	h, starts := runningHarness(t, 2, stepOf(1, 8000))
	lease := h.core.countLife(h.core.workers[starts[0].Worker.HostID]).lease
	h.core.TakeLogRecords()
	former, later := starts[0].Worker.BootedAt, h.now
	h.answerAs(starts[0], later, Report{})
	records := h.core.TakeLogRecords()
	reborn, crashed := only(t, records, "worker reborn"), only(t, records, "worker crashed under a run")
	is.Equal(reborn.Why, "shown by a report")
	is.Equal(reborn.BootedAt, later)
	is.Equal(reborn.FormerBootedAt, former)
	is.Equal(reborn.Address, starts[0].Worker.Address)
	is.Equal(crashed.BootedAt, former)
	is.True(strings.HasSuffix(crashed.Why, "; end shown by a report"))

	// The former one answers after all, and then a poll of its own.
	h.now = h.now.Add(time.Second)
	h.answerAs(starts[0], former, Report{})
	h.answerAs(starts[0], former, Report{Running: []RunningTask{{Task: starts[0].Task, Run: starts[0].Run}}})
	records = h.core.TakeLogRecords()
	back, active := only(t, records, "worker reborn"), only(t, records, "released run is active")
	is.Equal(back.Why, "shown by a report")
	is.Equal(back.BootedAt, former)
	is.Equal(back.FormerBootedAt, later)
	is.True(strings.HasPrefix(active.Why, "Active: the same incarnation of its worker has it 1000ms after the release: reported, its worker restarted; its clock shows "))
	is.Equal(active.FormerBootedAt, former)
	is.Equal(active.Lease, lease) // of the former one, although the new one had none
}

// TestListedBirthIsExplained checks that the log tells a birth that the list alone shows: it is
// that of a new incarnation only of a worker that has not told its own.
func TestListedBirthIsExplained(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	info, later := h.core.sortedWorkers[0].info, h.now.Add(time.Second)
	info.HostID, info.Address = "new", h.address(7)
	h.core.SetWorkers(h.now, []WorkerInfo{info})
	listed := info
	listed.BootedAt = later
	h.core.TakeLogRecords()
	h.core.SetWorkers(h.now, []WorkerInfo{listed})
	reborn := only(t, h.core.TakeLogRecords(), "worker reborn")
	is.Equal(reborn.Why, "shown by the list")
	is.Equal(reborn.BootedAt, later)
	is.Equal(reborn.FormerBootedAt, info.BootedAt)
	h.tellBirth(listed)
	h.core.TakeLogRecords()
	h.core.SetWorkers(h.now, []WorkerInfo{info})
	records := h.core.TakeLogRecords()
	birth := only(t, records, "worker's birth")
	is.True(strings.HasPrefix(birth.Why, "the list has another one"))
	is.Equal(birth.Address, info.Address)
	is.Equal(birth.BootedAt, info.BootedAt)
	is.Equal(birth.FormerBootedAt, later)
	is.True(!slices.ContainsFunc(records, func(r LogRecord) bool { return r.Event == "worker reborn" || r.Event == "worker crashed under a run" }))
}

// only returns the only record of an event.
func only(t *testing.T, records []LogRecord, event string) LogRecord {
	t.Helper()
	var found []LogRecord
	for _, record := range records {
		if record.Event == event {
			found = append(found, record)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%d records of %q, want 1", len(found), event)
	}
	return found[0]
}

// TestEndedIncarnationIsExplained checks that the log tells the address at which another
// worker answered, and how many runs were started elsewhere. Then no crash is recorded, as
// the worker may go on there.
func TestEndedIncarnationIsExplained(t *testing.T) {
	for _, test := range []struct {
		elsewhere, crashes int
		why                string
	}{
		{0, 3, "runs started there 3, elsewhere 0, unknown where 0"},
		{1, 0, "runs started there 2, elsewhere 1, unknown where 0"},
	} {
		t.Run(test.why, func(t *testing.T) {
			is := is.New(t)
			h, starts := runningHarness(t, 1, stepOf(3, 1000))
			w := h.core.sortedWorkers[0]
			for _, start := range starts[:test.elsewhere] {
				w.runs[runKey{start.Task, start.Run}].address = h.address(7)
			}
			h.core.TakeLogRecords()
			h.core.endIncarnation(w, w.ref())
			records := h.core.TakeLogRecords()
			ended := only(t, records, "worker's incarnation ended")
			is.Equal(ended.Address, w.info.Address)
			is.Equal(ended.BootedAt, w.bootedAt)
			is.Equal(ended.Why, "another incarnation responded at its address; "+test.why)
			is.Equal(len(w.runs), test.elsewhere)
			crashes := 0
			for _, record := range records {
				if record.Event == "worker crashed under a run" {
					crashes++
					is.Equal(record.BootedAt, w.bootedAt)
					is.True(strings.HasSuffix(record.Why, "; end shown by another ID at its address"))
				}
			}
			is.Equal(crashes, test.crashes)
		})
	}
}

// TestStartNamesTheLife checks that the log has the address and birth of workers and what
// lease a start carries.
func TestStartNamesTheLife(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	info := h.core.sortedWorkers[0].info
	listed := only(t, h.core.TakeLogRecords(), "worker listed")
	is.Equal(listed.Address, info.Address)
	is.Equal(listed.BootedAt, info.BootedAt)
	h.add("j", Policy{Stretch: 9}, stepOf(1, 8000))
	starts := h.settle()
	is.Equal(len(starts), 1)
	started := only(t, h.core.TakeLogRecords(), "start")
	is.Equal(started.Address, starts[0].Worker.Address)
	is.Equal(started.BootedAt, starts[0].Worker.BootedAt)
	is.Equal(started.Lease, LeaseCount{Deadline: starts[0].Deadline})
	is.True(started.Lease.Deadline > 0)
	h.core.SetWorkers(h.now, nil)
	unlisted := only(t, h.core.TakeLogRecords(), "worker not listed any more")
	is.Equal(unlisted.Worker, requester.HostID("w000"))
	is.Equal(unlisted.Address, info.Address)
	is.Equal(unlisted.BootedAt, info.BootedAt)
}

// TestUnsentStartThatRunsIsExplained checks that the log tells a run whose start counted as
// never sent.
func TestUnsentStartThatRunsIsExplained(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	start := h.unanswered(t)
	h.core.StartDone(h.now, start, OrderUnsent)
	h.core.TakeLogRecords()
	h.now = h.now.Add(50 * time.Millisecond)
	h.answerAs(start, start.Worker.BootedAt, Report{Running: []RunningTask{{Task: start.Task, Run: start.Run}}})
	active := only(t, h.core.TakeLogRecords(), "released run is active")
	is.True(strings.HasPrefix(active.Why, "Active: the same incarnation of its worker has it 50ms after the release: open, its start was not sent; "))
	is.Equal(h.core.Stats().ReleasedActive, int64(1))
}

// TestRunAtAnotherAddressIsExplained checks that another ID at an address that only the list
// names gives no run up, and that the log tells the runs that one at the worker's address does.
func TestRunAtAnotherAddressIsExplained(t *testing.T) {
	is := is.New(t)
	h, starts := runningHarness(t, 1, stepOf(1, 8000))
	w := h.core.sortedWorkers[0]
	outdated := w.info
	outdated.Address = h.address(7)
	h.core.SetWorkers(h.now, []WorkerInfo{outdated})
	h.core.TakeLogRecords()
	h.core.endIncarnation(w, WorkerRef{HostID: w.info.HostID, Address: outdated.Address, BootedAt: w.bootedAt})
	is.Equal(len(h.core.TakeLogRecords()), 0)
	is.Equal(len(w.runs), 1)
	h.core.endIncarnation(w, starts[0].Worker)
	ended := only(t, h.core.TakeLogRecords(), "worker's incarnation ended")
	is.Equal(ended.Address, starts[0].Worker.Address)
	is.True(strings.HasSuffix(ended.Why, "runs started there 1, elsewhere 0, unknown where 0"))
}

// TestLapseInALifeThatWasGivenUpIsExplained checks that the log tells a run that lapsed in a
// life which a report had shown as over: its lease had not been waited for.
func TestLapseInALifeThatWasGivenUpIsExplained(t *testing.T) {
	is := is.New(t)
	h, starts := runningHarness(t, 1, stepOf(1, 8000))
	h.reborn()
	h.now = h.now.Add(time.Second)
	h.answerAs(starts[0], starts[0].Worker.BootedAt, Report{})
	h.answerAs(starts[0], starts[0].Worker.BootedAt, Report{Ended: []EndedRun{{Number: 1, Task: starts[0].Task, Run: starts[0].Run, Kind: EndExpired}}})
	resurfaced := only(t, h.core.TakeLogRecords(), "released run resurfaced")
	is.True(strings.HasPrefix(resurfaced.Why, "Lapsed: the same incarnation of its worker has it 1000ms after the release: reported, its worker restarted; "))
	is.Equal(h.core.Stats().ReleasedActive, int64(0))
}
