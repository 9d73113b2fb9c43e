package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kumquatstall/dispatcher"
	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// oddJobID is the ID of the jobs whose rows the tests spoil.
const oddJobID = requester.JobID("00000000000000ff")

// write stores rows as another writer would, without conditions.
func (s *site) write(rows map[string][]byte) {
	s.t.Helper()
	var transaction keeper.Transaction
	for key, value := range rows {
		transaction.Writes = append(transaction.Writes, keeper.Write{Key: key, Value: value})
	}
	if _, err := s.cell.PlatformFor("writer").Transact(context.Background(), transaction); err != nil {
		s.t.Fatal(err)
	}
}

// remove removes a row as another writer would.
func (s *site) remove(key string) {
	s.t.Helper()
	if _, err := s.cell.PlatformFor("writer").Transact(context.Background(), keeper.Transaction{Writes: []keeper.Write{{Key: key, Delete: true}}}); err != nil {
		s.t.Fatal(err)
	}
}

// takeOver replaces the owner by another entry.
func (s *site) takeOver() {
	owner := s.owner()
	s.entries[owner].Close()
	time.Sleep(4 * time.Second)
	s.start(owner)
	time.Sleep(2 * time.Second)
}

// oddJobs are the values of rows of jobs that can be decoded but aren't jobs that
// an entry accepts.
func oddJobs() map[string][]byte {
	step := scheduler.Step{Count: 1}
	job := func(change func(*scheduler.Job)) []byte {
		odd := scheduler.Job{JobID: oddJobID, Queue: "queue", Policy: policy(), Steps: []scheduler.Step{step, step}, AcceptedAt: time.Now()}
		change(&odd)
		return scheduler.EncodeRow(odd)
	}
	return map[string][]byte{
		"empty map":              {0xa0},
		"no steps":               job(func(j *scheduler.Job) { j.Steps = nil }),
		"negative count":         job(func(j *scheduler.Job) { j.Steps[0].Count = -1 }),
		"step after itself":      job(func(j *scheduler.Job) { j.Steps[1].After = []int{9} }),
		"step after a negative":  job(func(j *scheduler.Job) { j.Steps[1].After = []int{-1} }),
		"another job's ID":       job(func(j *scheduler.Job) { j.JobID = "00000000000000fe" }),
		"no ID":                  job(func(j *scheduler.Job) { j.JobID = "" }),
		"nested beyond decoding": nested(60_000),
		"cut off":                job(func(*scheduler.Job) {})[:20],
		"no value":               nil,
	}
}

// nested returns a CBOR value of arrays nested to the given depth.
func nested(depth int) []byte {
	value := make([]byte, depth+1)
	for i := range depth {
		value[i] = 0x81
	}
	return value
}

// TestOddJobRowEndsOwner checks that the row of a job that cannot be scheduled
// ends no process, neither when it is written nor at a takeover, and that the
// other jobs complete.
func TestOddJobRowEndsOwner(t *testing.T) {
	for name, value := range oddJobs() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 3)
				defer s.close()
				s.write(map[string][]byte{scheduler.JobKey(oddJobID): value})
				is.Equal(s.submit(0, 300), dispatcher.OutcomeDone)
				time.Sleep(2 * time.Second)
				s.takeOver()
				is.True(s.owner() >= 0)
				is.Equal(s.submit(s.owner(), 300), dispatcher.OutcomeDone)
				time.Sleep(10 * time.Second)
				s.checkCompleted()
			})
		})
	}
}

// TestOddStateRowKeepsEntryUnready checks that an entry becomes ready though the
// state of one job cannot be decoded, and that it reports the other states.
func TestOddStateRowKeepsEntryUnready(t *testing.T) {
	for name, value := range map[string][]byte{
		"not CBOR": {0xff}, "nested": nested(60_000), "another type": {0xa0}, "no such state": scheduler.EncodeRow(scheduler.StateRow{State: 77}),
		"negative state": scheduler.EncodeRow(scheduler.StateRow{State: -1}), "no value": nil,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 3)
				defer s.close()
				is.Equal(s.submit(0, 300), dispatcher.OutcomeDone)
				time.Sleep(5 * time.Second)
				s.write(map[string][]byte{scheduler.StateKey(oddJobID): value})
				s.takeOver()
				for i, d := range s.entries {
					if !d.Ready() {
						t.Errorf("entry %d isn't ready", i)
					}
				}
				is.Equal(s.submit(0, 300), dispatcher.OutcomeDone)
				time.Sleep(5 * time.Second)
				s.checkCompleted()
				for _, d := range s.entries {
					row, outcome := d.State(context.Background(), oddJobID)
					is.Equal(outcome, dispatcher.OutcomeNotFound) // an odd state names no state
					is.Equal(row, scheduler.StateRow{})
				}
			})
		})
	}
}

// TestOddJobRowShownAsQueued checks that a job whose row cannot be scheduled is not
// shown as queued.
func TestOddJobRowShownAsQueued(t *testing.T) {
	for name, value := range oddJobs() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 1)
				defer s.close()
				s.write(map[string][]byte{scheduler.JobKey(oddJobID): value})
				_, outcome := s.entries[0].State(context.Background(), oddJobID)
				is.New(t).Equal(outcome, dispatcher.OutcomeUnavailable)
				is.New(t).Equal(s.entries[0].Pending(""), 0)
				is.New(t).Equal(s.entries[0].Pending("queue"), 0)
			})
		})
	}
}
