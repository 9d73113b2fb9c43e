//go:build review

package main

import (
	"encoding/base64"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// store is a sound stand-in of the platform's store: linearizable rows,
// transactions with conditions, a feed with its whole history. Every answer
// takes delay(), which the case sets.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
	started time.Time

	delayMS int64 // guarded by mu
}

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowKey
	Value   string `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type condition struct {
	rowKey
	Version int64 `json:"ver"`
}

func newStore() *store {
	return &store{rows: make(map[rowKey]row), changed: make(chan struct{}), started: time.Now(), delayMS: 4}
}

func (s *store) setDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayMS = delay.Milliseconds()
}

func (s *store) wait() {
	s.mu.Lock()
	delay := time.Duration(s.delayMS) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)
}

// put writes a row on behalf of the operator or of a minion.
func (s *store) put(key rowKey, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{rowKey: key, Value: base64.StdEncoding.EncodeToString(encode(value)), Version: s.version})
	s.notify()
}

// remove drops a row on behalf of a minion or of the platform.
func (s *store) remove(key rowKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{rowKey: key, Version: s.version, Deleted: true})
	s.notify()
}

func (s *store) apply(r row) {
	if r.Deleted {
		delete(s.rows, r.rowKey)
	} else {
		s.rows[r.rowKey] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/rows-tx":
		s.transact(w, r)
	case "/api/rows-get":
		s.get(w, r)
	case "/api/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() }

type rowsReply struct {
	Rows    []row `json:"rows"`
	More    bool  `json:"more_pages,omitempty"`
	Version int64 `json:"ver"`
	NowMS   int64 `json:"now_ms"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Conditions []condition `json:"expected_rev"`
		Put        []row       `json:"put"`
		Remove     []rowKey    `json:"remove"`
	}
	if !readBody(w, r, &body) {
		return
	}
	s.wait()
	s.mu.Lock()
	reply := rowsReply{Rows: []row{}, NowMS: s.now()}
	ok := true
	for _, c := range body.Conditions {
		if s.rows[c.rowKey].Version != c.Version {
			ok = false
		}
	}
	if !ok {
		for _, c := range body.Conditions {
			if current, exists := s.rows[c.rowKey]; exists {
				reply.Rows = append(reply.Rows, current)
			}
		}
		reply.Version = s.version
		s.mu.Unlock()
		writeBody(w, http.StatusPreconditionFailed, reply)
		return
	}
	s.version++
	for _, p := range body.Put {
		s.apply(row{rowKey: p.rowKey, Value: p.Value, Version: s.version})
	}
	for _, key := range body.Remove {
		if _, exists := s.rows[key]; exists {
			s.apply(row{rowKey: key, Version: s.version, Deleted: true})
		}
	}
	s.notify()
	reply.Version = s.version
	s.mu.Unlock()
	writeBody(w, http.StatusOK, reply)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.wait()
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	reply := rowsReply{Rows: []row{}, Version: s.version, NowMS: s.now()}
	for key, found := range s.rows {
		if key.Table != query.Get("table") || key.Part != query.Get("part") || key.Key < query.Get("from") {
			continue
		}
		if query.Has("target") && key.Key >= query.Get("target") {
			continue
		}
		reply.Rows = append(reply.Rows, found)
	}
	s.mu.Unlock()
	sort.Slice(reply.Rows, func(i, j int) bool { return reply.Rows[i].Key < reply.Rows[j].Key })
	if len(reply.Rows) > limit {
		reply.Rows, reply.More = reply.Rows[:limit], true
	}
	writeBody(w, http.StatusOK, reply)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	s.wait()
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		reply := rowsReply{Rows: []row{}, Version: s.version, NowMS: s.now()}
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
		for _, change := range s.history[from:] {
			if change.Table == query.Get("table") {
				reply.Rows = append(reply.Rows, change)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(reply.Rows) > 0 {
			writeBody(w, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeBody(w, http.StatusOK, reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// holder returns the entry that the row names, if the row can be read: it is
// the project's own row, so this only tells the case which process to disturb.
// That process is the one that last wrote under a condition.
func (s *store) lastConditionalWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.rows[rowKey{"states", "cell", "@owner"}]
	if !ok {
		return ""
	}
	data, err := base64.StdEncoding.DecodeString(found.Value)
	if err != nil {
		return ""
	}
	var fields []any
	if cbor.Unmarshal(data, &fields) != nil || len(fields) == 0 {
		return ""
	}
	name, _ := fields[0].(string)
	return name
}

var encMode, _ = cbor.EncOptions{}.EncMode()

func encode(value any) []byte {
	data, err := encMode.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func readBody(w http.ResponseWriter, r *http.Request, body any) bool {
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = cbor.Unmarshal(data, body)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func writeBody(w http.ResponseWriter, status int, body any) {
	data := encode(body)
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// splitTask splits a task's name, ID.K.STEP.INDEX.
func splitTask(name string) (id string, step int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0
	}
	step, _ = strconv.Atoi(parts[2])
	return parts[0], step
}

// occurrence returns K of a task's name, ID.K.STEP.INDEX.
func occurrence(name string) int64 {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return 0
	}
	number, _ := strconv.ParseInt(parts[1], 10, 64)
	return number
}
