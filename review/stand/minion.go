//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// minion is a sound stand-in of one minion: leases on its own steady clock,
// fencing tokens, numbered ends, one life after the other under one id.
type minion struct {
	world *world
	id    string
	zone  string
	rack  string

	mu       sync.Mutex
	kind     string
	capacity capacity
	listener net.Listener
	server   *http.Server
	address  string
	up       bool
	cut      bool // no packet passes between it and the system's processes
	// clockAhead is how far its time of day was ahead at its start.
	clockAhead time.Duration
	grey       bool // it fails all that it starts, soon after the start
	born       time.Time
	fence      int64
	lease      time.Time
	runs       map[string]*taskRun // by task
	ended      []endedRun
	lastEnd    int64
	barred     map[string]int64
	ending     chan struct{}
	sequence   int64
}

type capacity struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// taskRun is one run as it happened; the world's record keeps all of them.
type taskRun struct {
	Task    string
	Run     int64
	Minion  string
	Fence   int64
	Started time.Time
	Ends    time.Time // zero: lasts
	Ended   time.Time
	How     string
	Noted   bool // seen_upto has reached the end while the lease held
	need    capacity
	gang    bool
	fails   bool
}

type endedRun struct {
	_      struct{} `cbor:",toarray"`
	Number int64
	Task   string
	Run    int64
	How    string
	Saved  string
}

type runningRun struct {
	_       struct{} `cbor:",toarray"`
	Task    string
	Run     int64
	Saved   string
	Percent int64
	Load    int64
}

const holdMax = 10 * time.Second

func (m *minion) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	listener, err := net.Listen("tcp", m.addressOrFree())
	if err != nil {
		return err
	}
	m.listener, m.address = listener, listener.Addr().String()
	m.server = &http.Server{Handler: m}
	m.up, m.born = true, time.Now()
	m.fence, m.lease, m.lastEnd = 0, time.Time{}, 0
	m.runs, m.ended, m.barred = make(map[string]*taskRun), nil, make(map[string]int64)
	m.ending = make(chan struct{})
	go func(s *http.Server) { _ = s.Serve(listener) }(m.server)
	m.register()
	m.world.note("minion %s starts: kind %s, born %d", m.id, m.kind, m.bornMS())
	return nil
}

func (m *minion) addressOrFree() string {
	if m.address != "" {
		return m.address
	}
	return freeAddress()
}

// register writes the minion's entry. It is called with mu held.
func (m *minion) register() {
	m.sequence++
	m.world.store.put(rowKey{"servers", "", m.id}, map[string]any{
		"service": "service", "addr": m.address, "zone": m.zone, "version": "1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "sequence": m.sequence, "capacity": m.capacity, "labels": []string{m.kind, m.rack}, "born": m.bornMS(),
	})
}

// crash ends the minion and all that runs on it. Its entry goes after three
// check-in intervals of silence, unless it is back by then.
func (m *minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.advance(now)
	for _, run := range m.runs {
		run.Ended, run.How = now, "crashed"
		if run.gang {
			m.world.gangBreaks(run)
		}
	}
	m.up = false
	m.runs = make(map[string]*taskRun)
	m.ended = nil
	_ = m.server.Close()
	m.wake()
	m.world.note("minion %s crashes", m.id)
	life := m.born
	go func() {
		time.Sleep(3 * heartbeat)
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.up && m.born.Equal(life) {
			m.world.store.remove(rowKey{"servers", "", m.id})
			m.world.note("entry of minion %s is removed", m.id)
		}
	}()
}

const heartbeat = 1500 * time.Millisecond

// setCut cuts the minion off from the system's processes, or ends the cut. It
// runs on and reaches the store.
func (m *minion) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
	m.world.note("minion %s cut off: %v", m.id, cut)
}

// fail ends the run of a task as failed, if it is there.
func (m *minion) fail(task string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if run := m.runs[task]; run != nil {
		m.end(run, "failed", time.Now())
		m.world.note("%s fails on %s", task, m.id)
	}
}

// setGrey makes the minion fail all that it starts, or ends that.
func (m *minion) setGrey(grey bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.grey = grey
	m.world.note("minion %s fails all that it starts: %v", m.id, grey)
}

