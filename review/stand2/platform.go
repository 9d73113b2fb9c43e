//go:build review2

package main

import (
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Limits of the platform's store, as the settings in DEPLOY.md have them.
const (
	rowBytes      = 65536
	callBytes     = 1 << 20
	callEntries   = 100
	writesPerS    = 600
	readsPerS     = 2000
	storeAnswer   = 4 * time.Millisecond
	pageRows      = 500
	longestFeedMS = 30000
)

type wireKey struct {
	Table string `cbor:"table"`
	Part  string `cbor:"part"`
	Key   string `cbor:"key"`
}

type wireRow struct {
	Table   string `cbor:"table"`
	Part    string `cbor:"part"`
	Key     string `cbor:"key"`
	Value   string `cbor:"value,omitempty"`
	Ver     int64  `cbor:"ver"`
	Deleted bool   `cbor:"deleted,omitempty"`
}

type wireCondition struct {
	Table string `cbor:"table"`
	Part  string `cbor:"part"`
	Key   string `cbor:"key"`
	Ver   int64  `cbor:"ver"`
}

type wirePut struct {
	Table string `cbor:"table"`
	Part  string `cbor:"part"`
	Key   string `cbor:"key"`
	Value string `cbor:"value"`
}

type wireTx struct {
	Expected []wireCondition `cbor:"expected_rev"`
	Put      []wirePut       `cbor:"put"`
	Remove   []wireKey       `cbor:"remove"`
}

type wireRows struct {
	Rows  []wireRow `cbor:"rows"`
	More  bool      `cbor:"more_pages"`
	Ver   int64     `cbor:"ver"`
	NowMS int64     `cbor:"now_ms"`
}

// fate is what a fault does with a write: its answer is lost, and it is done after
// the given time.
type fate struct {
	lost bool
	late time.Duration
}

// store is the platform's store: rows in memory behind HTTP, one listener for each
// entry, so that it knows who calls.
type store struct {
	mu       sync.Mutex
	rows     map[wireKey]wireRow
	ver      int64
	changed  chan struct{}
	startAt  time.Time
	second   int64
	writes   int
	reads    int
	writeAll int
	refused  map[string]int
	// decide is asked about each write of an entry; nil for no fault.
	decide func(entry string, tx *wireTx) fate
	// ownerEntry is the entry that last wrote under a condition to the part "cell".
	ownerEntry string
	rec        *recorder
}

func newStore(rec *recorder) *store {
	return &store{rows: make(map[wireKey]wireRow), changed: make(chan struct{}), startAt: time.Now(), refused: make(map[string]int), rec: rec}
}

func (s *store) nowMS() int64 { return time.Since(s.startAt).Milliseconds() }

// put writes a row of the operator or of a server.
func (s *store) put(key wireKey, value any) {
	data, err := cbor.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[key] = wireRow{Table: key.Table, Part: key.Part, Key: key.Key, Value: base64.StdEncoding.EncodeToString(data), Ver: s.ver}
	s.wake()
}

// remove removes a row of a server.
func (s *store) remove(key wireKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[key] = wireRow{Table: key.Table, Part: key.Part, Key: key.Key, Ver: s.ver, Deleted: true}
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// allowed counts a call against the rates of all entries together.
func (s *store) allowed(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.writes, s.reads = now, 0, 0
	}
	if write {
		s.writes++
		s.writeAll++
		return s.writes <= writesPerS
	}
	s.reads++
	return s.reads <= readsPerS
}

func (s *store) handler(entry string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(entry, w, r) })
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	return mux
}

func (s *store) transact(entry string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	if err != nil {
		return
	}
	if !s.allowed(true) {
		answer(w, http.StatusTooManyRequests, map[string]string{"error": "rate"})
		return
	}
	var tx wireTx
	if err := cbor.Unmarshal(body, &tx); err != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	if problem := s.tooLarge(&tx, len(body)); problem != "" {
		s.mu.Lock()
		s.refused[problem]++
		first := s.refused[problem] == 1
		s.mu.Unlock()
		if first {
			s.rec.log("store refuses a write of %s with 400: %s", entry, problem)
		}
		answer(w, http.StatusBadRequest, map[string]string{"error": problem})
		return
	}
	time.Sleep(storeAnswer)
	if s.decide != nil {
		if f := s.decide(entry, &tx); f.lost {
			time.AfterFunc(f.late, func() { s.apply(entry, &tx) })
			// A channel on which a response is lost delivers nothing further.
			<-r.Context().Done()
			return
		}
	}
	status, rows := s.apply(entry, &tx)
	answer(w, status, rows)
}

