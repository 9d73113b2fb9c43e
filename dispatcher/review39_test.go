package dispatcher_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"kumquatstall/dispatcher"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
	"kumquatstall/standin"
)

// unansweredStarts is a platform whose workers get starts without answering them, and don't
// execute them while the test looks on.
type unansweredStarts struct {
	dispatcher.Platform
	mu     sync.Mutex
	orders []scheduler.StartOrder
}

func (u *unansweredStarts) Start(ctx context.Context, order scheduler.StartOrder) (scheduler.WorkerTime, scheduler.OrderResult) {
	u.mu.Lock()
	u.orders = append(u.orders, order)
	u.mu.Unlock()
	<-ctx.Done()
	return 0, scheduler.OrderUnknown
}

func (u *unansweredStarts) sent() []scheduler.StartOrder {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.orders
}

// sentTo reports whether the start of a run was sent to a worker.
func (u *unansweredStarts) sentTo(task scheduler.TaskName, run scheduler.RunNumber, worker requester.HostID) bool {
	return slices.ContainsFunc(u.sent(), func(order scheduler.StartOrder) bool {
		return order.Task == task && order.Run == run && order.Worker.HostID == worker
	})
}

// TestStartsInFlightWhenTheCellIsReleased guards against a successor that doesn't know of the
// starts that its predecessor had sent right before it released the cell as planned: the next life
// of their worker may execute them.
func TestStartsInFlightWhenTheCellIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{t: t, cell: standin.NewCell(7, standin.CellWorkers("service", 6, workerCapacity))}
		s.cell.SetConfig(&dispatcher.Config{Version: 1, Queues: []dispatcher.Queue{{Name: "queue", Host: "host", Prefix: "/queue/", Policy: policy()}}})
		platform := &unansweredStarts{Platform: s.cell.PlatformFor(entryName(0))}
		s.entries = append(s.entries, dispatcher.Start(dispatcher.Options{Self: entryName(0), DataCentre: "here"}, platform, virtualClock{}, zerolog.New(io.Discard)))
		defer s.close()
		time.Sleep(2 * time.Second)
		s.start(1)
		time.Sleep(time.Second)
		if !s.entries[0].Owns() {
			t.Fatal("entry 0 doesn't own the cell")
		}
		s.submit(0, 20_000)
		for range 500 {
			if len(platform.sent()) > 0 {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if len(platform.sent()) == 0 {
			t.Fatal("nothing was started")
		}
		sentAt := time.Now()
		time.Sleep(20 * time.Millisecond)
		s.entries[0].Drain(t.Context())
		t.Logf("released %v after %d starts", time.Since(sentAt), len(platform.sent()))
		time.Sleep(8 * time.Second)
		for _, w := range s.cell.Workers() {
			runs, _ := w.Runs(time.Now())
			for i := range runs {
				if platform.sentTo(runs[i].Task, runs[i].Run, runs[i].Worker) {
					continue // the same start again, which the worker has once however often it gets it
				}
				t.Errorf("%v: %v: it starts %v after an unanswered start, which may be executed until 12 s", runs[i].Task, &runs[i], runs[i].StartedAt.Sub(sentAt))
			}
		}
	})
}
