package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Jobs whose rows the store refuses.

// TestRefusedRowsOfOneJob guards against a store that refuses the rows of one job, for
// whatever reason: the others must be committed, and the refused ones not be sent again
// and again.
func TestRefusedRowsOfOneJob(t *testing.T) {
	is := is.New(t)
	store, now := newRowStore(t), detailsNow
	var jobs []Job
	for i := range 70 {
		jobs = append(jobs, jobOf(fmt.Sprintf("job%02d", i), stepOf(1, 1000)))
	}
	c := store.takeOver(1, now, jobs...)
	c.SetWorkers(now, rowStoreWorkers(3))
	store.refuses = func(write RowWrite) bool { return strings.Contains(write.Key, "job33") }
	committed := 0
	for range 6000 {
		now = now.Add(30 * time.Millisecond)
		c.Tick(now)
		c.markDirty(c.jobs["job05"]) // something else always changes
		batch := c.TakeBatch(storeEntries)
		if batch.Empty() {
			continue
		}
		if why := store.write(batch); why != "" {
			store.refused++
			c.Refused(now, batch, why)
			continue
		}
		c.Committed(now, batch)
		if c.jobs["job69"].committedVersion == c.jobs["job69"].version && committed == 0 {
			committed = store.calls
		}
	}
	is.True(committed > 0 && committed < 40)
	for id, j := range c.jobs {
		is.Equal(j.committedVersion > 0, id != "job33")
	}
	is.True(store.refused < 60) // in 3 min
	held := false
	for _, record := range c.TakeLogRecords() {
		held = held || record.Job == "job33" && record.Violation && strings.Contains(record.Why, "job33 is refused")
	}
	is.True(held) // the log tells which job and why
	is.True(c.Stats().JobsHeldBack > 1)
	is.Equal(c.jobs["job33"].state, StateFailed) // it is given up

	store.refuses = nil
	for range 6000 {
		now = now.Add(30 * time.Millisecond)
		c.Tick(now)
		store.commit(c, now)
	}
	is.Equal(c.jobs["job33"].committedVersion, c.jobs["job33"].version)
}

// TestRefusedJobFreesItsWorkers guards against a job whose rows the store refuses for good
// and whose ends can't be acknowledged, so that its workers keep them, with those of all
// other jobs behind, until they have no room for more. It checks as well that no more tasks
// of the job start, and that no job is given up while the store refuses all rows.
func TestRefusedJobFreesItsWorkers(t *testing.T) {
	is := is.New(t)
	store, now := newRowStore(t), detailsNow
	refusesAll := true
	store.refuses = func(write RowWrite) bool {
		return refusesAll || strings.Contains(write.Key, "progress/cell/refused") && len(write.Value) > 20
	}
	step := stepOf(400, 1000)
	step.Need.MilliCores = 1000
	c := store.takeOver(1, now, jobOf("refused", step), jobOf("other", stepOf(1, 100)))
	c.SetWorkers(now, rowStoreWorkers(1))
	var kept []EndedRun
	number, startedAfter := int64(0), 0
	advance := func(ticks int) {
		for tick := range ticks {
			now = now.Add(50 * time.Millisecond)
			if tick%100 == 0 {
				c.Add(now, jobOf(fmt.Sprintf("more%d", c.Stats().Looks), stepOf(1, 100)))
			}
			if batch := c.TakeBatch(storeEntries); !batch.Empty() {
				if why := store.write(batch); why != "" {
					c.Refused(now, batch, why)
				} else {
					c.Committed(now, batch)
				}
			}
			orders := c.Tick(now)
			for _, order := range orders.Starts {
				c.StartDone(now, order, OrderAccepted)
				number++
				kept = append(kept, EndedRun{Number: number, Task: order.Task, Run: order.Run, Kind: EndDone})
				if c.jobs["refused"].refusals > 0 && order.Task.Job == "refused" {
					startedAfter++
				}
			}
			for _, poll := range orders.Polls {
				for len(kept) > 0 && kept[0].Number <= poll.AcknowledgedEnd {
					kept = kept[1:]
				}
				c.PollDone(now, poll, &Report{Clock: WorkerTime(now.Sub(detailsNow).Milliseconds()), BootedAt: detailsNow, Ended: kept}, OrderAccepted)
			}
		}
	}
	advance(4000) // 200 s
	is.Equal(c.jobs["refused"].state, StateQueued)
	refusesAll = false
	// The start record of the job is small, so tasks start; what is stored of their ends
	// is not.
	advance(9000)
	is.True(number > 32)
	is.Equal(c.jobs["other"].state, StateCompleted)
	is.Equal(c.jobs["refused"].state, StateFailed)
	is.Equal(c.jobs["refused"].committedVersion, c.jobs["refused"].version)
	is.Equal(len(kept), 0) // all ends are acknowledged
	is.Equal(startedAfter, 0)
	is.Equal(c.Stats().Violations, int64(0))
}
