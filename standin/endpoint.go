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

// EndpointFaults are the faults that an endpoint injects. The zero value injects
// none. Of several faults that apply to a call, the response has the first in the
// order FailEvery, SilentEvery, CutEvery, CrossEvery.
type EndpointFaults struct {
	// SlowFactor multiplies the execution time of each call; 0 means 1.
	SlowFactor float64
	// FailEvery makes every n-th call fail after its execution time, with status
	// 500.
	FailEvery int64
	// CutEvery closes the connection before every n-th response is complete. Half
	// of the body is written, but net/http discards it unsent if it fits its write
	// buffer of 2 KiB.
	CutEvery int64
	// CrossEvery sends, for every n-th call, the response to the previous call,
	// with that call's RequestID.
	CrossEvery int64
	// SilentEvery executes every n-th call but sends no response, and keeps the
	// connection open until the caller closes it.
	SilentEvery int64
}

// CallWork is the payload that sets the execution time of a call in the
// stand-in.
type CallWork struct {
	WorkMicros int64
}

// Execution is one execution of a call, as recorded by the endpoint.
type Execution struct {
	RequestID requester.RequestID
	Endpoint  requester.HostID
	// Exclusive and Idempotent are the call's declared properties.
	Exclusive  bool
	Idempotent bool
	StartedAt  time.Time
	EndedAt    time.Time
	Failed     bool
}

// ExecutionLog records the ended executions of all endpoints of a deployment, and
// counts how often an endpoint's limits were exceeded.
type ExecutionLog struct {
	mu                 sync.Mutex
	executions         []Execution
	capacityViolations int64
}

func (l *ExecutionLog) add(execution Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, execution)
}

func (l *ExecutionLog) addCapacityViolation() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacityViolations++
}

// Executions returns a copy of all executions that have ended.
func (l *ExecutionLog) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}

// CapacityViolations returns how often a call or connection arrived that exceeded
// the slots or connections of its endpoint.
func (l *ExecutionLog) CapacityViolations() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.capacityViolations
}

// Endpoint is a stand-in for one instance of a service, which executes calls. It
// does not reject calls or connections beyond its limits, but counts them as
// capacity violations.
type Endpoint struct {
	server
	hostID requester.HostID
	// slots and connections are the limits of concurrent calls and of open
	// connections.
	slots       int
	connections int
	executions  *ExecutionLog
	// boot identifies the endpoint's incarnation: its start in Unix nanoseconds.
	boot int64

	mu     sync.Mutex
	faults EndpointFaults
	// running counts the calls in progress of each request; activeCalls is their
	// sum. A call that gets no response is in progress until its connection is
	// closed.
	running         map[requester.RequestID]int
	activeCalls     int
	openConnections int
	// callCount is the number of calls received. It determines to which calls the
	// faults of every n-th call apply.
	callCount int64
	// lastID is the request of the last call received.
	lastID requester.RequestID
}

// NewEndpoint starts an endpoint on loopback that records its executions in
// executions.
func NewEndpoint(hostID requester.HostID, slots, connections int, executions *ExecutionLog) (*Endpoint, error) {
	e := &Endpoint{hostID: hostID, slots: slots, connections: connections, executions: executions, boot: time.Now().UnixNano(), running: make(map[requester.RequestID]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run", e.serveRun)
	mux.HandleFunc("GET /v1/status", e.serveStatus)
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) { serveFaults(w, r, e.SetFaults) })
	if err := e.start(mux); err != nil {
		return nil, err
	}
	e.http.ConnState = e.trackConnection
	return e, nil
}

// SetFaults replaces the injected faults.
func (e *Endpoint) SetFaults(faults EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// trackConnection counts the open connections, and each one beyond the limit as a
// capacity violation.
func (e *Endpoint) trackConnection(_ net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.openConnections++
		if e.openConnections > e.connections {
			e.executions.addCapacityViolation()
		}
	case http.StateClosed, http.StateHijacked:
		e.openConnections--
	}
}

