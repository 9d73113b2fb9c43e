package stager

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kumquatstall/auditor"
	"kumquatstall/decider"
	"kumquatstall/loader"
	"kumquatstall/requester"
	"kumquatstall/standin"
	"kumquatstall/tuner"
)

// binary builds the program once for all tests of the package.
var binary = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "kumquatstall")
	if err != nil {
		return "", err
	}
	path := filepath.Join(directory, "kumquatstall")
	output, err := exec.Command("go", "build", "-o", path, "../cmd/kumquatstall").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, output)
	}
	return path, nil
})

// TestMain removes the program that tests may have built.
func TestMain(m *testing.M) {
	status := m.Run()
	if path, err := binary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(status)
}

// process is an entry as a process of its own; others reach it and it
// reaches the table through proxies.
type process struct {
	id      requester.EntryID
	address netip.AddrPort
	command *exec.Cmd
	link    *standin.Proxy
	table   *standin.Proxy
	config  string
	exited  chan struct{}
}

// stage is a deployment of processes.
type stage struct {
	t         *testing.T
	ctx       context.Context
	parts     *Deployment
	processes []*process
	balancer  *standin.Balancer
	proxies   []*standin.Proxy
	audit     *auditor.Auditor
	load      *loader.Loader
	loaded    chan struct{}
	stopLoad  context.CancelFunc
}

const stageEntries = 4

// newStage starts stand-ins in this process and four entries, two in each
// data centre, in processes of their own.
func newStage(t *testing.T) *stage {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	t.Cleanup(cancel)
	plan := smallPlan()
	for i := range plan.Sites {
		plan.Sites[i].Entries = 0
	}
	parts := &Deployment{Plan: plan, Ledger: &standin.Ledger{}, log: zerolog.New(io.Discard)}
	s := &stage{t: t, ctx: ctx, parts: parts, audit: auditor.New()}
	t.Cleanup(s.close)
	s.must(parts.start())
	var addresses []netip.AddrPort
	for i := range stageEntries {
		site := plan.Sites[i%len(plan.Sites)].Name
		p := s.prepare(site, requester.EntryID(fmt.Sprintf("%s-entry-%d", site, i)))
		s.launch(p)
		addresses = append(addresses, p.address)
	}
	var err error
	s.balancer, err = standin.NewBalancer(addresses)
	s.must(err)
	s.await("all seats held and all entries linked", s.whole)
	return s
}

