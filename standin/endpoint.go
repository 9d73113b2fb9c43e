package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"kumquatstall/requester"
	"kumquatstall/router"
)

// EndpointFaults are the faults of one endpoint. The zero value has none.
type EndpointFaults struct {
	// SlowFactor multiplies the time of each call; 0 means 1.
	SlowFactor float64
	// FailEvery answers every n-th call with a server error.
	FailEvery int64
	// CutEvery breaks off every n-th answer half-way.
	CutEvery int64
	// CrossEvery answers every n-th call with another call's RequestID.
	CrossEvery int64
	// SilentEvery never answers every n-th call, though it runs.
	SilentEvery int64
}

// CallWork is the payload by which a caller tells the stand-in what the call
// takes.
type CallWork struct {
	WorkMicros int64
}

// Execution is one run of a call, as the endpoint saw it.
type Execution struct {
	RequestID requester.RequestID
	Endpoint  requester.HostID
	// Exclusive and Idempotent repeat what the call declared.
	Exclusive  bool
	Idempotent bool
	StartedAt  time.Time
	EndedAt    time.Time
	Failed     bool
}

// Ledger collects the executions of all endpoints.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
	overUses   int64
}

func (l *ExecutionLog) add(execution Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, execution)
}

func (l *ExecutionLog) addOverUse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overUses++
}

// Executions returns a copy of all executions that have ended.
func (l *ExecutionLog) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}

// CapacityViolations returns how often a host was given more than it can hold.
func (l *ExecutionLog) CapacityViolations() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overUses
}

// Endpoint is a stand-in for one instance of a service.
type Endpoint struct {
	server
	hostID      requester.HostID
	slots       int
	connections int
	ledger      *ExecutionLog

	mu      sync.Mutex
	faults  EndpointFaults
	running map[requester.RequestID]int
	active  int
	open    int
	count   int64
	lastID  requester.RequestID
}

// NewEndpoint starts an endpoint on loopback that reports to ledger.
func NewEndpoint(hostID requester.HostID, slots, connections int, ledger *ExecutionLog) (*Endpoint, error) {
	e := &Endpoint{hostID: hostID, slots: slots, connections: connections, ledger: ledger, running: make(map[requester.RequestID]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run", e.serveRun)
	mux.HandleFunc("GET /v1/status", e.serveStatus)
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) { serveFaults(w, r, e.SetFaults) })
	if err := e.start(mux); err != nil {
		return nil, err
	}
	e.http.ConnState = e.watchConnection
	return e, nil
}

// SetFaults replaces the faults.
func (e *Endpoint) SetFaults(faults EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

func (e *Endpoint) watchConnection(_ net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.open++
		if e.open > e.connections {
			e.ledger.addOverUse()
		}
	case http.StateClosed, http.StateHijacked:
		e.open--
	}
}

func (e *Endpoint) serveStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	status := router.EndpointStatus{Now: time.Now()}
	for id := range e.running {
		status.Running = append(status.Running, id)
	}
	e.mu.Unlock()
	encodeJSON(w, status)
}

// begin notes the start of a call and draws its faults.
func (e *Endpoint) begin(id requester.RequestID) (faults EndpointFaults, count int64, lastID requester.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[id]++
	e.active++
	e.count++
	if e.active > e.slots {
		e.ledger.addOverUse()
	}
	lastID = e.lastID
	e.lastID = id
	return e.faults, e.count, lastID
}

func (e *Endpoint) end(id requester.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	e.running[id]--
	if e.running[id] == 0 {
		delete(e.running, id)
	}
}

func (e *Endpoint) serveRun(w http.ResponseWriter, r *http.Request) {
	id := requester.RequestID(r.Header.Get(router.HeaderRequestID))
	faults, count, lastID := e.begin(id)
	defer e.end(id)
	execution := Execution{
		RequestID:  id,
		Endpoint:   e.hostID,
		Exclusive:  r.Header.Get(router.HeaderExclusive) == "true",
		Idempotent: r.Header.Get(router.HeaderIdempotent) == "true",
		StartedAt:  time.Now(),
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStandinBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	work(r, body, faults)
	execution.EndedAt = time.Now()
	execution.Failed = hits(faults.FailEvery, count)
	e.ledger.add(execution)
	e.answer(w, r, id, lastID, faults, count)
}

// work sleeps for the call's time, or until its execution deadline.
func work(r *http.Request, body []byte, faults EndpointFaults) {
	var cost CallWork
	_ = json.Unmarshal(body, &cost)
	factor := faults.SlowFactor
	if factor == 0 {
		factor = 1
	}
	pause := time.Duration(float64(cost.WorkMicros)*factor) * time.Microsecond
	deadline, err := time.Parse(time.RFC3339Nano, r.Header.Get(router.HeaderDeadline))
	if err == nil && time.Until(deadline) < pause {
		pause = time.Until(deadline)
	}
	time.Sleep(pause)
}

func (e *Endpoint) answer(w http.ResponseWriter, r *http.Request, id, lastID requester.RequestID, faults EndpointFaults, count int64) {
	body := AnswerBody(id)
	switch {
	case hits(faults.FailEvery, count):
		w.Header().Set(router.HeaderRequestID, string(id))
		http.Error(w, "stand-in failure", http.StatusInternalServerError)
	case hits(faults.SilentEvery, count):
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case hits(faults.CutEvery, count):
		w.Header().Set(router.HeaderRequestID, string(id))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case hits(faults.CrossEvery, count) && lastID != "" && lastID != id:
		w.Header().Set(router.HeaderRequestID, string(lastID))
		_, _ = w.Write(AnswerBody(lastID))
	default:
		w.Header().Set(router.HeaderRequestID, string(id))
		_, _ = w.Write(body)
	}
}

// AnswerBody is the whole answer of the stand-in to a request.
func AnswerBody(id requester.RequestID) []byte {
	return []byte("answer to " + string(id))
}

func hits(every, count int64) bool { return every > 0 && count%every == 0 }
