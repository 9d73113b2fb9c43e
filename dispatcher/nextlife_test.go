package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"kumquatstall/dispatcher"
	"kumquatstall/scheduler"
	"kumquatstall/standin"
)

// nextLifeSeeds are the seeds of TestNextLife in CI.
const nextLifeSeeds = 4

// TestNextLife guards against a task that runs twice, as the next life of a worker carries out
// orders that were meant for its former life, and is cut off soon after. Half the times the
// owner is lost as well.
//
//	KUMQUATSTALL_SEED=100 KUMQUATSTALL_SEEDS=50 go test ./dispatcher -run TestNextLife
//
// runs the seeds 100 to 149.
func TestNextLife(t *testing.T) {
	first, count := environmentNumber("KUMQUATSTALL_SEED", 1), environmentNumber("KUMQUATSTALL_SEEDS", 1)
	if os.Getenv("KUMQUATSTALL_SEED") == "" {
		count = nextLifeSeeds
	}
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runNextLives(t, seed) })
		})
	}
}

func environmentNumber(name string, fallback uint64) uint64 {
	if number, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return number
	}
	return fallback
}

// nextLives is a site whose workers start again while orders are late.
type nextLives struct {
	*site
	random *rand.Rand
	faults []string
	// pending are the rebirths that have not ended.
	pending chan struct{}
	// losing has room for one loss of an owner at a time.
	losing chan struct{}
}

// How long TestNextLife goes on, and how long all that was late and all jobs may take then.
const (
	nextLivesTime  = 25 * time.Second
	nextLivesCalm  = 90 * time.Second
	mostRebirths   = 64
	shortRunMillis = 100
	longRunMillis  = 8000
)

func runNextLives(t *testing.T, seed uint64) {
	s := &nextLives{site: newSite(t, 2), random: rand.New(rand.NewPCG(seed, 12)), pending: make(chan struct{}, mostRebirths), losing: make(chan struct{}, 1)}
	defer s.close()
	for i, w := range s.cell.Workers() {
		if i%2 == 1 {
			w.SetClockRate(0.98)
		}
	}
	s.cell.Heartbeat = 1500 * time.Millisecond
	started := 0
	for end := time.Now().Add(nextLivesTime); time.Now().Before(end); {
		s.submitAny()
		if s.random.IntN(4) == 0 && started < mostRebirths {
			started++
			s.rebirth()
		}
		time.Sleep(time.Duration(100+s.random.IntN(500)) * time.Millisecond)
	}
	for range started {
		<-s.pending
	}
	time.Sleep(nextLivesCalm)
	s.checkCompleted()
	if t.Failed() {
		t.Log(strings.Join(s.faults, "\n"))
	}
}

// submitAny submits a short or a long job; an entry that can't store it now refuses it.
func (s *nextLives) submitAny() {
	millis := int64(shortRunMillis + s.random.IntN(900))
	if s.random.IntN(3) == 0 {
		millis = 1000 + s.random.Int64N(longRunMillis-1000)
	}
	job := s.job(millis)
	if s.entry(s.random.IntN(len(s.entries))).Submit(s.t.Context(), job) == dispatcher.OutcomeDone {
		s.jobs = append(s.jobs, job.JobID)
	}
}

// rebirth starts one or two workers again while a share of the orders to them is late, and
// then cuts them off. It does not wait for the end.
func (s *nextLives) rebirth() {
	r := s.random
	workers := s.cell.Workers()
	first := r.IntN(len(workers))
	workers = workers[first:min(len(workers), first+1+r.IntN(2))]
	share := 0.2 + 0.8*r.Float64()
	late := time.Duration(100+r.IntN(1400)) * time.Millisecond
	down := time.Duration(50+r.IntN(600)) * time.Millisecond
	reachable := time.Duration(r.IntN(2)*r.IntN(900)) * time.Millisecond
	cut := time.Duration(1000+r.IntN(9000)) * time.Millisecond
	losesOwner := r.IntN(2) == 0
	s.faults = append(s.faults, fmt.Sprintf("%s %d workers from %d on: late %.1f for %v, down %v, reachable %v, cut %v, owner lost %v", time.Now().Format("05.000"), len(workers), first, share, late, down, reachable, cut, losesOwner))
	go func() {
		defer func() { s.pending <- struct{}{} }()
		each(workers, func(w *standin.TaskWorker) { w.SetOrdersLate(share) })
		time.Sleep(late)
		each(workers, func(w *standin.TaskWorker) { w.Crash(time.Now()) })
		if losesOwner {
			s.loseOwner()
		}
		time.Sleep(down)
		each(workers, func(w *standin.TaskWorker) {
			w.SetPartitioned(reachable == 0)
			w.SetNextClock(scheduler.WorkerTime(rand.Int64N((3 * time.Hour).Milliseconds())))
			w.Restart(time.Now())
			w.SetOrdersLate(0)
		})
		time.Sleep(reachable)
		each(workers, func(w *standin.TaskWorker) { w.SetPartitioned(true) })
		time.Sleep(cut)
		each(workers, func(w *standin.TaskWorker) { w.SetPartitioned(false) })
	}()
}

// loseOwner replaces the owner, if there is one. Two rebirths may do so at the same time.
func (s *nextLives) loseOwner() {
	s.losing <- struct{}{}
	defer func() { <-s.losing }()
	if owner := s.owner(); owner >= 0 {
		s.entry(owner).Close()
		s.start(owner)
	}
}

func each(workers []*standin.TaskWorker, do func(*standin.TaskWorker)) {
	for _, w := range workers {
		do(w)
	}
}
