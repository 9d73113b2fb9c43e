package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// TestWideJobAfterTakeovers guards against a job of many tasks whose progress row grows,
// with each change of the owner, by something for each task that waits: the store refuses
// such a row, and the owner can't commit anything any more.
func TestWideJobAfterTakeovers(t *testing.T) {
	is := is.New(t)
	store, now := newRowStore(t), detailsNow
	wide := jobOf("wide", Step{Count: 20_000, Need: requester.Resources{MilliCores: 1000, MemoryMB: 100}, EstimateMillis: 1000, AntiAffinity: 8})
	small := jobOf("small", stepOf(2, 500))
	infos := rowStoreWorkers(16)
	c := store.takeOver(1, now, wide, small)
	for epoch := int64(1); epoch < 5; epoch++ {
		c.SetWorkers(now, infos)
		started := 0
		for range 20 {
			now = now.Add(50 * time.Millisecond)
			store.commit(c, now)
			orders := c.Tick(now)
			for _, order := range orders.Polls {
				c.PollDone(now, order, &Report{Clock: WorkerTime(now.Sub(detailsNow).Milliseconds()), BootedAt: detailsNow}, OrderAccepted)
			}
			started += len(orders.Starts)
			for _, order := range orders.Starts {
				c.StartDone(now, order, OrderAccepted)
			}
		}
		is.True(started >= 16*8+2) // each owner starts what there is room for
		is.True(c.unknownLivesRecorded)
		is.Equal(c.Stats().Violations, int64(0))
		store.commit(c, now)
		now = now.Add(time.Second)
		c = store.takeOver(epoch+1, now, wide, small)
	}
}

// burden gives every task of a job all that may be noted of one.
func burden(j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i, t := range s.tasks() {
				number := RunNumber(1<<40 + i*10)
				t.failedRuns = []RunNumber{number, number + 1}
				t.checkpoint = fmt.Sprintf("%016x", i)
				t.crashes = &crashHistory{}
				for life := range 3 {
					t.crashes.crashes = append(t.crashes.crashes, crash{Run: number + RunNumber(life), Worker: "worker-00001", AgeMillis: 1000, ChancePPM: 10_000})
				}
				t.noted = &notedStart{Run: number + 5, Worker: "worker-00002", BootedAt: detailsNow, StartedAt: detailsNow, AgeMillis: 17, ChancePPM: 99}
			}
		}
	}
}

// sameTasks reports the first difference between the details of the tasks of two owners'
// views of a job.
func sameTasks(a, b *job) string {
	for n, s := range a.occurrences[0].steps {
		for i, t := range s.tasks() {
			other := b.occurrences[0].steps[n].task(i)
			if t.done != other.done || t.done {
				if t.done != other.done {
					return fmt.Sprintf("task %d.%d is done: %v, %v", n, i, t.done, other.done)
				}
				continue
			}
			same := slices.Equal(t.failedRuns, other.failedRuns) && t.checkpoint == other.checkpoint &&
				(t.crashes == nil) == (other.crashes == nil) && (t.noted == nil) == (other.noted == nil)
			if same && t.crashes != nil {
				same = slices.Equal(t.crashes.crashes, other.crashes.crashes)
			}
			if same && t.noted != nil {
				same = t.noted.Run == other.noted.Run && t.noted.StartedAt.Equal(other.noted.StartedAt)
			}
			if !same {
				return fmt.Sprintf("task %d.%d: %+v, %+v", n, i, t, other)
			}
		}
	}
	return ""
}

// TestDetailsOfEveryTask guards against rows that don't hold what may happen to each of
// very many tasks, also after several changes of the owner, and checks that nothing of it
// is lost and nothing of it is left once the tasks are done.
func TestDetailsOfEveryTask(t *testing.T) {
	is := is.New(t)
	store := newRowStore(t)
	job := jobOf("wide", stepOf(6000, 1000), stepOf(3, 1000))
	job.MaxAttempts = 9
	c := store.takeOver(1, detailsNow, job)
	j := c.jobs["wide"]
	burden(j)
	c.markDirty(j)
	store.commit(c, detailsNow)
	is.True(len(storedDetails(store.rows, "wide")) > 20) // more than one row or two hold

	for epoch := int64(2); epoch < 5; epoch++ {
		next := store.takeOver(epoch, detailsNow, job)
		is.Equal(sameTasks(j, next.jobs["wide"]), "")
		c, j = next, next.jobs["wide"]
		for i, t := range j.occurrences[0].steps[0].tasks() {
			if i%7 == int(epoch) {
				t.failedRuns = append(t.failedRuns, RunNumber(1<<50+i))
			}
			if i%10 == int(epoch) && !t.done {
				t.step.setDone(i)
			}
		}
		c.markDirty(j)
		store.commit(c, detailsNow)
		last := EndedRun{Task: taskOf("wide", 9), Run: RunNumber(1<<50 + 9), Kind: EndFailed}
		is.True(last.impliedBy(&j.storedProgress, &j.spec))
		last.Run++
		is.True(!last.impliedBy(&j.storedProgress, &j.spec))
	}

	for _, s := range j.occurrences[0].steps {
		for i := range s.def.Count {
			if !s.taskIsDone(i) {
				s.setDone(i)
			}
		}
	}
	c.markDirty(j)
	store.commit(c, detailsNow)
	is.Equal(len(storedDetails(store.rows, "wide")), 0)
}