func (e *Endpoint) serveStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	status := router.EndpointStatus{Now: time.Now(), Boot: e.boot}
	for id := range e.running {
		status.Running = append(status.Running, id)
	}
	e.mu.Unlock()
	encodeJSON(w, status)
}

// startCall records the start of a call. It returns the faults to inject, the
// number of the call and the request of the previous call.
func (e *Endpoint) startCall(id requester.RequestID) (faults EndpointFaults, count int64, lastID requester.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[id]++
	e.activeCalls++
	e.callCount++
	if e.activeCalls > e.slots {
		e.executions.addCapacityViolation()
	}
	lastID = e.lastID
	e.lastID = id
	return e.faults, e.callCount, lastID
}

// endCall records that a call of the request has been responded to or aborted.
func (e *Endpoint) endCall(id requester.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeCalls--
	e.running[id]--
	if e.running[id] == 0 {
		delete(e.running, id)
	}
}

// serveRun executes a call, unless it is meant for another incarnation: it waits for the call's execution time, records the
// execution and responds.
func (e *Endpoint) serveRun(w http.ResponseWriter, r *http.Request) {
	id := requester.RequestID(r.Header.Get(router.HeaderRequestID))
	if named := r.Header.Get(router.HeaderBoot); named != "" && named != strconv.FormatInt(e.boot, 10) {
		w.Header().Set(router.HeaderRequestID, string(id))
		w.Header().Set(router.HeaderBoot, strconv.FormatInt(e.boot, 10))
		http.Error(w, "meant for another incarnation", http.StatusMisdirectedRequest)
		return
	}
	faults, count, lastID := e.startCall(id)
	defer e.endCall(id)
	execution := Execution{
		RequestID:  id,
		Endpoint:   e.hostID,
		Exclusive:  r.Header.Get(router.HeaderExclusive) == "true",
		Idempotent: r.Header.Get(router.HeaderIdempotent) == "true",
		StartedAt:  time.Now(),
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	simulateWork(r, body, faults)
	execution.EndedAt = time.Now()
	execution.Failed = isNth(faults.FailEvery, count)
	e.executions.add(execution)
	e.respond(w, r, id, lastID, faults, count)
}

// simulateWork sleeps for the call's execution time, at most until its execution
// deadline.
func simulateWork(r *http.Request, body []byte, faults EndpointFaults) {
	var work CallWork
	_ = json.Unmarshal(body, &work)
	factor := faults.SlowFactor
	if factor == 0 {
		factor = 1
	}
	duration := time.Duration(float64(work.WorkMicros)*factor) * time.Microsecond
	deadline, err := time.Parse(time.RFC3339Nano, r.Header.Get(router.HeaderDeadline))
	if err == nil && time.Until(deadline) < duration {
		duration = time.Until(deadline)
	}
	time.Sleep(duration)
}

// respond sends the response to call number count, or injects its fault.
func (e *Endpoint) respond(w http.ResponseWriter, r *http.Request, id, lastID requester.RequestID, faults EndpointFaults, count int64) {
	body := AnswerBody(id)
	switch {
	case isNth(faults.FailEvery, count):
		w.Header().Set(router.HeaderRequestID, string(id))
		http.Error(w, "stand-in failure", http.StatusInternalServerError)
	case isNth(faults.SilentEvery, count):
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case isNth(faults.CutEvery, count):
		w.Header().Set(router.HeaderRequestID, string(id))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case isNth(faults.CrossEvery, count) && lastID != "" && lastID != id:
		w.Header().Set(router.HeaderRequestID, string(lastID))
		_, _ = w.Write(AnswerBody(lastID))
	default:
		w.Header().Set(router.HeaderRequestID, string(id))
		_, _ = w.Write(body)
	}
}

// AnswerBody returns the body of the response to a request that was executed
// without a fault.
func AnswerBody(id requester.RequestID) []byte {
	return []byte("answer to " + string(id))
}

// isNth reports whether a fault of every n-th call applies to call number count;
// 0 disables the fault.
func isNth(every, count int64) bool { return every > 0 && count%every == 0 }
