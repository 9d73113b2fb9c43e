package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kumquatstall/dispatcher"
	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
	"kumquatstall/standin"
)

// virtualClock is a Clock of the virtual time of a synctest bubble.
type virtualClock struct{}

func (virtualClock) Now() time.Time { return time.Now() }

// site is a simulation in virtual time of entries that share one cell.
type site struct {
	t    *testing.T
	cell *standin.Cell
	jobs []requester.JobID

	// mu guards entries, as some tests replace one beside others that use it.
	mu      sync.Mutex
	entries []*dispatcher.Dispatcher
}

var workerCapacity = requester.Resources{MilliCores: 8000, MemoryMB: 16000}

func newSite(t *testing.T, entries int) *site {
	s := &site{t: t, cell: standin.NewCell(7, standin.CellWorkers("service", 6, workerCapacity))}
	s.cell.SetConfig(&dispatcher.Config{Version: 1, Queues: []dispatcher.Queue{{
		Name: "queue", Host: "host", Prefix: "/queue/", Policy: policy(),
	}}})
	for i := range entries {
		s.start(i)
	}
	time.Sleep(time.Second)
	return s
}

func policy() scheduler.Policy {
	return scheduler.Policy{
		Service: "service", MaxAttempts: 2, Stretch: 2, ObjectiveMillis: 500,
		Advice: &scheduler.Advice{DecideMillis: 4, ValidMillis: 1500},
	}
}

func entryName(i int) requester.EntryID { return requester.EntryID(fmt.Sprintf("entry-%d", i)) }

// start starts entry i. It replaces an earlier entry of that number, which has
// been closed.
func (s *site) start(i int) {
	d := dispatcher.Start(dispatcher.Options{Self: entryName(i), DataCentre: "here"}, s.cell.PlatformFor(entryName(i)), virtualClock{}, zerolog.New(io.Discard))
	s.mu.Lock()
	defer s.mu.Unlock()
	if i < len(s.entries) {
		s.entries[i] = d
	} else {
		s.entries = append(s.entries, d)
	}
}

// entry returns entry i.
func (s *site) entry(i int) *dispatcher.Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[i]
}

func (s *site) close() {
	for _, d := range s.entries {
		d.Close()
	}
}

// job returns a job of two steps: three tasks, and then a gang of two.
func (s *site) job(millis int64) scheduler.Job {
	id := requester.JobID(fmt.Sprintf("%016x", len(s.jobs)+1))
	need := requester.Resources{MilliCores: 1500, MemoryMB: 2000}
	return scheduler.Job{
		JobID: id, Queue: "queue", Policy: policy(),
		Payload: standin.RunSpec{Millis: millis}.Payload(need),
		Steps: []scheduler.Step{
			{Count: 3, Need: need, EstimateMillis: millis},
			{Count: 2, Need: need, EstimateMillis: millis, After: []int{0}, Gang: true},
		},
	}
}

// submit submits a job to an entry and records its ID if it was stored.
func (s *site) submit(entry int, millis int64) dispatcher.Outcome {
	job := s.job(millis)
	outcome := s.entries[entry].Submit(context.Background(), job)
	if outcome == dispatcher.OutcomeDone {
		s.jobs = append(s.jobs, job.JobID)
	}
	return outcome
}

// owner returns the entry that owns the cell, or -1.
func (s *site) owner() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, d := range s.entries {
		if d.Owns() {
			return i
		}
	}
	return -1
}

// checkCompleted checks that every entry reports every accepted job as
// completed, and that standin.CheckRuns finds no wrong run.
func (s *site) checkCompleted() {
	s.t.Helper()
	for _, id := range s.jobs {
		for i, d := range s.entries {
			row, outcome := d.State(context.Background(), id)
			if outcome != dispatcher.OutcomeDone || row.State != scheduler.StateCompleted {
				s.t.Errorf("entry %d reports job %s as %v (%v), want Completed (Done)", i, id, row.State, outcome)
			}
		}
	}
	for _, problem := range standin.CheckRuns(s.cell.Workers(), time.Now()) {
		s.t.Error(problem)
	}
}

// checkStopped checks that every run has been stopped or has ended.
func (s *site) checkStopped() {
	s.t.Helper()
	for _, w := range s.cell.Workers() {
		runs, _ := w.Runs(time.Now())
		for _, run := range runs {
			if run.EndedAt.IsZero() {
				s.t.Errorf("%v runs on", run.Task)
			}
		}
	}
}

func TestJobsRunToTheirEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 3)
		defer s.close()
		for i := range 30 {
			is.Equal(s.submit(i%3, 300), dispatcher.OutcomeDone)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		s.checkCompleted()
		time.Sleep(time.Minute)
		s.checkCompleted()
		is.Equal(len(s.cell.Keys(scheduler.JobTable)), 0) // rows of ended jobs are removed
		// Only the rows that are no job's are left.
		is.Equal(s.cell.Keys(scheduler.ProgressPrefix), []string{scheduler.BirthsKey, scheduler.HandoverKey, scheduler.LeasedWorkersKey})
		time.Sleep(4 * time.Minute)
		is.Equal(len(s.cell.Keys(scheduler.StatePrefix)), 1) // except for the owner's row
	})
}

