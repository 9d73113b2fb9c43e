package scheduler

import (
	"encoding/base64"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The largest rows fit the store, and what would grow without end is bounded.

// TestListOfManyWorkers guards against a row of leased workers, or of births, that grows
// beyond what a row may be.
func TestListOfManyWorkers(t *testing.T) {
	is := is.New(t)
	store := newRowStore(t)
	infos := rowStoreWorkers(6000)
	c := store.takeOver(1, detailsNow)
	c.Renewed(detailsNow)
	c.SetWorkers(detailsNow, infos)
	for _, w := range c.sortedWorkers {
		w.grantedTo = detailsNow
	}
	store.commit(c, detailsNow)
	births := 0
	for key, value := range store.rows {
		if IsListKey(key, BirthsKey) {
			var row BirthsRow
			is.NoErr(DecodeRow(value, &row))
			births += len(row.Births)
		}
	}
	is.Equal(births, 6000)
	next := store.takeOver(2, detailsNow)
	is.Equal(len(next.workers), 6000)

	next.now = detailsNow.Add(time.Hour) // all leases have expired
	next.SetWorkers(next.now, infos[:5])
	store.commit(next, next.now)
	is.Equal(len(store.takeOver(3, detailsNow).workers), 5) // no part of the longer list is left

	last := New(Options{Epoch: 4}, detailsNow)
	store.rows[LeasedWorkersKey+"~1"] = []byte{0xff}
	store.restoreListsBut(last, LeasedWorkersKey+"~1")
	last.AssumeUnknownLeases()
	last.now = detailsNow.Add(time.Hour)
	last.SetWorkers(last.now, infos[:5])
	store.commit(last, last.now)
	is.Equal(store.rows[LeasedWorkersKey+"~1"], nil) // nor a part that can't be decoded
}

// TestOverlappingOccurrencesFitTheirRow guards against a job with times of whose
// occurrences so many are due that their state, small for each step, exceeds a row.
func TestOverlappingOccurrencesFitTheirRow(t *testing.T) {
	is := is.New(t)
	store := newRowStore(t)
	job := jobOf("timed")
	for range 256 {
		job.Steps = append(job.Steps, stepOf(2, 1000))
	}
	job.Occurrences, job.FirstDue, job.PeriodMillis = 2000, detailsNow, 1
	c := store.takeOver(1, detailsNow, job)
	for range 2000 {
		c.Tick(detailsNow.Add(time.Minute))
	}
	j := c.jobs["timed"]
	is.True(len(j.occurrences) > 1)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.setDone(0)
			s.mayHaveUnknownRuns = true
		}
	}
	c.markDirty(j)
	store.commit(c, detailsNow)
}

// TestLargestJobFits checks that a job which is as large as any that is accepted can be
// stored, at every stage, and that one that can't be stored is refused, naming the field.
func TestLargestJobFits(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Job)
		field  string
	}{
		{"most tasks", func(j *Job) { j.Steps = []Step{stepOf(MaxStepTasks, 1000)} }, ""},
		{"most steps and tasks", func(j *Job) {
			j.Steps = nil
			for range MaxSteps {
				j.Steps = append(j.Steps, stepOf(MaxStepTasks/MaxSteps, 1000))
			}
		}, ""},
		{"each step after all before", func(j *Job) {
			j.Steps = nil
			for number := range MaxSteps {
				s := stepOf(1, 1000)
				for earlier := range number {
					s.After = append(s.After, earlier)
				}
				j.Steps = append(j.Steps, s)
			}
		}, ""},
		{"long repeated labels", func(j *Job) {
			j.Steps = nil
			for range MaxSteps {
				s := stepOf(1, 1000)
				s.RequiredLabel = strings.Repeat("a", 1000)
				j.Steps = append(j.Steps, s)
			}
		}, ""},
		{"a label beyond a row", func(j *Job) { j.Steps[1].RequiredLabel = noise(90_000) }, "Steps.1.RequiredLabel"},
		{"a rack beyond a row", func(j *Job) { j.Steps[0].DataRack = noise(90_000) }, "Steps.0.DataRack"},
		{"an image beyond a row", func(j *Job) { j.Steps[0].Image = noise(90_000) }, "Steps.0.Image"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			job := jobOf("j", stepOf(1, 1000), stepOf(1, 1000))
			test.change(&job)
			is.NoErr(job.Validate())
			field := job.CheckRows(storeRowBytes)
			if test.field != "" {
				is.True(field != nil)
				is.Equal(field.Field, test.field)
				return
			}
			is.True(field == nil)
			value := EncodeJob(job)
			is.True(base64.StdEncoding.EncodedLen(len(value)) <= storeRowBytes)
			decoded, err := DecodeJob(value)
			is.NoErr(err)
			is.Equal(decoded, job)
			store := newRowStore(t)
			c := store.takeOver(1, detailsNow, decoded)
			j := c.jobs["j"]
			for _, s := range j.occurrences[0].steps {
				s.mayHaveUnknownRuns = true
				for i, t := range s.tasks()[:len(s.tasks())-1] {
					if i%3 == 0 {
						s.setDone(i)
					} else if i%5 == 0 {
						t.checkpoint = "0123456789abcdef"
					}
				}
			}
			c.markDirty(j)
			store.commit(c, detailsNow)
			is.Equal(sameTasks(j, store.takeOver(2, detailsNow, decoded).jobs["j"]), "")
		})
	}
}

// noise returns a text of that length which can't be compressed much.
func noise(length int) string {
	text, state := make([]byte, length), uint64(1)
	for i := range text {
		state = state*6364136223846793005 + 1442695040888963407
		text[i] = byte(33 + state>>58)
	}
	return string(text)
}

// TestOddCompressedJob checks that the row of a job that can't be decompressed, or only to
// far more than a job takes, is refused.
func TestOddCompressedJob(t *testing.T) {
	is := is.New(t)
	bomb := jobOf("j", stepOf(1, 1000))
	bomb.Payload = strings.Repeat("a", 2*maxJobBytes)
	value := EncodeJob(bomb)
	is.True(len(value) < 100_000)
	for _, odd := range [][]byte{value, {0x43, 1, 2, 3}, {0x5f}, EncodeRow([]byte{})} {
		_, err := DecodeJob(odd)
		is.True(err != nil)
	}
}

// TestLongCheckpoint checks that a checkpoint which is too long for the rows of its job is
// not used, and that the one before it stays.
func TestLongCheckpoint(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	step := stepOf(1, 1000)
	step.Checkpointing = true
	h.add("j", Policy{Stretch: 3}, step)
	h.settle()
	task := h.core.jobs["j"].occurrences[0].steps[0].tasks()[0]
	h.core.setCheckpoint(task, "short")
	h.core.setCheckpoint(task, strings.Repeat("a", maxCheckpoint+1))
	is.Equal(task.checkpoint, "short")
}

// TestLivesOfATaskAreBounded guards against the record of a task that lasts and crashes
// its workers for ever.
func TestLivesOfATaskAreBounded(t *testing.T) {
	is := is.New(t)
	task := &task{}
	for run := range 1000 {
		chance := int64(10)
		if run%2 == 0 {
			chance = certainPPM
		}
		task.appendCrash(crash{Run: RunNumber(run + 1), Worker: "w", ChancePPM: chance})
	}
	is.Equal(len(task.crashes.crashes), maxLives)
	for _, crash := range task.crashes.crashes[:maxLives-1] {
		is.Equal(crash.ChancePPM, int64(10)) // what tells something is kept
	}
}
