package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// waitsFor lets time pass, with all workers but one answering, until a step waits for a reason and
// that is logged. It returns the line.
func (h *harness) waitsFor(t *testing.T, silent requester.HostID, reason WaitReason, limit time.Duration) LogRecord {
	t.Helper()
	for until := h.now.Add(limit); h.now.Before(until); {
		h.advanceSilent(WorkerRef{HostID: silent}, 100*time.Millisecond)
		for _, record := range h.logged("step waits") {
			if h.waitOf("j") == reason {
				return record
			}
		}
	}
	t.Fatalf("no line says within %v that the step waits for %v", limit, reason)
	return LogRecord{}
}

// TestOpenStartWithoutAName guards against a step that waits for a start of which the log says
// neither which it is, who named it, on which worker, how that stands, nor until when.
func TestOpenStartWithoutAName(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	start := h.unanswered(t)
	sentAt := h.now
	h.now = h.now.Add(700 * time.Millisecond)
	h.core.StartDone(h.now, start, OrderUnknown)
	h.core.workers[start.Worker.HostID].suspendedUntil = h.now.Add(time.Minute) // so the start isn't repeated
	for range 3 {                                                               // the worker answers, and doesn't have the run
		h.advanceAnswered(100 * time.Millisecond)
	}
	line := h.waitsFor(t, "", WaitOpenStart, 5*time.Second)
	is.True(line.Wait != nil)
	is.Equal(line.Wait.OpenStarts, 1)
	is.Equal(len(line.Wait.Starts), 1)
	named := line.Wait.Starts[0]
	is.Equal(named.Run, start.Run)
	is.Equal(named.Worker, start.Worker.HostID)
	is.Equal(named.Epoch, int64(1))
	is.Equal(named.Standing, "answers")
	is.Equal(named.Sent, SentByOwner)
	is.True(!named.LeaseCounted)
	is.True(!named.Until.Before(sentAt.Add(maxOrderDelay)))
	is.True(named.Latest.After(named.Until))
	awaited := h.core.Load().Awaited
	is.Equal(awaited.OpenOwn, 1)
	is.Equal(awaited.OpenAnswering, 1)
	is.Equal(awaited.OpenByEpoch[1], 1)
}

// TestOpenStartIsOfNoEpoch guards against open starts that the load of an owner counts under no
// epoch, or under another owner's.
func TestOpenStartIsOfNoEpoch(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	is.Equal(h.core.Load().Awaited.OpenByEpoch, nil)
	start := h.unanswered(t)
	h.now = h.now.Add(700 * time.Millisecond)
	h.core.StartDone(h.now, start, OrderUnknown)
	is.Equal(h.core.Load().Awaited.OpenByEpoch, map[int64]int{1: 1})
}

// TestOpenStartOnASilentWorkerLooksSent guards against a start of an earlier owner of which the
// log doesn't tell whether its rows or only the list named it, and against a silent or a leaving
// worker that is said to answer.
func TestOpenStartOnASilentWorkerLooksSent(t *testing.T) {
	for _, sent := range []bool{true, false} {
		is := is.New(t)
		h := newHarness(2)
		bornAt := h.now
		rows := make(map[string][]byte)
		h.intendOne(t, stepOf(1, 8000))
		h.keepRows(rows)
		if sent {
			start := h.core.Tick(h.now).Starts[0]
			for range 10 {
				h.now = h.now.Add(100 * time.Millisecond)
				h.answerPolls(h.core.Tick(h.now), start.Worker)
				h.keepRows(rows)
			}
		}
		h.core = h.successor(t, rows)
		taken := h.core.TakeInherited()
		is.Equal(taken.OpenByEpoch[1], 1)
		is.Equal(taken.OpenStored == 1, sent)
		is.Equal(taken.OpenListed == 1, !sent)
		t0 := h.core.openTasks[0]
		on := t0.open.Worker
		var infos []WorkerInfo
		for _, w := range h.core.sortedWorkers {
			info := w.info
			info.Leaving, info.Total, info.Service, info.BootedAt = info.HostID == on, workerTotal, "service", bornAt
			infos = append(infos, info)
		}
		h.core.SetWorkers(h.now, infos)
		line := h.waitsFor(t, on, WaitOpenStart, 25*time.Second)
		is.Equal(len(line.Wait.Starts), 1)
		named := line.Wait.Starts[0]
		is.Equal(named.Epoch, int64(1))
		is.Equal(named.Standing, "silent, leaving")
		is.Equal(named.Sent == SentListed, !sent)
		is.Equal(named.Sent == SentStored, sent)
		is.Equal(h.core.Load().Awaited.OpenInherited, 1)
		is.Equal(h.core.Load().Awaited.SilentListed, 1)
		is.Equal(h.core.Load().Awaited.OpenAnswering, 0)
		h.core.SetWorkers(h.now, nil)
		is.Equal(h.core.standing(on), "silent, leaving, not listed")
	}
}