// TestFaults submits jobs before and after a fault, and checks that all of them
// complete.
func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *site)
	}{
		{"owner crashes", func(s *site) {
			owner := s.owner()
			s.entries[owner].Close()
			time.Sleep(4 * time.Second)
			s.start(owner)
		}},
		{"owner drains", func(s *site) {
			owner := s.owner()
			s.entries[owner].Drain(context.Background())
			time.Sleep(time.Second)
			s.entries[owner].Close()
			s.start(owner)
		}},
		{"all entries crash", func(s *site) {
			for _, d := range s.entries {
				d.Close()
			}
			time.Sleep(time.Second)
			for i := range s.entries {
				s.start(i)
			}
			time.Sleep(2 * time.Second)
		}},
		{"store unreachable for the owner", func(s *site) {
			s.cell.SetFaults(standin.CellFaults{StoreUnreachableFrom: map[requester.EntryID]bool{entryName(s.owner()): true}})
			time.Sleep(6 * time.Second)
			s.cell.SetFaults(standin.CellFaults{})
			time.Sleep(time.Second)
		}},
		{"store unreachable for all", func(s *site) {
			s.cell.SetFaults(standin.CellFaults{StoreDown: true})
			time.Sleep(6 * time.Second)
			s.cell.SetFaults(standin.CellFaults{})
			time.Sleep(2 * time.Second)
		}},
		{"responses lost", func(s *site) {
			s.cell.SetFaults(standin.CellFaults{WriteResponseLoss: 0.3, OrderResponseLoss: 0.1})
			time.Sleep(4 * time.Second)
			s.cell.SetFaults(standin.CellFaults{})
		}},
		{"history truncated", func(s *site) {
			s.cell.SetFaults(standin.CellFaults{TruncateHistory: true})
			time.Sleep(time.Second)
		}},
		{"worker restarts", func(s *site) {
			w := s.cell.Workers()[0]
			w.Crash(time.Now())
			time.Sleep(2 * time.Second)
			w.Restart(time.Now())
		}},
		{"worker unreachable", func(s *site) {
			w := s.cell.Workers()[0]
			w.SetPartitioned(true)
			time.Sleep(5 * time.Second)
			w.SetPartitioned(false)
		}},
		{"worker unreachable, owner crashes", func(s *site) {
			w := s.cell.Workers()[0]
			w.SetPartitioned(true)
			owner := s.owner()
			s.entries[owner].Close()
			time.Sleep(16 * time.Second)
			s.start(owner)
			w.SetPartitioned(false)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 3)
				defer s.close()
				for i := range 12 {
					is.Equal(s.submit(i%3, 1500), dispatcher.OutcomeDone)
				}
				time.Sleep(700 * time.Millisecond)
				test.fault(s)
				time.Sleep(time.Second)
				for i := range 6 {
					is.Equal(s.submit(i%3, 300), dispatcher.OutcomeDone)
				}
				time.Sleep(40 * time.Second)
				s.checkCompleted()
			})
		})
	}
}

// TestLapsedList checks that workers that are missing from the list after an
// outage of the store stay in use, but not for longer than relistWindow. During
// the outage the workers' rows expire, so the list is empty until the workers
// have written them again.
func TestLapsedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 1)
		defer s.close()
		s.cell.SetFaults(standin.CellFaults{StoreDown: true})
		time.Sleep(4 * time.Second)
		s.cell.SetFaults(standin.CellFaults{WorkerRowsExpired: true})
		// The calls in flight have to time out first.
		time.Sleep(2500 * time.Millisecond)
		is.Equal(s.submit(0, 300), dispatcher.OutcomeDone)
		time.Sleep(1200 * time.Millisecond)
		row, _ := s.entries[0].State(context.Background(), s.jobs[0])
		is.Equal(row.State, scheduler.StateCompleted)
		time.Sleep(3 * time.Second)
		is.Equal(s.submit(0, 300), dispatcher.OutcomeDone)
		time.Sleep(2 * time.Second)
		row, _ = s.entries[0].State(context.Background(), s.jobs[1])
		is.Equal(row.State, scheduler.StateQueued) // the workers are still missing, so they are removed
	})
}

// TestRefusedAtOnce checks that a job is refused without delay while the store
// is unavailable. An entry that waited for the store would keep the caller from
// trying another entry.
func TestRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 1)
		defer s.close()
		is.True(s.entries[0].Ready())
		s.cell.SetFaults(standin.CellFaults{StoreDown: true})
		time.Sleep(3 * time.Second)
		is.True(!s.entries[0].Ready())
		before := time.Now()
		is.Equal(s.submit(0, 300), dispatcher.OutcomeUnavailable)
		is.Equal(time.Since(before), time.Duration(0))
	})
}

