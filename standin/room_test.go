package standin

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// TestStartBeyondShrunkRoom checks that a worker records a start beyond a room
// that has shrunk, once the owner must know of it, and that what was started
// before counts until it has ended.
func TestStartBeyondShrunkRoom(t *testing.T) {
	full := requester.Resources{MilliCores: 8000, MemoryMB: 16000, Accelerators: 2}
	half := requester.Resources{MilliCores: 4000, MemoryMB: 16000, Accelerators: 2}
	need := requester.Resources{MilliCores: 3000, MemoryMB: 100}
	tests := []struct {
		name string
		// change happens at the start; the second run starts after wait.
		change func(w *TaskWorker, now time.Time)
		wait   time.Duration
		want   bool
	}{
		{"not shrunk", func(*TaskWorker, time.Time) {}, time.Minute, false},
		{"just shrunk", func(w *TaskWorker, now time.Time) { w.SetRoom(half, now) }, RoomGrace - time.Millisecond, false},
		{"shrunk", func(w *TaskWorker, now time.Time) { w.SetRoom(half, now) }, RoomGrace, true},
		{"shrunk in accelerators only", func(w *TaskWorker, now time.Time) {
			w.SetRoom(requester.Resources{MilliCores: 8000, MemoryMB: 16000}, now)
		}, RoomGrace, false},
		{"shrunk and grown again", func(w *TaskWorker, now time.Time) {
			w.SetRoom(half, now)
			w.SetRoom(full, now.Add(time.Second))
		}, RoomGrace + time.Second, false},
		{"shrunk while the store is away", func(w *TaskWorker, now time.Time) {
			w.setStoreAway(true, now)
			w.SetRoom(half, now)
		}, time.Minute, false},
		{"store is back", func(w *TaskWorker, now time.Time) {
			w.setStoreAway(true, now)
			w.SetRoom(half, now)
			w.setStoreAway(false, now.Add(time.Minute))
		}, time.Minute + RoomGrace, true},
		{"shrunk before the store went away", func(w *TaskWorker, now time.Time) {
			w.SetRoom(half, now)
			w.setStoreAway(true, now.Add(RoomGrace))
		}, time.Minute, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC)
			w := NewTaskWorker(scheduler.WorkerInfo{HostID: "worker", Total: full}, now)
			start := func(index int) {
				order := scheduler.StartOrder{Task: scheduler.TaskName{Index: index}, Run: 1, Payload: RunSpec{Millis: 600_000}.Payload(need), Deadline: w.clock(now) + 10_000}
				is.Equal(w.Start(order, now), scheduler.OrderAccepted)
			}
			start(0)
			test.change(w, now)
			for passed := time.Duration(0); passed < test.wait; {
				step := min(5*time.Second, test.wait-passed)
				passed, now = passed+step, now.Add(step)
				_, result := w.Poll(scheduler.PollOrder{Deadline: w.clock(now) + 10_000}, now)
				is.Equal(result, scheduler.OrderAccepted)
			}
			start(1)
			_, problem := w.Runs(now)
			is.Equal(problem != "", test.want)
		})
	}
}

// TestLateStartBeyondShrunkRoom guards against a check that blames an owner for a start which
// it sent before it could know that the room had shrunk, and which is carried out late.
func TestLateStartBeyondShrunkRoom(t *testing.T) {
	for _, test := range []struct {
		// sent is how long after the room has shrunk the start is sent.
		sent time.Duration
		want bool
	}{{-time.Second, false}, {RoomGrace - time.Millisecond, false}, {RoomGrace, true}} {
		is := is.New(t)
		now := time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC)
		w := NewTaskWorker(scheduler.WorkerInfo{HostID: "worker", Total: requester.Resources{MilliCores: 8000, MemoryMB: 16000}}, now)
		now = now.Add(time.Minute)
		w.SetRoom(requester.Resources{MilliCores: 4000, MemoryMB: 16000}, now)
		sentAt := now.Add(test.sent)
		now = sentAt.Add(maxOrderDelay)
		order := scheduler.StartOrder{Run: 1, Payload: RunSpec{Millis: 1000}.Payload(requester.Resources{MilliCores: 5000}), Deadline: w.clock(now) + 10_000}
		is.Equal(w.startSent(order, sentAt, now), scheduler.OrderAccepted)
		_, problem := w.Runs(now)
		is.Equal(problem != "", test.want)
	}
}
