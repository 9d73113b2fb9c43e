package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// seriesRow is what has become of the starts when their owner is lost, and of the worker of the first
// of them. Of the kind "half", a gang, only that one start has no answer.
type seriesRow struct {
	start, worker string
	owners        int
	kind          string
}

// step returns the step of the row. The tasks behind a cut are at work until their lease lapses.
func (r seriesRow) step() Step {
	step := stepOf(1, 8000)
	switch r.kind {
	case "gang", "half":
		step = stepOf(2, 8000)
		step.Gang = true
	case "lasting":
		step.LongRunning = true
	}
	if r.worker == "cut" {
		step.EstimateMillis = 60_000
	}
	return step
}

// bound returns for how long the job may have nothing running after the last loss of an owner. A
// worker that answers shows what it has: LOST counts, and exempts no wait for late orders. One behind
// a cut may begin a start late and run it for the longest lease, and TWICE forbids to run the task
// beside that. For one that has left the pages say when its entry is "to be treated as gone", but
// silence removes an entry as well. So the rows ask for no more than behind a cut, from when it left.
func (r seriesRow) bound() time.Duration {
	bound := lostAfter
	if r.kind == "lasting" {
		bound = lastingLostAfter
	}
	if r.worker == "leaving" || r.worker == "cut" {
		bound += latestLateStart + longestRealRun + longestRealStop
	}
	if r.worker == "leaving" {
		bound += leavesAfter
	}
	return bound
}

// TestStartsOfOwnersLostInSeries guards against a task that waits beside free room for a start of a
// lost owner, and against one that runs twice instead.
func TestStartsOfOwnersLostInSeries(t *testing.T) {
	for _, start := range []string{"named", "sent", "answered", "late"} {
		for _, worker := range []string{"alive", "reborn", "leaving", "cut"} {
			for owners := 1; owners <= 2; owners++ {
				for _, kind := range []string{"plain", "advice", "gang", "half", "lasting"} {
					if kind == "half" && (start == "named" || start == "answered") {
						continue // no start, or each one, has an answer
					}
					row := seriesRow{start, worker, owners, kind}
					t.Run(fmt.Sprintf("%s/%s/%d/%s", start, worker, owners, kind), row.play)
				}
			}
		}
	}
}

func (r seriesRow) play(t *testing.T) {
	var advice *Advice
	if r.kind == "advice" {
		advice = &Advice{DecideMillis: 5, WorkerMillis: 0.1, ValidMillis: 1500}
	}
	c := newSeriesCell(t, 6, r.step(), advice)
	var named StartsRow
	c.must(DecodeRow(c.rows[StartsKey], &named))
	w := c.workers[named.Starts[0].Worker]
	if r.start != "named" {
		r.sendFirst(t, c, w)
	}
	sentAt := c.now
	c.loseOwner()
	c.harmWorker(w, r.worker)
	if r.owners == 2 {
		for range 10 {
			c.tick(r.start == "answered")
		}
		c.loseOwner()
	}
	c.playOn(r, w, sentAt)
	t.Logf("nothing runs for %v after the last owner was lost", c.idle)
	if c.idle > r.bound() {
		t.Errorf("LOST: nothing runs for %v after the last owner was lost, want %v at most", c.idle, r.bound())
	}
	if r.kind != "lasting" && r.worker != "cut" && c.core.jobs["j"].state != StateCompleted {
		t.Errorf("LOST: the job is %v at the end", c.core.jobs["j"].state)
	}
}

// sendFirst has the first owner send its starts.
func (r seriesRow) sendFirst(t *testing.T, c *seriesCell, w *seriesWorker) {
	unanswered := c.job.Steps[0].Count
	switch r.kind {
	case "half":
		c.silentTo, unanswered = w, 1
	default:
		if r.start == "answered" {
			unanswered = 0
		}
	}
	c.perform(c.core.Tick(c.now), r.start == "answered" || r.kind == "half")
	c.silentTo = nil
	if len(c.pending) != unanswered {
		t.Fatalf("%d starts have no answer, want %d", len(c.pending), unanswered)
	}
}

// harmWorker does to the worker what the row says, right after the first owner was lost.
func (c *seriesCell) harmWorker(w *seriesWorker, how string) {
	switch how {
	case "reborn":
		c.endLife(w)
		c.beginLife(w)
	case "leaving":
		w.info.Leaving = true
		c.listAll()
	case "cut":
		w.cut = true
	}
}

// playOn lets the last owner go on for 60 s. Where starts
// are executed late, a life that is alive ends before that, and the next one executes them.
func (c *seriesCell) playOn(r seriesRow, w *seriesWorker, sentAt time.Time) {
	for c.now.Sub(sentAt) < 60*time.Second {
		before := c.now.Sub(sentAt)
		c.tick(true)
		reaches := func(at time.Duration) bool { return before < at && c.now.Sub(sentAt) >= at }
		switch {
		case r.worker == "leaving" && reaches(leavesAfter):
			c.endLife(w)
		case r.start != "late" || r.worker == "leaving":
		case r.worker != "reborn" && reaches(11*time.Second):
			c.endLife(w)
			c.beginLife(w)
		case reaches(11800 * time.Millisecond):
			c.executeLate(w)
		}
	}
}