// successor returns the core of an owner of epoch 2 that recovers the only job from rows.
func (h *harness) successor(t *testing.T, rows map[string][]byte) *Core {
	t.Helper()
	var roster []LeasedWorker
	for _, w := range h.core.sortedWorkers {
		roster = append(roster, LeasedWorker{HostID: w.info.HostID, Address: w.info.Address})
	}
	c := New(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, h.now)
	c.RestoreLeasedWorkers(LeasedWorkersRow{Workers: roster})
	job := h.core.jobs["j"].spec
	if err := c.Recover(JobRows{Job: job, Progress: rows[ProgressKey("j")]}); err != nil {
		t.Fatal(err)
	}
	for key, value := range rows {
		if !IsListKey(key, StartsKey) {
			continue
		}
		var row StartsRow
		if err := DecodeRow(value, &row); err != nil {
			t.Fatal(err)
		}
		c.RestoreIntended(row)
	}
	return c
}

// TestUnknownRunsWithoutAWorker guards against a step that waits for the runs of earlier owners,
// and of which the log and the load name none of the workers that haven't told theirs.
func TestUnknownRunsWithoutAWorker(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("j", Policy{Service: "service", Stretch: 9}, stepOf(1, 1000))
	h.settle()
	rows := JobRows{Job: h.core.jobs["j"].spec, Progress: h.stored[ProgressKey("j")]}
	is.NoErr(h.takeOver(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, rows))
	lost := h.core.workers["w000"]
	line := h.waitsFor(t, "w000", WaitUnknownRuns, 5*time.Second)
	is.True(line.Wait != nil)
	is.Equal(line.Wait.Unreported, 1)
	is.Equal(line.Wait.Workers, []AwaitedWorker{{Worker: "w000", Standing: "silent", Until: lost.leaseExpiry(h.core)}})
	is.Equal(line.Wait.UnknownOn, 0)
	is.Equal(h.core.Load().Awaited.Unreported, 1)
	is.Equal(h.core.Load().Awaited.UnreportedUnlisted, 0)
	is.True(h.core.Stats().UnknownRunsWaitMillis >= longWait.Milliseconds())
	is.True(h.core.Stats().UnknownRunsWaitMillis <= 5000)
	is.Equal(h.core.Stats().OpenStartWaitMillis, int64(0))
}

// TestWaitForAnEagerOwnerLooksLikeSilence guards against a cell that waits for starts of an eager
// owner while every worker answers, and whose log and load don't say so.
func TestWaitForAnEagerOwnerLooksLikeSilence(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	is.NoErr(h.takeOver(eagerPredecessor, JobRows{Job: jobOf("j", stepOf(1, 1000))}))
	taken := h.core.TakeInherited()
	is.True(taken.PreviousEager)
	is.Equal(taken.UnknownUntil, h.core.unknownUntil())
	line := h.waitsFor(t, "", WaitUnknownRuns, 5*time.Second)
	is.Equal(line.Wait.Unreported, 0)
	is.Equal(line.Wait.UnknownOn, 1)
	is.Equal(line.Wait.UnknownUntil, h.core.unknownUntil())
	is.Equal(line.Wait.UnknownWorkers[0].Standing, "answers")
	is.True(line.Wait.UnknownWorkers[0].Until.After(line.Wait.UnknownUntil))
	is.Equal(h.core.Load().Awaited.UnknownOn, 1)
	is.Equal(h.core.Load().Awaited.Unreported, 0)
}

