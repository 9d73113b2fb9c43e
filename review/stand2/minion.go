//go:build review2

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// The site's figures for minions.
const (
	longestHold  = 10 * time.Second
	checkInEvery = 1500 * time.Millisecond
)

// run is one run of a task on a minion, kept for the record after its end.
type run struct {
	task      string
	number    int64
	minion    string
	startedAt time.Time
	endsAt    time.Time
	endedAt   time.Time
	how       string
	lasts     bool
	// end is the number under which the minion lists the end; noted is true once a
	// seen_upto has reached it, with no lapse of the minion's lease between the two.
	end   int64
	noted bool
}

func (r *run) submission() string { return r.task[:strings.IndexByte(r.task, '.')] }

// minion is one minion: it starts, stops and holds tasks as PROTOCOL.md says. The
// spec of a task says how long it takes: "work MILLISECONDS CPU", or else it lasts. One that
// ends with "advised" needs a ticket.
type minion struct {
	id, rack, address, service string
	cpu, memMB                 int64
	born                       time.Time
	store                      *store
	advice                     *adviser
	rec                        *recorder
	quiet                      bool

	mu       sync.Mutex
	fence    int64
	lease    time.Time
	lapsedAt time.Time
	running  []*run
	ended    [][]any
	lastEnd  int64
	barred   map[string]int64
	history  []*run
	changed  chan struct{}
	sequence int64
	gone     bool
	close    func()
}

