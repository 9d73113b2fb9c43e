package dispatcher_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kumquatstall/dispatcher"
	"kumquatstall/linker"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
	"kumquatstall/standin"
)

// linkedSite is a site in real time, whose entries link to each other through
// proxies.
type linkedSite struct {
	*site
	proxies []*standin.Proxy
	servers []*httptest.Server
	// platform returns the platform of an entry.
	platform func(i int) dispatcher.Platform
}

func newCell(adviceTime time.Duration) *standin.Cell {
	cell := standin.NewCell(7, standin.CellWorkers("service", 6, workerCapacity))
	cell.AdviceTime = adviceTime
	cell.SetConfig(&dispatcher.Config{Version: 1, Queues: []dispatcher.Queue{{Name: "queue", Host: "host", Prefix: "/queue/", Policy: policy()}}})
	return cell
}

func newLinkedSite(t *testing.T, entries int, adviceTime time.Duration) *linkedSite {
	s := &linkedSite{site: &site{t: t, cell: newCell(adviceTime)}}
	s.platform = func(i int) dispatcher.Platform { return s.cell.PlatformFor(entryName(i)) }
	s.startAll(entries)
	return s
}

// startAll starts the entries and waits for an owner with a link to each.
func (s *linkedSite) startAll(entries int) {
	for i := range entries {
		s.startLinked(i)
	}
	s.t.Cleanup(s.close)
	s.await("an owner with a link to each entry", func() bool {
		owner := s.owner()
		if owner < 0 {
			return false
		}
		for i := range s.entries {
			if i != owner && s.entries[owner].Links().Age(entryName(i)).Open == 0 {
				return false
			}
		}
		return true
	})
}

func (s *linkedSite) startLinked(i int) {
	is := is.New(s.t)
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	proxy, err := standin.NewProxy(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	is.NoErr(err)
	d := dispatcher.Start(dispatcher.Options{Self: entryName(i), DataCentre: "here", Address: proxy.Address()}, s.platform(i), nil, zerolog.New(io.Discard))
	mux.Handle(linker.Path, d.Links())
	s.entries, s.servers, s.proxies = append(s.entries, d), append(s.servers, server), append(s.proxies, proxy)
}

func (s *linkedSite) close() {
	s.site.close()
	for i := range s.proxies {
		s.proxies[i].Close()
		s.servers[i].Close()
	}
}

func (s *linkedSite) await(what string, done func() bool) {
	s.t.Helper()
	for until := time.Now().Add(10 * time.Second); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			s.t.Fatalf("not within 10 s: %s", what)
		}
	}
}

func (s *linkedSite) silenceLinks() {
	for _, proxy := range s.proxies {
		proxy.BlackholeConnections()
	}
}

// taskJob returns a job of one task.
func (s *linkedSite) taskJob(millis int64) scheduler.Job {
	job := s.job(millis)
	job.Steps = job.Steps[:1]
	job.Steps[0].Count = 1
	return job
}

// submitFor submits a job of one task each 30 ms, at the entries in turn, and
// returns when each was accepted.
func (s *linkedSite) submitFor(length time.Duration) map[requester.JobID]time.Time {
	accepted := make(map[requester.JobID]time.Time)
	ticker := time.NewTicker(30 * time.Millisecond)
	defer ticker.Stop()
	for until := time.Now().Add(length); time.Now().Before(until); <-ticker.C {
		job := s.taskJob(50)
		s.jobs = append(s.jobs, job.JobID)
		if s.entries[len(s.jobs)%len(s.entries)].Submit(context.Background(), job) == dispatcher.OutcomeDone {
			accepted[job.JobID] = time.Now()
		}
	}
	return accepted
}

// firstStarts returns when the first run of each job started.
func (s *linkedSite) firstStarts() map[requester.JobID]time.Time {
	started := make(map[requester.JobID]time.Time)
	for _, w := range s.cell.Workers() {
		runs, _ := w.Runs(time.Now())
		for _, run := range runs {
			if first, ok := started[run.Task.Job]; !ok || run.StartedAt.Before(first) {
				started[run.Task.Job] = run.StartedAt
			}
		}
	}
	return started
}

// TestJobsStartAfterLinksGoSilent guards against accepted jobs that wait for advice
// from relays behind silent links. An idle worker may leave a job waiting for 3 s.
func TestJobsStartAfterLinksGoSilent(t *testing.T) {
	// With 60 ms, one entry alone gets advice for half of the jobs.
	s := newLinkedSite(t, 8, 60*time.Millisecond)
	s.silenceLinks()
	s.checkStarts(s.submitFor(7 * time.Second))
}

// checkStarts checks that each job has started within 3 s after it was accepted.
func (s *linkedSite) checkStarts(accepted map[requester.JobID]time.Time) {
	s.t.Helper()
	is := is.New(s.t)
	is.True(len(accepted) > 100)
	time.Sleep(3 * time.Second)
	started := s.firstStarts()
	late, longest := 0, time.Duration(0)
	for id, at := range accepted {
		waited := time.Since(at)
		if first, ok := started[id]; ok {
			waited = first.Sub(at)
		}
		longest = max(longest, waited)
		if waited > 3*time.Second {
			late++
		}
	}
	s.t.Logf("the longest wait was %v", longest)
	if late > 0 {
		s.t.Errorf("%d of %d jobs had not started 3 s after they were accepted", late, len(accepted))
	}
}