// TestRowsOfAJobPartlyWritten guards against an owner that is lost between the
// transactions that the rows of one job take: whatever was stored by then, no failed run
// that was stored before is missing.
func TestRowsOfAJobPartlyWritten(t *testing.T) {
	is := is.New(t)
	job := jobOf("wide", stepOf(2000, 1000))
	job.MaxAttempts = 9
	for lostAfter := range 14 {
		store := newRowStore(t)
		c := store.takeOver(1, detailsNow, job)
		j := c.jobs["wide"]
		for i := range 100 {
			j.occurrences[0].steps[0].task(i * 20).failedRuns = []RunNumber{7}
		}
		c.markDirty(j)
		store.commit(c, detailsNow)
		burden(j)
		for i := range 100 {
			t := j.occurrences[0].steps[0].task(i * 20)
			t.failedRuns = append([]RunNumber{7}, t.failedRuns...)
		}
		c.markDirty(j)
		for range lostAfter {
			if batch := c.TakeBatch(3); !batch.Empty() {
				is.Equal(store.write(batch), "")
				c.Committed(detailsNow, batch)
			}
		}
		if version := j.committedVersion; version == j.version {
			is.Equal(sameTasks(j, store.takeOver(2, detailsNow, job).jobs["wide"]), "")
		}
		next := store.takeOver(2, detailsNow, job).jobs["wide"]
		for i := range 100 {
			is.True(slices.Contains(next.occurrences[0].steps[0].task(i*20).failedRuns, 7))
		}
	}
}

// TestManyMiddlingJobs guards against a batch whose rows each fit and together exceed a
// call.
func TestManyMiddlingJobs(t *testing.T) {
	is := is.New(t)
	store := newRowStore(t)
	var jobs []Job
	for i := range 60 {
		jobs = append(jobs, jobOf(fmt.Sprintf("job%d", i), stepOf(100, 1000)))
	}
	c := store.takeOver(1, detailsNow, jobs...)
	for _, j := range c.jobs {
		burden(j)
		c.markDirty(j)
	}
	store.commit(c, detailsNow)
	next := store.takeOver(2, detailsNow, jobs...)
	for id, j := range c.jobs {
		is.Equal(sameTasks(j, next.jobs[id]), "")
	}
}

// TestLargeJobLetsOthersGoFirst guards against a job that changes all the time and takes
// several batches, so that no other job is committed, nor ever its own latest version.
func TestLargeJobLetsOthersGoFirst(t *testing.T) {
	is := is.New(t)
	store := newRowStore(t)
	jobs := []Job{jobOf("large", stepOf(20_000, 1000))}
	for i := range 6 {
		jobs = append(jobs, jobOf(fmt.Sprintf("other%d", i), stepOf(100, 1000)))
	}
	c := store.takeOver(1, detailsNow, jobs...)
	j := c.jobs["large"]
	store.commit(c, detailsNow)
	var others []*job
	for _, other := range jobs[1:] {
		burden(c.jobs[other.JobID])
		others = append(others, c.jobs[other.JobID])
	}
	waits := func() bool {
		return slices.ContainsFunc(others, func(other *job) bool { return other.committedVersion < other.version })
	}
	burden(j)
	c.markDirty(j)
	wanted, waited, longest := j.version, 0, 0
	for range 400 {
		for i := range j.occurrences[0].steps[0].tasks() {
			j.occurrences[0].steps[0].task(i).checkpoint += "x"
		}
		c.markDirty(j)
		for _, other := range others {
			c.markDirty(other)
		}
		for batches := 0; waits(); batches++ {
			is.True(batches < 3) // the others wait for one batch of the large one at most
			batch := c.TakeBatch(storeEntries)
			is.Equal(store.write(batch), "")
			c.Committed(detailsNow, batch)
			waited++
		}
		if j.committedVersion >= wanted {
			longest, waited, wanted = max(longest, waited), 0, j.version
		}
		if longest > 0 {
			break
		}
	}
	is.True(longest > 0 && longest < 100)
}
