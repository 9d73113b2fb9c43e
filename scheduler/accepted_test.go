package scheduler

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// machineBytes is the memory of a machine on which an entry runs. The garbage collector lets
// a heap grow to twice what lives, so an owner may hold half of it at most.
const machineBytes = 284 << 20

// heldBytes returns what lives on the heap after do, beyond what did before.
func heldBytes(do func()) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	do()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// hopelessStep returns a step of tasks that need more than any worker has.
func hopelessStep(tasks int) Step { return stepOf(tasks, 64_000) }

// TestMemoryOfAcceptedTasks guards against an owner whose memory grows with the tasks that
// were accepted (review/11): 2.5 million tasks that wait fit, in wide jobs, in many jobs and
// as occurrences, behind an earlier step, and after each change of the owner.
func TestMemoryOfAcceptedTasks(t *testing.T) {
	tests := []struct {
		name string
		jobs int
		job  func(id string) Job
	}{
		{"wide jobs", 25, func(id string) Job { return jobOf(id, hopelessStep(MaxStepTasks)) }},
		{"many jobs", 1000, func(id string) Job { return jobOf(id, hopelessStep(MaxStepTasks/40)) }},
		{"gangs", 25, func(id string) Job {
			step := hopelessStep(MaxStepTasks)
			step.Gang = true
			return jobOf(id, step)
		}},
		{"behind an earlier step", 25, func(id string) Job {
			later := stepOf(MaxStepTasks-1, 1)
			later.After = []int{0}
			return jobOf(id, hopelessStep(1), later)
		}},
		{"occurrences", 25, func(id string) Job {
			job := jobOf(id, hopelessStep(1000))
			job.Occurrences, job.FirstDue, job.PeriodMillis = 1000, detailsNow, 1
			return job
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var jobs []Job
			for i := range test.jobs {
				jobs = append(jobs, test.job(fmt.Sprintf("%016x", i)))
			}
			store := newRowStore(t)
			now := detailsNow
			var c *Core
			for epoch := int64(1); epoch < 4; epoch++ {
				c = nil
				held := heldBytes(func() {
					c = store.takeOver(epoch, now, jobs...)
					for range 110 { // occurrences become active one by one
						now = now.Add(200 * time.Millisecond)
						c.Tick(now)
					}
				})
				store.commit(c, now)
				is.True(held < machineBytes/2) // what the owner holds, in bytes
				is.True(epoch == 1 || c.unknownLivesRecorded)
			}
			runtime.KeepAlive(c)
		})
	}
}

// TestDoneTasksAreForgotten checks that a task that is done and of which nothing goes on is
// held no more, and that one of which a start is open is.
func TestDoneTasksAreForgotten(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.add("j", Policy{MaxAttempts: 3, Stretch: 9}, stepOf(100, 300))
	s := h.core.jobs["j"].occurrences[0].steps[0]
	for range 60 {
		h.advance(100 * time.Millisecond)
		if h.core.jobs["j"].state.Ended() {
			break
		}
		known := 0
		for task := range s.knownTasks() {
			is.True(!task.done || task.run != nil || task.open != nil)
			known++
		}
		is.True(known <= s.def.Count-s.done+s.job().activeRuns)
		for _, start := range slices.Clone(h.running) {
			h.endRun(start, EndDone)
		}
	}
	is.Equal(h.core.jobs["j"].state, StateCompleted)
}

// TestTasksThatNeedNothing guards against an owner that fills its memory with runs of tasks that
// fit everywhere, as they need no resources: only so many run, and ordinary jobs run beside them.
func TestTasksThatNeedNothing(t *testing.T) {
	is := is.New(t)
	c := newWideCell(t)
	c.duration = time.Minute
	c.core.options.MaxRuns = 10_000
	for i := range 25 {
		c.add(jobOf(fmt.Sprintf("free-%d", i), Step{Count: MaxStepTasks, EstimateMillis: 1000}))
	}
	gang := Step{Count: 20_000, Gang: true, EstimateMillis: 1000}
	c.add(jobOf("gang", gang))
	c.advanceFor(3 * time.Second)
	for i := range 10 {
		at, id := c.now, requester.JobID(fmt.Sprintf("ordinary-%d", i))
		c.add(jobOf(string(id), stepOf(2, 2800)))
		c.advanceFor(100 * time.Millisecond)
		is.Equal(c.starts[id], 2)
		is.True(c.startedAt[id].Sub(at) < 100*time.Millisecond) // an ordinary job waits
	}
	is.True(c.countAll() > 8_000 && c.countAll() <= 10_000)
	is.Equal(c.starts["gang"], 0)
	is.Equal(c.core.jobs["gang"].occurrences[0].steps[0].wait.reason, WaitStarts)
}
