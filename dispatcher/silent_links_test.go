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
}

func newLinkedSite(t *testing.T, entries int, adviceTime time.Duration) *linkedSite {
	s := &linkedSite{site: &site{t: t, cell: standin.NewCell(7, standin.CellWorkers("service", 6, workerCapacity))}}
	s.cell.AdviceTime = adviceTime
	s.cell.SetConfig(&dispatcher.Config{Version: 1, Queues: []dispatcher.Queue{{Name: "queue", Host: "host", Prefix: "/queue/", Policy: policy()}}})
	for i := range entries {
		s.startLinked(i)
	}
	t.Cleanup(s.close)
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
	return s
}

func (s *linkedSite) startLinked(i int) {
	is := is.New(s.t)
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	proxy, err := standin.NewProxy(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	is.NoErr(err)
	d := dispatcher.Start(dispatcher.Options{Self: entryName(i), DataCentre: "here", Address: proxy.Address()}, s.cell.PlatformFor(entryName(i)), nil, zerolog.New(io.Discard))
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
	is := is.New(t)
	// With 60 ms, one entry alone gets advice for half of the jobs.
	s := newLinkedSite(t, 8, 60*time.Millisecond)
	s.silenceLinks()
	accepted := s.submitFor(7 * time.Second)
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
	if late > 0 {
		t.Errorf("%d of %d jobs had not started 3 s after they were accepted; the longest wait was %v", late, len(accepted), longest)
	}
}