func (s *stage) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *stage) close() {
	if s.stopLoad != nil {
		s.stopLoad()
		<-s.loaded
	}
	for _, p := range s.processes {
		if p.command != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
	if s.balancer != nil {
		s.balancer.Close()
	}
	for _, proxy := range s.proxies {
		proxy.Close()
	}
	s.parts.Close()
}

func (s *stage) proxy(target netip.AddrPort) *standin.Proxy {
	proxy, err := standin.NewProxy(target)
	s.must(err)
	s.proxies = append(s.proxies, proxy)
	return proxy
}

// freeAddress returns a loopback address that was free a moment ago.
func (s *stage) freeAddress() netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// prepare writes the settings of an entry.
func (s *stage) prepare(site requester.DataCentre, id requester.EntryID) *process {
	p := &process{id: id, address: s.freeAddress()}
	p.link = s.proxy(p.address)
	p.table = s.proxy(s.parts.Table.Address())
	settings := s.parts.Settings(site, id)
	settings.Listen = p.address
	settings.Advertise = p.link.Address()
	settings.Platform.Table = p.table.Address()
	settings.Log.Level = "error"
	data, err := yaml.Marshal(settings)
	s.must(err)
	p.config = filepath.Join(s.t.TempDir(), string(id)+".yaml")
	s.must(os.WriteFile(p.config, data, 0o600))
	s.processes = append(s.processes, p)
	return p
}

// launch starts an entry's process.
func (s *stage) launch(p *process) {
	path, err := binary()
	s.must(err)
	p.command = exec.Command(path, "entry", "--config", p.config)
	p.command.Stderr = os.Stderr
	s.must(p.command.Start())
	p.exited = make(chan struct{})
	go func() {
		defer close(p.exited)
		_ = p.command.Wait()
	}()
}

func (s *stage) signal(p *process, signal syscall.Signal) { s.must(p.command.Process.Signal(signal)) }

// kill ends an entry's process at once.
func (s *stage) kill(p *process) {
	s.signal(p, syscall.SIGKILL)
	<-p.exited
	p.command = nil
}

// view asks an entry what it knows; nil where it does not answer.
func (s *stage) view(p *process) *decider.View {
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	var view decider.View
	if s.fetch(ctx, http.MethodGet, "http://"+p.address.String()+"/v1/status", nil, &view) != http.StatusOK {
		return nil
	}
	return &view
}

// fetch sends a request and decodes the answer; 0 where there is none.
func (s *stage) fetch(ctx context.Context, method, url string, body, answer any) int {
	data, err := json.Marshal(body)
	s.must(err)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	s.must(err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if json.NewDecoder(response.Body).Decode(answer) != nil {
		return 0
	}
	return response.StatusCode
}

// await polls until a condition holds.
func (s *stage) await(what string, holds func() bool) {
	s.t.Helper()
	if err := s.parts.Await(s.ctx, what, holds); err != nil {
		for _, p := range s.processes {
			s.t.Logf("%s: %+v", p.id, s.view(p))
		}
		s.t.Fatal(err)
	}
}

// seats counts the seats that the running entries hold.
func (s *stage) seats() int {
	held := 0
	for _, p := range s.processes {
		if p.command == nil {
			continue
		}
		if view := s.view(p); view != nil {
			held += len(view.Seats)
		}
	}
	return held
}

func (s *stage) allSeats() int { return len(s.parts.Plan.Sites) * s.parts.Plan.Seats }

// whole reports whether all seats are held and all running entries linked.
func (s *stage) whole() bool {
	running := 0
	for _, p := range s.processes {
		if p.command != nil {
			running++
		}
	}
	for _, p := range s.processes {
		if p.command == nil {
			continue
		}
		view := s.view(p)
		if view == nil || !view.Ready {
			return false
		}
		connected := 0
		for _, peer := range view.Peers {
			if peer.Connected {
				connected++
			}
		}
		if connected < running-1 {
			return false
		}
	}
	return s.seats() == s.allSeats()
}

// drive starts a load of unlocks and light calls that goes on until finish.
func (s *stage) drive() {
	ctx, cancel := context.WithCancel(s.ctx)
	s.stopLoad = cancel
	s.load = loader.New(s.balancer.Address(), s.audit, "stage")
	s.loaded = make(chan struct{})
	sites := []requester.DataCentre{"galway", "limerick"}
	workload := loader.Workload{Streams: []loader.Stream{
		{Trade: "kiosks", Service: "kiosk", Kind: "unlock", Urgency: requester.UrgencyUrgent, Exclusive: true, RatePerSecond: 40, WorkMillis: 5, DeadlineMillis: 4000, DataCentres: sites, Attempts: 3},
		{Trade: "kiosks", Service: "kiosk", Kind: "roaming", Urgency: requester.UrgencyUrgent, Exclusive: true, RatePerSecond: 20, WorkMillis: 5, DeadlineMillis: 4000, Attempts: 3},
		{Trade: "kiosks", Service: "kiosk", Kind: "rebalance", Urgency: requester.UrgencyNormal, Idempotent: true, RatePerSecond: 40, WorkMillis: 30, DeadlineMillis: 4000, Attempts: 3},
	}}
	until := time.Now().Add(2 * testTimeout)
	go func() {
		defer close(s.loaded)
		s.load.RunWithArrivalContext(ctx, s.ctx, workload, 1, until)
	}()
	s.awaitCalls(50)
}

// awaitCalls waits until so many more calls have ended.
func (s *stage) awaitCalls(count int64) {
	s.t.Helper()
	wanted := s.load.Ended.Load() + count
	s.await(fmt.Sprintf("%d more calls", count), func() bool { return s.load.Ended.Load() >= wanted })
}

// awaitAnswered waits until so many more calls were answered.
func (s *stage) awaitAnswered(count int64) {
	s.t.Helper()
	wanted := s.answered() + count
	s.await(fmt.Sprintf("%d more answers", count), func() bool { return s.answered() >= wanted })
}

func (s *stage) answered() int64 { return s.audit.Outcomes()[requester.OutcomeAnswered] }

// finish ends the load and audits it.
func (s *stage) finish() auditor.Verdict {
	s.t.Helper()
	s.stopLoad()
	<-s.loaded
	s.stopLoad = nil
	verdict := s.audit.Check(s.parts.Ledger.Executions())
	for _, finding := range verdict.Findings {
		s.t.Errorf("found: %s", finding)
	}
	if overUses := s.parts.OverUses(); overUses > 0 {
		s.t.Errorf("%d times a host was given more than it holds", overUses)
	}
	for _, p := range s.processes {
		if view := s.view(p); p.command != nil && view != nil && view.Stats.Violations > 0 {
			s.t.Errorf("%s found %d broken invariants", p.id, view.Stats.Violations)
		}
	}
	return verdict
}

func (s *stage) noLoss(verdict auditor.Verdict) {
	s.t.Helper()
	for _, class := range verdict.Classes {
		if class.Lost > 0 {
			s.t.Errorf("%d calls of kind %s were lost", class.Lost, class.Kind)
		}
	}
}

// TestProcessKilled kills an entry without warning: its seats are taken over
// and calls are served, and it comes back.
func TestProcessKilled(t *testing.T) {
	s := newStage(t)
	s.drive()
	s.kill(s.processes[0])
	s.await("seats taken over", func() bool { return s.seats() == s.allSeats() })
	s.awaitAnswered(100)
	s.launch(s.processes[0])
	s.await("whole again", s.whole)
	s.awaitAnswered(100)
	s.noLoss(s.finish())
}

// TestProcessFrozen freezes an entry for longer than its lease and lets it go
// on: it must notice that it owns nothing.
func TestProcessFrozen(t *testing.T) {
	s := newStage(t)
	s.drive()
	s.signal(s.processes[0], syscall.SIGSTOP)
	others := func() int {
		held := 0
		for _, p := range s.processes[1:] {
			if view := s.view(p); view != nil {
				held += len(view.Seats)
			}
		}
		return held
	}
	s.await("seats taken over", func() bool { return others() == s.allSeats() })
	s.awaitCalls(50)
	s.signal(s.processes[0], syscall.SIGCONT)
	s.await("whole again", s.whole)
	s.awaitAnswered(100)
	s.noLoss(s.finish())
}

// TestLinksGoSilent makes every open link go silent while new ones work.
func TestLinksGoSilent(t *testing.T) {
	s := newStage(t)
	s.drive()
	for range 2 {
		for _, p := range s.processes {
			p.link.Silence()
		}
		s.awaitCalls(20)
		s.await("whole again", s.whole)
		s.awaitAnswered(100)
	}
	s.noLoss(s.finish())
}

// TestStoreOutage takes the table away for longer than a lease: calls are
// served all the while and all seats stay held; a change is refused, then
// accepted.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	s := newStage(t)
	s.drive()
	s.parts.Table.SetFaults(standin.TableFaults{Down: true})
	s.await("seats held by promise", func() bool {
		extended := 0
		for _, p := range s.processes {
			view := s.view(p)
			if view == nil {
				return false
			}
			for _, seat := range view.Seats {
				if seat.Extended {
					extended++
				}
			}
		}
		return extended == s.allSeats()
	})
	s.awaitAnswered(300)
	is.Equal(s.seats(), s.allSeats()) // no seat was lost during the outage
	url := "http://" + s.processes[1].address.String() + "/v1/profiles/night"
	profile := tuner.DefaultProfile()
	profile.Name = "night"
	var item tuner.Item
	is.True(s.fetch(s.ctx, http.MethodPut, url, profile, &item) >= http.StatusInternalServerError) // refused
	s.parts.Table.SetFaults(standin.TableFaults{})
	s.await("change accepted", func() bool { return s.fetch(s.ctx, http.MethodPut, url, profile, &item) == http.StatusOK })
	s.await("change in force everywhere", func() bool {
		for _, p := range s.processes {
			if view := s.view(p); view == nil || view.ConfigRevision < item.Revision {
				return false
			}
		}
		return true
	})
	s.noLoss(s.finish())
}

// TestStoreOutageAndDeath kills an entry while the table is down: the others
// adopt its call seats.
func TestStoreOutageAndDeath(t *testing.T) {
	s := newStage(t)
	s.drive()
	s.parts.Table.SetFaults(standin.TableFaults{Down: true})
	s.awaitAnswered(100)
	s.kill(s.processes[0])
	// The link proxy of the dead entry must refuse as its address would.
	s.processes[0].link.Close()
	placementSeats := len(s.parts.Plan.Sites)
	s.await("call seats adopted", func() bool { return s.seats() >= s.allSeats()-placementSeats })
	s.awaitAnswered(100)
	s.parts.Table.SetFaults(standin.TableFaults{})
	s.await("all seats held", func() bool { return s.seats() == s.allSeats() })
	s.awaitAnswered(100)
	s.noLoss(s.finish())
}

// TestLostTableAnswers loses every third answer of the table after it has
// committed, while changes are made.
func TestLostTableAnswers(t *testing.T) {
	is := is.New(t)
	s := newStage(t)
	s.drive()
	s.parts.Table.SetFaults(standin.TableFaults{LoseEvery: 3})
	var last tuner.Item
	for i := range 6 {
		profile := tuner.DefaultProfile()
		profile.Name = "night"
		profile.QueueBound = 100 + i
		url := "http://" + s.processes[i%stageEntries].address.String() + "/v1/profiles/night"
		is.Equal(s.fetch(s.ctx, http.MethodPut, url, profile, &last), http.StatusOK)
	}
	s.awaitAnswered(100)
	s.parts.Table.SetFaults(standin.TableFaults{})
	s.await("last change in force everywhere", func() bool {
		for _, p := range s.processes {
			if view := s.view(p); view == nil || view.ConfigRevision != last.Revision {
				return false
			}
		}
		return true
	})
	is.Equal(last.Revision, int64(6)) // each change was accepted once
	s.noLoss(s.finish())
}

// TestGracefulShutdown stops entries one after the other under load: no call
// is cut off.
func TestGracefulShutdown(t *testing.T) {
	s := newStage(t)
	s.drive()
	for _, p := range s.processes[:2] {
		s.signal(p, syscall.SIGTERM)
		<-p.exited
		p.command = nil
		s.await("seats taken over", func() bool { return s.seats() == s.allSeats() })
		s.awaitAnswered(50)
		s.launch(p)
		s.await("whole again", s.whole)
	}
	verdict := s.finish()
	s.noLoss(verdict)
	for _, class := range verdict.Classes {
		if class.Unknown > 0 {
			t.Errorf("%d calls of kind %s were cut off", class.Unknown, class.Kind)
		}
	}
}

// TestEndpointFaults makes endpoints fail, cut, cross and swallow answers.
func TestEndpointFaults(t *testing.T) {
	s := newStage(t)
	s.drive()
	faults := []standin.EndpointFaults{{FailEvery: 5}, {CutEvery: 7}, {CrossEvery: 6}, {SilentEvery: 9}}
	for i, endpoint := range s.parts.Endpoints {
		endpoint.SetFaults(faults[i%len(faults)])
	}
	s.awaitCalls(300)
	for _, endpoint := range s.parts.Endpoints {
		endpoint.SetFaults(standin.EndpointFaults{})
	}
	s.awaitAnswered(100)
	s.noLoss(s.finish())
}
