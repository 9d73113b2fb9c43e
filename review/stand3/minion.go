//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A minion of PROTOCOL.md, "Running tasks" and "Service discovery".

const (
	holdMax    = 10 * time.Second
	listedEnds = 500
	beat       = 1500 * time.Millisecond
)

type room struct{ CPU, Mem, GPU int64 }

type minion struct {
	w     *world
	id    string
	addr  string
	rack  string
	total room
	kinds []string

	mu       sync.Mutex
	born     time.Time
	down     bool
	fence    int64
	lease    time.Time
	running  map[string]*taskRun // by task
	ended    []endedRun
	lastEnd  int64
	barred   map[string]int64
	used     room
	sequence int64
	wake     chan struct{}
	draining bool
	remains  time.Duration
}

type taskRun struct {
	Task      string
	Run       int64
	Spec      string
	StartedAt time.Time
	EndsAt    time.Time // zero: it lasts
	how       string
	need      room
	percent   int
	saved     string
	timer     *time.Timer
	EndedAt   time.Time
	End       string
	Minion    string
	endNumber int64
	noted     bool // the end was taken note of
}

type endedRun struct {
	number int64
	run    *taskRun
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() }

func (m *minion) entry() map[string]any {
	m.sequence++
	state := "ready"
	e := map[string]any{
		"service": m.w.service, "addr": m.addr, "zone": "here", "version": "1", "slots": 8, "cold_left_ms": 0,
		"sequence": m.sequence, "born": m.born.UnixMilli(), "labels": append(append([]string{}, m.kinds...), m.rack),
		"capacity": map[string]any{"cpu": m.total.CPU, "mem_mb": m.total.Mem, "gpu": m.total.GPU},
	}
	if m.draining {
		state = "draining"
		e["remaining_ms"] = m.remains.Milliseconds()
	}
	e["state"] = state
	return e
}

func (m *minion) beatLoop(stop <-chan struct{}) {
	for {
		m.mu.Lock()
		if !m.down {
			m.w.store.put("servers", m.id, m.entry())
		}
		m.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(beat):
		}
	}
}

func (m *minion) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", m.handle(m.start))
	mux.HandleFunc("POST /api/run-stop", m.handle(m.stop))
	mux.HandleFunc("POST /api/pace", m.handle(m.pace))
	mux.HandleFunc("POST /api/hold", m.hold)
	go func() { _ = http.Serve(listener, mux) }()
}

type order struct {
	Task       string `cbor:"task"`
	Run        int64  `cbor:"run"`
	Spec       string `cbor:"spec"`
	Deadline   int64  `cbor:"deadline_ms"`
	Fence      int64  `cbor:"fence"`
	Checkpoint string `cbor:"checkpoint"`
	Ticket     string `cbor:"ticket"`
	SeenUpto   int64  `cbor:"seen_upto"`
	WaitMS     int64  `cbor:"wait_ms"`
	Percent    int    `cbor:"percent"`
}

func (m *minion) meant(w http.ResponseWriter, r *http.Request) bool {
	if got := r.Header.Get("X-Expect-Instance"); got != "" && got != m.id {
		answer(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": m.clock()})
		return false
	}
	return true
}

// handle serves an order; do returns the status and the reason, with the lock held.
func (m *minion) handle(do func(*order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if !m.meant(w, r) || !decodeBody(w, r, &o) {
			return
		}
		m.mu.Lock()
		status, reason := do(&o)
		body := map[string]any{"clock_ms": m.clock()}
		m.mu.Unlock()
		if reason != "" {
			body["reason"] = reason
		}
		answer(w, status, body)
	}
}

func (m *minion) extend(deadline int64) {
	until := m.born.Add(time.Duration(deadline) * time.Millisecond)
	if latest := time.Now().Add(holdMax); until.After(latest) {
		until = latest
	}
	if until.After(m.lease) {
		m.lease = until
	}
}

func (m *minion) start(o *order) (int, string) {
	if o.Fence < m.fence {
		return http.StatusConflict, "fence"
	}
	m.fence = o.Fence
	if r := m.running[o.Task]; r != nil && r.Run == o.Run {
		m.extend(o.Deadline)
		return http.StatusOK, ""
	}
	if o.Run <= m.barred[o.Task] {
		m.extend(o.Deadline)
		return http.StatusConflict, "old"
	}
	if o.Deadline <= m.clock() {
		return http.StatusConflict, "late"
	}
	m.extend(o.Deadline)
	what := m.w.taskOf(o.Task)
	run := &taskRun{Task: o.Task, Run: o.Run, Spec: o.Spec, StartedAt: time.Now(), how: "done", need: what.need, Minion: m.id, saved: o.Checkpoint}
	if r := m.running[o.Task]; r != nil {
		m.w.note("TWICE on one minion: %s run %d beside run %d on %s", o.Task, o.Run, r.Run, m.id)
		m.finish(r, "stopped")
	}
	m.running[o.Task] = run
	m.used = room{m.used.CPU + what.need.CPU, m.used.Mem + what.need.Mem, m.used.GPU + what.need.GPU}
	m.w.started(run, o, m)
	if what.fails {
		run.how = "failed"
	}
	if !what.lasts || what.fails {
		if !what.lasts {
			run.EndsAt = run.StartedAt.Add(what.takes)
		}
		run.timer = time.AfterFunc(what.takes, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.expire()
			if m.running[run.Task] == run {
				m.finish(run, run.how)
			}
		})
	}
	return http.StatusOK, ""
}

