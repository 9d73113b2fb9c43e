package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// endsWorker is a worker that lists so many ends at a time.
type endsWorker struct {
	ended     []EndedRun
	forgotten int64
}

const endsPerReport = 500

func (w *endsWorker) report(clock WorkerTime, acknowledged int64) *Report {
	for len(w.ended) > 0 && w.ended[0].Number <= acknowledged {
		w.forgotten = w.ended[0].Number
		w.ended = w.ended[1:]
	}
	more := len(w.ended) >= endsPerReport
	return &Report{Clock: clock, BootedAt: detailsNow, Ended: w.ended[:min(len(w.ended), endsPerReport)], Partial: more, More: more}
}

// lostOwner returns a store in which an owner has started all tasks of a job, and the
// workers on which count of them have ended successfully since, without a further poll.
func lostOwner(t *testing.T, job Job, workers []WorkerInfo, count int) (*rowStore, []*endsWorker, time.Time) {
	store, now := newRowStore(t), detailsNow
	c := store.takeOver(1, now, job)
	c.SetWorkers(now, workers)
	var started []StartOrder
	running := make(map[requester.HostID][]RunningTask)
	for range 1000 { // a limited number of starts is under way at a time
		now = now.Add(time.Millisecond)
		store.commit(c, now)
		orders := c.Tick(now)
		for _, order := range orders.Polls {
			c.PollDone(now, order, &Report{Clock: WorkerTime(now.Sub(detailsNow).Milliseconds()), BootedAt: detailsNow, Running: running[order.Worker.HostID]}, OrderAccepted)
		}
		for _, order := range orders.Starts {
			c.StartDone(now, order, OrderAccepted)
			running[order.Worker.HostID] = append(running[order.Worker.HostID], RunningTask{Task: order.Task, Run: order.Run})
		}
		started = append(started, orders.Starts...)
	}
	if len(started) < count {
		t.Fatalf("%d tasks were started, expected %d", len(started), count)
	}
	ends := make([]*endsWorker, len(workers))
	for i, info := range workers {
		ends[i] = &endsWorker{}
		for _, order := range started[:count] {
			if order.Worker.HostID == info.HostID {
				ends[i].ended = append(ends[i].ended, EndedRun{Number: int64(len(ends[i].ended) + 1), Task: order.Task, Run: order.Run, Kind: EndDone})
			}
		}
	}
	return store, ends, now
}

// TestMoreEndsThanAReport guards against a new owner that takes a worker for known once it
// has listed some of its ends, and starts the tasks again whose ends are on the next
// pages. Several owners follow each other, some before all pages are read.
func TestMoreEndsThanAReport(t *testing.T) {
	is := is.New(t)
	const tasks = 4200
	step := stepOf(tasks, 1000)
	step.Need.MilliCores = 5
	step.Need.MemoryMB = 1
	job := jobOf("j", step)
	infos := rowStoreWorkers(2)
	store, workers, now := lostOwner(t, job, infos, tasks)
	is.True(len(workers[0].ended) > 3*endsPerReport)
	other := jobOf("other", stepOf(1, 1000))

	pages := 0
	for epoch := int64(2); epoch < 6; epoch++ {
		c := store.takeOver(epoch, now, job)
		c.SetWorkers(now, infos)
		c.Add(now, other)
		tookOver := now
		for now.Sub(tookOver) < 5*time.Second {
			now = now.Add(20 * time.Millisecond)
			store.commit(c, now)
			orders := c.Tick(now)
			for _, order := range orders.Starts {
				is.Equal(order.Task.Job, other.JobID) // every task of j is done
				c.StartDone(now, order, OrderAccepted)
			}
			for _, order := range orders.Polls {
				i := 0
				if order.Worker.HostID == infos[1].HostID {
					i = 1
				}
				pages++
				c.PollDone(now, order, workers[i].report(WorkerTime(now.Sub(detailsNow).Milliseconds()), order.AcknowledgedEnd), OrderAccepted)
			}
			if epoch < 5 && workers[0].forgotten >= (epoch-1)*endsPerReport {
				break // this owner is lost
			}
		}
		if epoch == 5 {
			is.Equal(c.jobs["j"].state, StateCompleted)
			is.Equal(len(workers[0].ended)+len(workers[1].ended), 0)
		}
	}
	is.True(pages > 10)
}

// TestTasksAfterAllEndsAreListed checks that tasks of a started step that no worker has
// ended start once all ends are listed, and that jobs of which no earlier owner can have
// started anything don't wait for that; and how soon thousands of ends are listed.
func TestTasksAfterAllEndsAreListed(t *testing.T) {
	is := is.New(t)
	step := stepOf(6000, 1000)
	step.Need.MilliCores = 5
	step.Need.MemoryMB = 1
	job := jobOf("j", step)
	infos := rowStoreWorkers(1)
	store, workers, now := lostOwner(t, job, infos, 5990)
	worker := workers[0]
	c := store.takeOver(2, now, job)
	c.SetWorkers(now, infos)
	c.Add(now, jobOf("new", stepOf(1, 1000)))
	tookOver := now
	started := make(map[TaskName]time.Duration)
	for now.Sub(tookOver) < 10*time.Second {
		now = now.Add(20 * time.Millisecond)
		store.commit(c, now)
		orders := c.Tick(now)
		for _, order := range orders.Starts {
			if _, again := started[order.Task]; again {
				t.Errorf("%v is started twice", order.Task)
			}
			started[order.Task] = now.Sub(tookOver)
			c.StartDone(now, order, OrderAccepted)
			worker.ended = append(worker.ended, EndedRun{Number: worker.forgotten + int64(len(worker.ended)) + 1, Task: order.Task, Run: order.Run, Kind: EndDone})
		}
		for _, order := range orders.Polls {
			c.PollDone(now, order, worker.report(WorkerTime(now.Sub(detailsNow).Milliseconds()), order.AcknowledgedEnd), OrderAccepted)
		}
	}
	is.Equal(len(started), 11)
	is.True(started[taskOf("new", 0)] < 200*time.Millisecond)
	for index := 5990; index < 6000; index++ {
		is.True(started[taskOf("j", index)] < 2*time.Second) // 12 pages are listed by then
	}
	is.Equal(c.jobs["j"].state, StateCompleted)
}

// TestEndsThatAreNeverListed checks that a worker whose ends are not listed any further, as
// one of them can't be acknowledged, holds up the tasks of its cell for a limited time.
func TestEndsThatAreNeverListed(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	is.NoErr(h.takeOver(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, JobRows{Job: jobOf("j", stepOf(1, 1000)), Progress: EncodeRow(progressRow{State: StateRunning, NextOccurrence: 1, Occurrences: []occurrenceProgress{{Steps: []stepProgress{{calmProgress: calmProgress{Started: true}}}}}})}))
	began, startedAfter := h.now, time.Duration(0)
	for startedAfter == 0 && h.now.Sub(began) < time.Minute {
		h.now = h.now.Add(100 * time.Millisecond)
		h.commit()
		orders := h.issue()
		for _, poll := range orders.Polls {
			h.core.PollDone(h.now, poll, &Report{
				Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt, Partial: true, More: true, Withheld: 1,
			}, OrderAccepted)
		}
		if len(orders.Starts) > 0 {
			startedAfter = h.now.Sub(began)
		}
	}
	is.True(startedAfter > 10*time.Second) // as long as a lease may have lasted
	is.True(startedAfter < 13*time.Second)
}
