package scheduler

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"kumquatstall/requester"
)

// FuzzJobRow checks that the row of a job is either refused or can be scheduled,
// and that it is decoded again as it was encoded.
func FuzzJobRow(f *testing.F) {
	now := time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)
	f.Add(EncodeRow(Job{JobID: "j1", Queue: "q", Policy: Policy{Service: "s", Advice: &Advice{DecideMillis: 4}}, Steps: []Step{{Count: 3, Gang: true}, {Count: 1, After: []int{0}}}, AcceptedAt: now}))
	f.Add(EncodeRow(Job{JobID: "j1", Steps: []Step{{Count: 1}}, Occurrences: 3, FirstDue: now, PeriodMillis: 500}))
	f.Add([]byte{0xa0})
	packed := Job{JobID: "j1", Queue: "q", Policy: Policy{Service: "s"}, Payload: strings.Repeat("a", MaxPayload), Steps: []Step{{Count: 1, Image: strings.Repeat("b", MaxPayload)}}}
	f.Add(EncodeJob(packed))
	f.Add(EncodeRow(Tombstone{CancelledAt: now}))
	f.Fuzz(func(t *testing.T, value []byte) {
		job, err := DecodeJob(value)
		if err == nil && IsTombstone(value) {
			t.Fatal("a tombstone is a job")
		}
		if err != nil || job.Validate() != nil {
			return
		}
		again, err := DecodeJob(EncodeJob(job))
		if err != nil {
			t.Fatalf("the row of a valid job can't be decoded: %v", err)
		}
		if !reflect.DeepEqual(EncodeRow(again), EncodeRow(job)) {
			t.Errorf("got %+v after encoding, expected %+v", again, job)
		}
		core := New(Options{Epoch: 2}, now)
		core.SetWorkers(now, []WorkerInfo{{HostID: "w", Service: job.Service, Total: requester.Resources{MilliCores: MaxNeed}}})
		core.Add(now, job)
		for range 3 {
			now := now.Add(10 * time.Millisecond)
			core.Tick(now)
			core.Committed(now, core.TakeBatch(40))
		}
	})
}

// FuzzProgressRow checks that no progress row ends the process at a takeover, that
// the counters of tasks agree, and that what is written next can be decoded.
func FuzzProgressRow(f *testing.F) {
	now := time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)
	steps := []stepProgress{
		{
			calmProgress: calmProgress{Started: true, Done: []byte{5}, Checkpoints: map[int]string{1: "c"}, FailedRuns: map[int][]RunNumber{0: {1, 2}}},
			Crashes:      map[int][]crash{1: {{Run: 1, Worker: "w", AgeMillis: 20, ChancePPM: 3}}},
			Noted:        map[int]notedStart{1: {Run: 2, Worker: "w", BootedAt: now, StartedAt: now}},
		},
		{calmProgress: calmProgress{AllDone: true}},
	}
	details := EncodeRow(detailRow{Steps: []stepDetails{{Step: 0, Progress: steps[0]}, {Occurrence: 7, Step: 1, Progress: steps[0]}}})
	f.Add(EncodeRow(progressRow{State: StateRunning, NextOccurrence: 1, Occurrences: []occurrenceProgress{{Steps: steps}}}), details, false)
	f.Add(EncodeRow(progressRow{State: StateRunning, NextOccurrence: 9, Occurrences: []occurrenceProgress{{Number: 7, Steps: steps}, {Number: 8, Steps: steps[:1]}}}), details, true)
	f.Add(EncodeRow(progressRow{State: 99, EndedAt: -1 << 62}), []byte{0xa0}, false)
	f.Fuzz(func(t *testing.T, value, detail []byte, timed bool) {
		job := Job{JobID: "j1", Queue: "q", Policy: Policy{Service: "s"}, Steps: []Step{{Count: 3}, {Count: 2, Gang: true, After: []int{0}}}, AcceptedAt: now}
		if timed {
			job.Occurrences, job.FirstDue, job.PeriodMillis = 20, now, 10
		}
		core := New(Options{Epoch: 2}, now)
		first := detailKey("j1", taskPosition{index: 1})
		if core.Recover(JobRows{Job: job, Progress: value, Details: []RowWrite{{Key: first, Value: detail}}}) != nil {
			return
		}
		for range 3 {
			now := now.Add(10 * time.Millisecond)
			core.Tick(now)
			batch := core.TakeBatch(40)
			for _, write := range batch.Writes {
				var row progressRow
				var state StateRow
				var details detailRow
				if err := DecodeRow(write.Value, &details); IsDetailKey(write.Key) && write.Value != nil && err != nil {
					t.Fatalf("a written row of details can't be decoded: %v", err)
				}
				if err := DecodeRow(write.Value, &row); write.Key == ProgressKey("j1") && err != nil {
					t.Fatalf("a written progress row can't be decoded: %v", err)
				}
				if err := DecodeRow(write.Value, &state); write.Key == StateKey("j1") && err != nil {
					t.Fatalf("a written state can't be decoded: %v", err)
				}
			}
			core.Committed(now, batch)
		}
		cell := &extremeCell{t: t, core: core}
		cell.check()
	})
}

// FuzzLeasedWorkersRow checks that no row of leased workers ends the process.
func FuzzLeasedWorkersRow(f *testing.F) {
	now := time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)
	f.Add(EncodeRow(LeasedWorkersRow{Workers: []LeasedWorker{{HostID: "w1"}, {HostID: "w1"}}}))
	f.Fuzz(func(t *testing.T, value []byte) {
		var row LeasedWorkersRow
		if DecodeRow(value, &row) != nil {
			return
		}
		core := New(Options{Epoch: 2}, now)
		core.RestoreLeasedWorkers(row)
		core.SetWorkers(now, nil)
		core.Tick(now)
		core.Tick(now.Add(time.Minute))
		if len(core.workers) != len(core.sortedWorkers) {
			t.Errorf("got %d workers, sorted %d", len(core.workers), len(core.sortedWorkers))
		}
	})
}