// finish ends a run. The lock is held.
func (m *minion) finish(r *taskRun, how string) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(m.running, r.Task)
	m.used = room{m.used.CPU - r.need.CPU, m.used.Mem - r.need.Mem, m.used.GPU - r.need.GPU}
	m.barred[r.Task] = max(m.barred[r.Task], r.Run)
	m.lastEnd++
	r.endNumber = m.lastEnd
	m.w.endedRun(r, how)
	m.ended = append(m.ended, endedRun{m.lastEnd, r})
	close(m.wake)
	m.wake = make(chan struct{})
}

// expire ends everything if the lease has run out. The lock is held.
func (m *minion) expire() {
	if time.Now().Before(m.lease) {
		return
	}
	for _, r := range m.running {
		m.finish(r, "lapsed")
	}
}

func (m *minion) leaseLoop(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		m.mu.Lock()
		m.expire()
		m.mu.Unlock()
	}
}

func (m *minion) stop(o *order) (int, string) {
	if o.Fence < m.fence {
		return http.StatusConflict, "fence"
	}
	m.fence = o.Fence
	m.barred[o.Task] = max(m.barred[o.Task], o.Run)
	if r := m.running[o.Task]; r != nil && r.Run == o.Run {
		m.finish(r, "stopped")
	}
	return http.StatusOK, ""
}

func (m *minion) pace(o *order) (int, string) {
	if o.Fence < m.fence {
		return http.StatusConflict, "fence"
	}
	m.fence = o.Fence
	return http.StatusOK, ""
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	var o order
	if !m.meant(w, r) || !decodeBody(w, r, &o) {
		return
	}
	m.mu.Lock()
	m.expire()
	if o.Fence < m.fence {
		body := map[string]any{"clock_ms": m.clock(), "reason": "fence"}
		m.mu.Unlock()
		answer(w, http.StatusConflict, body)
		return
	}
	m.fence = o.Fence
	if o.Deadline > 0 {
		m.extend(o.Deadline)
	}
	kept := m.ended[:0:0]
	for _, e := range m.ended {
		if e.number <= o.SeenUpto {
			m.w.noted(e.run)
		} else {
			kept = append(kept, e)
		}
	}
	m.ended = kept
	until := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for len(m.ended) == 0 && time.Now().Before(until) {
		wake := m.wake
		m.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
			return
		}
		m.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range m.running {
		running = append(running, []any{run.Task, run.Run, run.saved, run.done(), 0})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range m.ended[:min(len(m.ended), listedEnds)] {
		ended = append(ended, []any{e.number, e.run.Task, e.run.Run, e.run.End, e.run.saved})
	}
	body := map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli(), "running": running, "ended": ended}
	m.mu.Unlock()
	answer(w, http.StatusOK, body)
}

func (r *taskRun) done() int {
	if r.EndsAt.IsZero() {
		return 100
	}
	return int(min(100, 100*time.Since(r.StartedAt)/max(1, r.EndsAt.Sub(r.StartedAt))))
}

// taskParts returns the submission and the step of a task's name, ID.K.STEP.INDEX.
func taskParts(name string) (id string, step int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return name, 0
	}
	step, _ = strconv.Atoi(parts[2])
	return parts[0], step
}

func (r *taskRun) String() string {
	return fmt.Sprintf("%s run %d on %s", r.Task, r.Run, r.Minion)
}