func (m *minion) wake() {
	close(m.ending)
	m.ending = make(chan struct{})
}

// advance ends what has ended by now. It is called with mu held.
func (m *minion) advance(now time.Time) {
	var over []*taskRun
	for _, run := range m.runs {
		over = append(over, run)
	}
	sort.Slice(over, func(i, j int) bool { return over[i].Task < over[j].Task })
	for _, run := range over {
		done := !run.Ends.IsZero() && !now.Before(run.Ends)
		lapsed := !m.lease.IsZero() && !now.Before(m.lease)
		switch {
		case done && run.fails:
			m.end(run, "failed", run.Ends)
		case done && (!lapsed || run.Ends.Before(m.lease)):
			m.end(run, "done", run.Ends)
		case lapsed:
			m.end(run, "lapsed", m.lease)
		}
	}
}

func (m *minion) end(run *taskRun, how string, at time.Time) {
	run.Ended, run.How = at, how
	m.world.note("end %d of %s: %s run %d, %s", m.lastEnd+1, m.id, run.Task, run.Run, how)
	if run.gang && how != "done" && how != "broken" {
		m.world.gangBreaks(run)
	}
	delete(m.runs, run.Task)
	m.barred[run.Task] = max(m.barred[run.Task], run.Run)
	m.lastEnd++
	m.ended = append(m.ended, endedRun{Number: m.lastEnd, Task: run.Task, Run: run.Run, How: how})
	m.wake()
}

// bornMS is the start of the minion by its own time of day.
func (m *minion) bornMS() int64 { return m.born.Add(m.clockAhead).UnixMilli() }

func (m *minion) clock(now time.Time) int64 { return now.Sub(m.born).Milliseconds() }