func newMinion(n int, host, service string, cpu, memMB int64, st *store, advice *adviser, rec *recorder) *minion {
	m := &minion{
		id: fmt.Sprintf("i-%010x", 0xa0b1c2d300+n), rack: fmt.Sprintf("r1-%d", n/6), service: service, cpu: cpu, memMB: memMB,
		born: time.Now().Truncate(time.Millisecond), store: st, advice: advice, rec: rec, barred: make(map[string]int64), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", m.guard(m.start))
	mux.HandleFunc("POST /api/run-stop", m.guard(m.stop))
	mux.HandleFunc("POST /api/hold", m.guard(m.hold))
	m.address, m.close = serveOn(host+":0", mux)
	go m.live()
	return m
}

// live writes the check-ins and lets time pass.
func (m *minion) live() {
	next := time.Now()
	for {
		m.mu.Lock()
		gone := m.gone
		m.advance(time.Now())
		m.mu.Unlock()
		if gone {
			return
		}
		if !time.Now().Before(next) {
			next = next.Add(checkInEvery)
			m.sequence++
			m.store.put(wireKey{"servers", "", m.id}, map[string]any{
				"service": m.service, "addr": m.address, "zone": "yame", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
				"capacity": map[string]any{"cpu": m.cpu, "mem_mb": m.memMB, "gpu": 0}, "labels": []string{"a", m.rack},
				"clock_ms": m.clock(time.Now()), "sequence": m.sequence, "born": m.born.UnixMilli(),
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// vanish ends the minion for good; its entry goes after three check-in intervals.
func (m *minion) vanish() {
	m.mu.Lock()
	now := time.Now()
	m.gone = true
	for _, r := range m.running {
		r.endedAt, r.how = now, "gone with its minion"
	}
	m.running = nil
	m.mu.Unlock()
	m.close()
	time.AfterFunc(3*checkInEvery, func() { m.store.remove(wireKey{"servers", "", m.id}) })
}

func (m *minion) clock(now time.Time) int64 { return now.Sub(m.born).Milliseconds() }

// guard rejects orders for another incarnation.
func (m *minion) guard(next func(http.ResponseWriter, []byte, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != m.id {
			answer(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": m.clock(time.Now())})
			return
		}
		next(w, body, r)
	}
}

type order struct {
	Task       string `cbor:"task"`
	Run        int64  `cbor:"run"`
	Spec       string `cbor:"spec"`
	DeadlineMS int64  `cbor:"deadline_ms"`
	Fence      int64  `cbor:"fence"`
	SeenUpto   int64  `cbor:"seen_upto"`
	WaitMS     int64  `cbor:"wait_ms"`
	Ticket     string `cbor:"ticket"`
}

func (m *minion) reply(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": m.clock(time.Now())}
	if reason != "" {
		body["reason"] = reason
	}
	answer(w, status, body)
}

// extend takes over a deadline; it never shortens the lease.
func (m *minion) extend(deadlineMS int64, now time.Time) {
	until := m.born.Add(time.Duration(deadlineMS) * time.Millisecond)
	if latest := now.Add(longestHold); until.After(latest) {
		until = latest
	}
	if until.After(m.lease) {
		m.lease = until
	}
}

func (m *minion) start(w http.ResponseWriter, body []byte, _ *http.Request) {
	var o order
	if cbor.Unmarshal(body, &o) != nil {
		m.reply(w, http.StatusBadRequest, "")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	m.advance(now)
	if o.Fence < m.fence {
		m.reply(w, http.StatusConflict, "fence")
		return
	}
	m.fence = o.Fence
	for _, r := range m.running {
		if r.task == o.Task && r.number == o.Run {
			m.reply(w, http.StatusOK, "")
			return
		}
	}
	if o.Run <= m.barred[o.Task] {
		m.extend(o.DeadlineMS, now)
		m.reply(w, http.StatusConflict, "old")
		return
	}
	if o.DeadlineMS <= m.clock(now) {
		m.reply(w, http.StatusConflict, "late")
		return
	}
	if strings.HasSuffix(o.Spec, "advised") && !m.advice.holds(o.Ticket, o.Task, m.id) {
		m.reply(w, http.StatusConflict, "ticket")
		return
	}
	m.extend(o.DeadlineMS, now)
	r := &run{task: o.Task, number: o.Run, minion: m.id, startedAt: now}
	var millis, cpu int64
	if _, err := fmt.Sscanf(o.Spec, "work %d %d", &millis, &cpu); err == nil {
		r.endsAt = now.Add(time.Duration(millis) * time.Millisecond)
	} else {
		r.lasts = true
	}
	m.running = append(m.running, r)
	m.history = append(m.history, r)
	if !m.quiet {
		m.rec.note("minion %s starts %s run %d", m.id, o.Task, o.Run)
	}
	m.reply(w, http.StatusOK, "")
}

func (m *minion) stop(w http.ResponseWriter, body []byte, _ *http.Request) {
	var o order
	if cbor.Unmarshal(body, &o) != nil {
		m.reply(w, http.StatusBadRequest, "")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	m.advance(now)
	if o.Fence < m.fence {
		m.reply(w, http.StatusConflict, "fence")
		return
	}
	m.fence = o.Fence
	m.barred[o.Task] = max(m.barred[o.Task], o.Run)
	for _, r := range m.running {
		if r.task == o.Task && r.number == o.Run {
			m.rec.note("minion %s is told to stop %s run %d", m.id, o.Task, o.Run)
			m.end(r, "stopped", now)
			break
		}
	}
	m.reply(w, http.StatusOK, "")
}

func (m *minion) hold(w http.ResponseWriter, body []byte, r *http.Request) {
	var o order
	if cbor.Unmarshal(body, &o) != nil {
		m.reply(w, http.StatusBadRequest, "")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	m.advance(now)
	if o.Fence < m.fence {
		m.reply(w, http.StatusConflict, "fence")
		return
	}
	m.fence = o.Fence
	m.extend(o.DeadlineMS, now)
	for _, r := range m.history {
		r.noted = r.noted || r.end > 0 && r.end <= o.SeenUpto && !m.lapsedAt.After(r.endedAt)
	}
	kept := m.ended[:0:0]
	for _, e := range m.ended {
		if e[0].(int64) > o.SeenUpto {
			kept = append(kept, e)
		}
	}
	m.ended = kept
	until := now.Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for len(m.ended) == 0 && time.Now().Before(until) && r.Context().Err() == nil && !m.gone {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
		}
		m.mu.Lock()
		m.advance(time.Now())
	}
	now = time.Now()
	running := [][]any{}
	for _, r := range m.running {
		percent := int64(100)
		if !r.lasts {
			percent = min(100, 100*now.Sub(r.startedAt).Milliseconds()/max(1, r.endsAt.Sub(r.startedAt).Milliseconds()))
		}
		running = append(running, []any{r.task, r.number, "", percent})
	}
	answer(w, http.StatusOK, map[string]any{
		"clock_ms": m.clock(now), "born": m.born.UnixMilli(), "running": running, "ended": append([][]any{}, m.ended[:min(500, len(m.ended))]...),
	})
}

// advance ends the runs whose work is done, and all of them once the lease is over.
func (m *minion) advance(now time.Time) {
	if now.After(m.lease) && !m.lease.IsZero() {
		m.lapsedAt = m.lease
	}
	for _, r := range append([]*run(nil), m.running...) {
		switch {
		case !r.lasts && !now.Before(r.endsAt) && !r.endsAt.After(m.lease):
			m.end(r, "done", r.endsAt)
		case now.After(m.lease):
			m.end(r, "lapsed", m.lease)
		}
	}
}

func (m *minion) end(r *run, how string, at time.Time) {
	r.endedAt, r.how = at, how
	kept := m.running[:0:0]
	for _, other := range m.running {
		if other != r {
			kept = append(kept, other)
		}
	}
	m.running = kept
	m.barred[r.task] = max(m.barred[r.task], r.number)
	m.lastEnd++
	r.end = m.lastEnd
	m.ended = append(m.ended, []any{m.lastEnd, r.task, r.number, how, ""})
	if !m.quiet || how != "done" {
		m.rec.note("minion %s ends %s run %d: %s", m.id, r.task, r.number, how)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// runs returns copies of all runs so far.
func (m *minion) runs() []run {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	all := make([]run, len(m.history))
	for i, r := range m.history {
		all[i] = *r
	}
	return all
}