// TestResubmitted checks that submitting the same ID again, at either entry and
// also after the job has completed, is accepted and does not run the job again.
func TestResubmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 2)
		defer s.close()
		job := s.job(300)
		for range 3 {
			is.Equal(s.entries[0].Submit(context.Background(), job), dispatcher.OutcomeDone)
			is.Equal(s.entries[1].Submit(context.Background(), job), dispatcher.OutcomeDone)
			time.Sleep(time.Second)
		}
		s.jobs = append(s.jobs, job.JobID)
		s.checkCompleted()
	})
}

func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 2)
		defer s.close()
		is.Equal(s.submit(0, 60_000), dispatcher.OutcomeDone)
		time.Sleep(time.Second)
		is.Equal(s.entries[1].Cancel(context.Background(), s.jobs[0]), dispatcher.OutcomeDone)
		is.Equal(s.entries[1].Cancel(context.Background(), "00000000000000ff"), dispatcher.OutcomeNotFound)
		time.Sleep(time.Second)
		row, outcome := s.entries[0].State(context.Background(), s.jobs[0])
		is.Equal(outcome, dispatcher.OutcomeDone)
		is.Equal(row.State, scheduler.StateCancelled)
		s.checkStopped()
	})
}

func TestPending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 2)
		defer s.close()
		for _, w := range s.cell.Workers() {
			w.SetLeaving(true)
		}
		time.Sleep(time.Second)
		for range 5 {
			is.Equal(s.submit(0, 300), dispatcher.OutcomeDone)
		}
		time.Sleep(time.Second)
		is.Equal(s.entries[0].Pending("queue"), 5)
		is.Equal(s.entries[1].Pending("queue"), 5)
		is.Equal(s.entries[1].Pending("other"), 0)
	})
}

func TestConfigInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 2)
		defer s.close()
		s.cell.SetConfig(&dispatcher.Config{Version: 5})
		time.Sleep(50 * time.Millisecond)
		is.Equal(s.entries[1].Config().Version, int64(5))
		s.cell.SetConfig(&dispatcher.Config{Version: 4})
		time.Sleep(time.Second)
		is.Equal(s.entries[1].Config().Version, int64(5)) // an older version is not applied
	})
}

// TestLinksTellStrength starts two entries with links over loopback. The one
// with fewer cores acquires the cell first and transfers it to the other. The
// new owner has to use the link that was up before its session as a relay for
// advice requests: PeerUp is not called again for such a link.
func TestLinksTellStrength(t *testing.T) {
	cell := standin.NewCell(1, standin.CellWorkers("service", 3, requester.Resources{MilliCores: 8000, MemoryMB: 16000}))
	cell.SetConfig(&dispatcher.Config{Version: 1})
	start := func(id requester.EntryID, cores float64) *dispatcher.Dispatcher {
		server := httptest.NewUnstartedServer(nil)
		address := netip.MustParseAddrPort(server.Listener.Addr().String())
		d := dispatcher.Start(dispatcher.Options{Self: id, DataCentre: "here", Address: address, Cores: cores}, cell.PlatformFor(id), nil, zerolog.New(io.Discard))
		server.Config.Handler = d.Links()
		server.Start()
		t.Cleanup(func() {
			d.Close()
			server.Close()
		})
		return d
	}
	small := start("small", 0.2)
	waitUntil(t, "the small entry owns the cell", small.Owns)
	large := start("large", 0.8)
	waitUntil(t, "the large entry owns the cell", large.Owns)
	waitUntil(t, "the small entry has released the cell", func() bool { return !small.Owns() })
	before, number := cell.AdviceRequests("small"), 0
	waitUntil(t, "the small entry requests advice too", func() bool {
		number++
		large.Submit(t.Context(), scheduler.Job{
			JobID: requester.JobID(fmt.Sprintf("%016x", number)), Queue: "queue", Policy: policy(), Steps: []scheduler.Step{{Count: 1}},
		})
		return cell.AdviceRequests("small") > before
	})
}

// waitUntil polls until a condition holds. The time limit of the test ends it.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for !holds() {
		select {
		case <-t.Context().Done():
			t.Fatal(what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// TestRowOfAnEndedJob checks that a job whose row is observed again after the
// job has ended and its row was removed does not run again, neither under the
// same owner nor under a new one. Such a row may be observed because reads may
// return data that is seconds old.
func TestRowOfAnEndedJob(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %v", takeover), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 3)
				defer s.close()
				is.Equal(s.submit(0, 300), dispatcher.OutcomeDone)
				key := scheduler.JobKey(s.jobs[0])
				row := s.cell.Row(key)
				is.True(row != nil)
				time.Sleep(time.Minute)
				s.checkCompleted()
				is.True(s.cell.Row(key) == nil)

				_, err := s.cell.PlatformFor("stale").Transact(context.Background(), keeper.Transaction{Writes: []keeper.Write{{Key: key, Value: row}}})
				is.NoErr(err)
				if takeover {
					owner := s.owner()
					s.entries[owner].Close()
					time.Sleep(4 * time.Second)
					s.start(owner)
				}
				time.Sleep(20 * time.Second)
				s.checkCompleted()
				is.True(s.cell.Row(key) == nil) // the row is removed again before the job's state is
			})
		})
	}
}