// renew extends the lease to a time on the minion's clock.
func (m *minion) renew(deadlineMS int64, now time.Time) {
	if deadlineMS == 0 {
		return
	}
	until := m.born.Add(time.Duration(deadlineMS) * time.Millisecond)
	if latest := now.Add(holdMax); until.After(latest) {
		until = latest
	}
	if until.After(m.lease) {
		m.lease = until
	}
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	if m.cut {
		m.mu.Unlock()
		// The packets are dropped: no answer while the caller waits.
		<-r.Context().Done()
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != m.id {
		m.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Unlock()
	switch r.URL.Path {
	case "/api/run-start":
		m.runStart(w, r)
	case "/api/run-stop":
		m.runStop(w, r)
	case "/api/hold":
		m.hold(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (m *minion) reject(w http.ResponseWriter, now time.Time, reason string) {
	writeBody(w, http.StatusConflict, map[string]any{"clock_ms": m.clock(now), "reason": reason, "born": m.bornMS()})
}

func (m *minion) runStart(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Task       string `json:"task"`
		Run        int64  `json:"run"`
		Spec       string `json:"spec"`
		DeadlineMS int64  `json:"deadline_ms"`
		Fence      int64  `json:"fence"`
	}
	if !readBody(w, r, &body) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.advance(now)
	switch current := m.runs[body.Task]; {
	case body.Fence < m.fence:
		m.reject(w, now, "fence")
		return
	case current != nil && current.Run == body.Run:
		m.fence = body.Fence
		m.renew(body.DeadlineMS, now)
	case body.Run <= m.barred[body.Task] || current != nil:
		m.fence = body.Fence
		m.renew(body.DeadlineMS, now)
		m.reject(w, now, "old")
		return
	case body.DeadlineMS != 0 && body.DeadlineMS <= m.clock(now):
		m.fence = body.Fence
		m.reject(w, now, "late")
		return
	default:
		m.fence = body.Fence
		m.renew(body.DeadlineMS, now)
		run := &taskRun{Task: body.Task, Run: body.Run, Minion: m.id, Fence: body.Fence, Started: now}
		step := m.world.step(body.Task)
		run.need = capacity{step.CPU, step.MemMB, 0}
		if m.grey {
			run.fails, run.Ends = true, now.Add(100*time.Millisecond)
		} else if step.Gang {
			run.gang = true
		} else if !step.LongRunning {
			run.Ends = now.Add(time.Duration(step.workMS) * time.Millisecond)
		}
		run.fails = run.fails || step.failShare > 0 && rand.Float64() < step.failShare
		m.runs[body.Task] = run
		m.world.started(m, run, step)
		if step.Gang {
			m.world.gangMember(m, run, step)
		}
	}
	writeBody(w, http.StatusOK, map[string]any{"clock_ms": m.clock(now), "born": m.bornMS()})
}

func (m *minion) runStop(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Task  string `json:"task"`
		Run   int64  `json:"run"`
		Fence int64  `json:"fence"`
	}
	if !readBody(w, r, &body) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.advance(now)
	if body.Fence < m.fence {
		m.reject(w, now, "fence")
		return
	}
	m.fence = body.Fence
	m.world.note("stop %s run %d on %s, fence %d", body.Task, body.Run, m.id, body.Fence)
	m.barred[body.Task] = max(m.barred[body.Task], body.Run)
	if run := m.runs[body.Task]; run != nil && run.Run <= body.Run {
		m.end(run, "stopped", now)
	}
	writeBody(w, http.StatusOK, map[string]any{"clock_ms": m.clock(now), "born": m.bornMS()})
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Fence      int64 `json:"fence"`
		SeenUpto   int64 `json:"seen_upto"`
		DeadlineMS int64 `json:"deadline_ms"`
		WaitMS     int64 `json:"wait_ms"`
	}
	if !readBody(w, r, &body) {
		return
	}
	until := time.Now().Add(time.Duration(min(body.WaitMS, 2000)) * time.Millisecond)
	m.mu.Lock()
	life := m.born
	now := time.Now()
	m.advance(now)
	if body.Fence < m.fence {
		m.reject(w, now, "fence")
		m.mu.Unlock()
		return
	}
	m.fence = body.Fence
	held := m.lease.IsZero() || now.Before(m.lease)
	for _, ended := range m.ended {
		if ended.Number <= body.SeenUpto && held {
			m.world.noted(ended.Task, ended.Run, m.id)
		}
	}
	m.ended = slices.DeleteFunc(m.ended, func(e endedRun) bool { return e.Number <= body.SeenUpto })
	m.renew(body.DeadlineMS, now)
	for len(m.ended) == 0 && now.Before(until) && m.born.Equal(life) && m.up {
		next := until
		for _, run := range m.runs {
			if !run.Ends.IsZero() && run.Ends.Before(next) {
				next = run.Ends
			}
		}
		ending := m.ending
		m.mu.Unlock()
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
		case <-ending:
		case <-r.Context().Done():
		}
		timer.Stop()
		m.mu.Lock()
		now = time.Now()
		if r.Context().Err() != nil {
			m.mu.Unlock()
			return
		}
		m.advance(now)
	}
	if !m.up || !m.born.Equal(life) {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if m.cut {
		m.mu.Unlock()
		<-r.Context().Done()
		return
	}
	reply := map[string]any{"clock_ms": m.clock(now), "born": m.bornMS()}
	running := []runningRun{}
	for _, run := range m.runs {
		entry := runningRun{Task: run.Task, Run: run.Run, Percent: 100}
		if !run.Ends.IsZero() {
			entry.Percent = min(99, 100*int64(now.Sub(run.Started))/max(1, int64(run.Ends.Sub(run.Started))))
		} else if now.Sub(run.Started) < 200*time.Millisecond {
			entry.Percent = 0
		}
		running = append(running, entry)
	}
	reply["running"] = running
	reply["ended"] = append([]endedRun{}, m.ended[:min(len(m.ended), 500)]...)
	m.mu.Unlock()
	writeBody(w, http.StatusOK, reply)
}

func (r *taskRun) String() string {
	end := "running"
	if !r.Ended.IsZero() {
		end = r.How
	}
	return fmt.Sprintf("%s run %d on %s (%s)", r.Task, r.Run, r.Minion, end)
}

func hasLabel(m *minion, label string) bool {
	return label == "" || strings.EqualFold(label, m.kind) || label == m.rack
}
