//go:build review

package main

import (
	"encoding/base64"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The store of PROTOCOL.md, "The platform's metadata store": rows, transactions and feeds,
// with the rates, the latency and the history of the site files.
const (
	storeLatency  = 4 * time.Millisecond
	writesPerSec  = 600
	readsPerSec   = 2000
	historySecs   = 20
	maxPageOfRows = 500
)

type row struct {
	Table   string `cbor:"table"`
	Part    string `cbor:"part"`
	Key     string `cbor:"key"`
	Value   string `cbor:"value,omitempty"`
	Ver     int64  `cbor:"ver"`
	Deleted bool   `cbor:"deleted,omitempty"`
}

type rowName struct {
	Table string `cbor:"table"`
	Part  string `cbor:"part"`
	Key   string `cbor:"key"`
}

type change struct {
	row row
	at  time.Time
}

type rowsAnswer struct {
	Rows  []row `cbor:"rows"`
	More  bool  `cbor:"more_pages"`
	Ver   int64 `cbor:"ver"`
	NowMS int64 `cbor:"now_ms"`
}

type store struct {
	mu      sync.Mutex
	rows    map[rowName]row
	ver     int64
	history []change
	// trimmed is the version up to which the history is gone.
	trimmed int64
	changed chan struct{}
	writes  *rateCount
	reads   *rateCount
	// fault is asked before each call of an entry; it may answer in the store's place.
	fault func(entry string, r *http.Request, tx *txBody) storeFault
}

// storeFault is what happens to one call.
type storeFault struct {
	status   int           // answer with this status and do nothing
	silent   bool          // no answer, and nothing is done
	loseLate time.Duration // no answer, and it is done after this time
	lose     bool          // it is done at once, and the answer is lost
	delay    time.Duration
}

func newStore() *store {
	return &store{rows: make(map[rowName]row), changed: make(chan struct{}), writes: newRateCount(writesPerSec), reads: newRateCount(readsPerSec),
		fault: func(string, *http.Request, *txBody) storeFault { return storeFault{} }}
}

// rateCount allows a number of calls in each second.
type rateCount struct {
	mu     sync.Mutex
	limit  int
	second int64
	count  int
}

func newRateCount(limit int) *rateCount { return &rateCount{limit: limit} }

func (c *rateCount) allow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now().Unix(); now != c.second {
		c.second, c.count = now, 0
	}
	c.count++
	return c.count <= c.limit
}

// put writes a row as the operator or a minion does.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(encode(value)), Ver: s.ver})
	s.notify()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Ver: s.ver, Deleted: true})
	s.notify()
}