func (s *store) tooLarge(tx *wireTx, size int) string {
	if n := len(tx.Expected) + len(tx.Put) + len(tx.Remove); n > callEntries {
		return fmt.Sprintf("a call has %d entries, at most %d are allowed", n, callEntries)
	}
	if size > callBytes {
		return "a call has more than 1 MB"
	}
	for _, p := range tx.Put {
		data, err := base64.StdEncoding.DecodeString(p.Value)
		if err != nil {
			return "a value is no base64"
		}
		if len(data) > rowBytes {
			return fmt.Sprintf("the value of %s/%s/%s exceeds row_bytes (%d)", p.Table, p.Part, p.Key, rowBytes)
		}
	}
	return ""
}

func (s *store) apply(entry string, tx *wireTx) (int, wireRows) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []wireRow{}
	holds := true
	for _, c := range tx.Expected {
		row := s.rows[wireKey{c.Table, c.Part, c.Key}]
		ver := row.Ver
		if row.Deleted {
			ver = 0
		}
		if ver != c.Ver {
			holds = false
		}
		if ver != 0 {
			found = append(found, row)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, wireRows{Rows: found, Ver: s.ver, NowMS: s.nowMS()}
	}
	s.ver++
	for _, p := range tx.Put {
		s.rows[wireKey{p.Table, p.Part, p.Key}] = wireRow{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Ver: s.ver}
	}
	for _, k := range tx.Remove {
		if _, ok := s.rows[k]; ok {
			s.rows[k] = wireRow{Table: k.Table, Part: k.Part, Key: k.Key, Ver: s.ver, Deleted: true}
		}
	}
	if len(tx.Expected) > 0 && tx.Expected[0].Part == "cell" {
		s.ownerEntry = entry
	}
	s.wake()
	return http.StatusOK, wireRows{Rows: []wireRow{}, Ver: s.ver, NowMS: s.nowMS()}
}

// lastWriter returns the entry that last wrote under a condition to the part that
// only one entry writes.
func (s *store) lastWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownerEntry
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	if !s.allowed(false) {
		answer(w, http.StatusTooManyRequests, map[string]string{"error": "rate"})
		return
	}
	time.Sleep(storeAnswer)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	var rows []wireRow
	for key, row := range s.rows {
		if key.Table == q.Get("table") && key.Part == q.Get("part") && !row.Deleted && key.Key >= q.Get("from") && (!q.Has("target") || key.Key < q.Get("target")) {
			rows = append(rows, row)
		}
	}
	page := wireRows{Rows: []wireRow{}, Ver: s.ver, NowMS: s.nowMS()}
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	size := 0
	for _, row := range rows {
		size += len(row.Value) + len(row.Key) + 100
		if len(page.Rows) == limit || size > callBytes && len(page.Rows) > 0 {
			page.More = true
			break
		}
		page.Rows = append(page.Rows, row)
	}
	answer(w, http.StatusOK, page)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	if !s.allowed(false) {
		answer(w, http.StatusTooManyRequests, map[string]string{"error": "rate"})
		return
	}
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	until := time.Now().Add(time.Duration(min(wait, longestFeedMS)) * time.Millisecond)
	time.Sleep(storeAnswer)
	for {
		s.mu.Lock()
		page := wireRows{Rows: []wireRow{}, Ver: s.ver, NowMS: s.nowMS()}
		for key, row := range s.rows {
			if key.Table == q.Get("table") && row.Ver > after {
				page.Rows = append(page.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		left := time.Until(until)
		if len(page.Rows) > 0 || left <= 0 {
			sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Ver < page.Rows[j].Ver })
			answer(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := cbor.Marshal(body)
	must(err)
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// serveOn serves on a loopback address until the returned function is called.
func serveOn(address string, handler http.Handler) (string, func()) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("listen on %s: %v", address, err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }
}