// TestWaitIsLoggedOnce guards against a wait for a lost owner that ends, or lasts, without a
// further line, as nothing else happens in the cell; and against a line for each pass.
func TestWaitIsLoggedOnce(t *testing.T) {
	for _, answered := range []bool{true, false} {
		is := is.New(t)
		h := newHarness(1)
		is.NoErr(h.takeOver(eagerPredecessor, JobRows{Job: jobOf("j", stepOf(1, 1000))}))
		var at []time.Duration
		tookOverAt := h.now
		for h.now.Sub(tookOverAt) < 13500*time.Millisecond {
			h.now = h.now.Add(50 * time.Millisecond)
			if answered {
				h.tickReported(&Report{})
			} else {
				h.core.Tick(h.now) // nothing happens that would need a placement pass
			}
			for range h.logged("step waits") {
				at = append(at, h.now.Sub(tookOverAt).Round(time.Second))
			}
		}
		is.Equal(at, []time.Duration{3 * time.Second, 8 * time.Second, 13 * time.Second})
		is.Equal(h.core.Stats().LongWaits, int64(1))
	}
}

// TestWideWaitNamesAll guards against a line that names all of very many starts, and against
// more lines in a second than the log is to have.
func TestWideWaitNamesAll(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	var rows []JobRows
	for range maxStopLines + 100 {
		rows = append(rows, JobRows{Job: jobOf("j"+string(rune('a'+len(rows)/26/26))+string(rune('a'+len(rows)/26%26))+string(rune('a'+len(rows)%26)), stepOf(1, 1000))})
	}
	is.NoErr(h.takeOver(eagerPredecessor, rows...))
	for i := range 24 {
		info := WorkerInfo{HostID: requester.HostID("x" + string(rune('a'+i))), Service: "service", Total: workerTotal, BootedAt: h.now, Address: h.address(byte(10 + i))}
		h.core.addWorker(info).inherited = true
	}
	var lines []LogRecord
	jobs := make(map[requester.JobID]bool)
	for range 90 {
		h.now = h.now.Add(50 * time.Millisecond)
		h.tickReported(&Report{})
		found := h.logged("step waits")
		is.True(len(found) <= maxStopLines)
		for _, line := range found {
			jobs[line.Job] = true
		}
		lines = append(lines, found...)
	}
	is.Equal(len(jobs), len(rows)) // those without room in a second are logged in the next one
	is.Equal(len(lines), len(rows))
	for _, line := range lines {
		is.Equal(line.Wait.UnknownOn, 25)
		is.Equal(len(line.Wait.UnknownWorkers), 8)
		is.True(len(line.Wait.Workers) <= 8)
	}
}

// TestOwnerEndsWithNamedStarts guards against an owner that loses the cell with starts named and
// not sent, or sent and not answered, and whose log doesn't tell the one from the other.
func TestOwnerEndsWithNamedStarts(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.intendOne(t, stepOf(2, 8000))
	unsent, unanswered := h.core.LogUnsent()
	is.Equal(unsent, 2)
	is.Equal(unanswered, 0)
	left := h.logged("start left")
	is.Equal(len(left), 2)
	is.Equal(left[0].Why, "named and never sent; worker: answers")
	is.Equal(left[0].Job, requester.JobID("j"))
	is.True(left[0].Worker != left[1].Worker)
	h.commit()
	h.core.StartDone(h.now, h.issue().Starts[0], OrderAccepted)
	unsent, unanswered = h.core.LogUnsent()
	is.Equal(unsent, 0)
	is.Equal(unanswered, 1)
	is.Equal(h.logged("start left")[0].Why, "sent, without an answer; worker: answers")
	h.core.WithdrawIntended()
	_, unanswered = h.core.LogUnsent()
	is.Equal(unanswered, 1)
}

// TestReleasedCellKeepsNamedStarts guards against starts that a release takes back without
// saying so.
func TestReleasedCellKeepsNamedStarts(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.intendOne(t, stepOf(2, 8000))
	h.core.WithdrawIntended()
	withdrawn := h.logged("start withdrawn")
	is.Equal(len(withdrawn), 2)
	is.Equal(withdrawn[0].Why, "the owner releases the cell")
	unsent, _ := h.core.LogUnsent()
	is.Equal(unsent, 0)
}