func (s *store) write(r row) {
	name := rowName{r.Table, r.Part, r.Key}
	if r.Deleted {
		if _, ok := s.rows[name]; !ok {
			return
		}
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.history = append(s.history, change{r, time.Now()})
}

func (s *store) notify() {
	old := 0
	for old < len(s.history) && time.Since(s.history[old].at) > historySecs*time.Second {
		s.trimmed = s.history[old].row.Ver
		old++
	}
	s.history = s.history[old:]
	close(s.changed)
	s.changed = make(chan struct{})
}

type txBody struct {
	Conditions []struct {
		Table string `cbor:"table"`
		Part  string `cbor:"part"`
		Key   string `cbor:"key"`
		Ver   int64  `cbor:"ver"`
	} `cbor:"expected_rev"`
	Put    []row     `cbor:"put"`
	Remove []rowName `cbor:"remove"`
}

// apply carries a transaction out; it returns the rows at its conditions if one of them
// doesn't hold.
func (s *store) apply(tx *txBody) (ver int64, ok bool, current []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, c := range tx.Conditions {
		found, exists := s.rows[rowName{c.Table, c.Part, c.Key}]
		if exists {
			current = append(current, found)
		}
		ok = ok && found.Ver == c.Ver
	}
	if !ok {
		return s.ver, false, current
	}
	s.ver++
	for _, p := range tx.Put {
		p.Ver = s.ver
		s.write(p)
	}
	for _, name := range tx.Remove {
		s.write(row{Table: name.Table, Part: name.Part, Key: name.Key, Ver: s.ver, Deleted: true})
	}
	s.notify()
	return s.ver, true, nil
}

// handler serves the store to one entry.
func (s *store) handler(entry string) http.Handler {
	mux := http.NewServeMux()
	started := time.Now()
	clock := func() int64 { return time.Since(started).Milliseconds() }
	faulty := func(w http.ResponseWriter, r *http.Request, tx *txBody) (storeFault, bool) {
		f := s.fault(entry, r, tx)
		time.Sleep(storeLatency + f.delay)
		switch {
		case f.silent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case f.status != 0:
			w.WriteHeader(f.status)
			return f, true
		}
		return f, false
	}
	mux.HandleFunc("POST /api/rows-tx", func(w http.ResponseWriter, r *http.Request) {
		var tx txBody
		if !decodeBody(w, r, &tx) {
			return
		}
		if !s.writes.allow() {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		if len(tx.Conditions)+len(tx.Put)+len(tx.Remove) > 100 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, p := range tx.Put {
			value, err := base64.StdEncoding.DecodeString(p.Value)
			if err != nil || len(value) > 65536 || p.Table == "op" || p.Table == "servers" {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		f, answered := faulty(w, r, &tx)
		if answered {
			return
		}
		if f.loseLate > 0 {
			time.AfterFunc(f.loseLate, func() { s.apply(&tx) })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		ver, ok, current := s.apply(&tx)
		if f.lose {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if !ok {
			answer(w, http.StatusPreconditionFailed, rowsAnswer{Rows: current, Ver: ver, NowMS: clock()})
			return
		}
		answer(w, http.StatusOK, rowsAnswer{Ver: ver, NowMS: clock()})
	})
	mux.HandleFunc("GET /api/rows-get", func(w http.ResponseWriter, r *http.Request) {
		if !s.reads.allow() {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		if _, answered := faulty(w, r, nil); answered {
			return
		}
		q := r.URL.Query()
		limit, err := strconv.Atoi(q.Get("limit"))
		if err != nil || limit > maxPageOfRows {
			limit = maxPageOfRows
		}
		s.mu.Lock()
		var found []row
		for name, stored := range s.rows {
			if name.Table == q.Get("table") && name.Part == q.Get("part") && name.Key >= q.Get("from") && (!q.Has("target") || name.Key < q.Get("target")) {
				found = append(found, stored)
			}
		}
		ver := s.ver
		s.mu.Unlock()
		sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
		page, size := []row{}, 0
		for _, stored := range found {
			size += len(stored.Value)
			if len(page) == limit || len(page) > 0 && size > 1_000_000 {
				break
			}
			page = append(page, stored)
		}
		answer(w, http.StatusOK, rowsAnswer{Rows: page, More: len(page) < len(found), Ver: ver, NowMS: clock()})
	})
	mux.HandleFunc("GET /api/rows-feed", func(w http.ResponseWriter, r *http.Request) {
		if !s.reads.allow() {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		if _, answered := faulty(w, r, nil); answered {
			return
		}
		q := r.URL.Query()
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
		defer timer.Stop()
		for waiting := true; ; {
			s.mu.Lock()
			if after < s.trimmed {
				s.mu.Unlock()
				w.WriteHeader(http.StatusGone)
				return
			}
			found := []row{}
			from := sort.Search(len(s.history), func(i int) bool { return s.history[i].row.Ver > after })
			for _, c := range s.history[from:] {
				if c.row.Table == q.Get("table") {
					found = append(found, c.row)
				}
			}
			ver, changed := s.ver, s.changed
			s.mu.Unlock()
			if len(found) > 0 || !waiting {
				answer(w, http.StatusOK, rowsAnswer{Rows: found, Ver: ver, NowMS: clock()})
				return
			}
			select {
			case <-changed:
			case <-timer.C:
				waiting = false
			case <-r.Context().Done():
				return
			}
		}
	})
	return mux
}
