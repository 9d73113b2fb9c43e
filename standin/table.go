// Package standin provides small stand-ins for what surrounds the scheduler:
// the platform's table service, object store and host list, workers,
// endpoints and a balancer.
//
// Each is an HTTP server on loopback with faults that can be set while it
// runs, and each records what it saw so that an auditor can compare it with
// what callers were told.
package standin

import (
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kumquatstall/keeper"
)

// TableFaults are the faults of a table service. The zero value has none.
type TableFaults struct {
	// Down refuses every request.
	Down bool
	// DelayMillis is added to each request, in milliseconds.
	DelayMillis int64
	// LoseEvery loses the answer of every n-th transaction after it has
	// committed; 0 loses none.
	LoseEvery int64
}

// Rows is the content of a table service, without a server.
type Rows struct {
	mu       sync.Mutex
	rows     map[string]keeper.Row
	revision int64
}

// NewRows returns an empty table.
func NewRows() *Rows { return &Rows{rows: make(map[string]keeper.Row)} }

// Table is a stand-in for the platform's transactional table service.
type Table struct {
	server
	*Rows
	faults atomic.Pointer[TableFaults]

	// Transactions and Reads count the requests served.
	Transactions atomic.Int64
	Reads        atomic.Int64
}

// NewTable starts a table service on loopback.
func NewTable() (*Table, error) {
	t := &Table{Rows: NewRows()}
	t.SetFaults(TableFaults{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/transact", t.serveTransact)
	mux.HandleFunc("POST /v1/read", t.serveRead)
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) { serveFaults(w, r, t.SetFaults) })
	return t, t.start(mux)
}

// SetFaults replaces the faults.
func (t *Table) SetFaults(faults TableFaults) { t.faults.Store(&faults) }

// Apply runs a transaction.
func (t *Rows) Apply(transaction keeper.Transaction) keeper.TransactResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflicts []keeper.Row
	for _, condition := range transaction.Conditions {
		row := t.rows[condition.Key]
		row.Key = condition.Key
		if row.Revision != condition.Revision {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return keeper.TransactResult{Conflicts: conflicts}
	}
	t.revision++
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(t.rows, write.Key)
			continue
		}
		t.rows[write.Key] = keeper.Row{Key: write.Key, Value: write.Value, Revision: t.revision}
	}
	return keeper.TransactResult{Committed: true, Revision: t.revision}
}

// Find reads rows; they are sorted by key.
func (t *Rows) Read(request keeper.ReadRequest) keeper.ReadResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := keeper.ReadResult{Revision: t.revision}
	for _, key := range request.Keys {
		if row, ok := t.rows[key]; ok {
			result.Rows = append(result.Rows, row)
		}
	}
	for _, prefix := range request.Prefixes {
		for key, row := range t.rows {
			if strings.HasPrefix(key, prefix) {
				result.Rows = append(result.Rows, row)
			}
		}
	}
	sort.Slice(result.Rows, func(i, j int) bool { return result.Rows[i].Key < result.Rows[j].Key })
	return result
}

func (t *Table) serveTransact(w http.ResponseWriter, r *http.Request) {
	var transaction keeper.Transaction
	if !t.admit(w) || !decodeJSON(w, r, &transaction) {
		return
	}
	result := t.Apply(transaction)
	count := t.Transactions.Add(1)
	every := t.faults.Load().LoseEvery
	if every > 0 && count%every == 0 {
		panic(http.ErrAbortHandler)
	}
	encodeJSON(w, result)
}

func (t *Table) serveRead(w http.ResponseWriter, r *http.Request) {
	var request keeper.ReadRequest
	if !t.admit(w) || !decodeJSON(w, r, &request) {
		return
	}
	t.Reads.Add(1)
	encodeJSON(w, t.Read(request))
}

// admit applies the faults that come before a request is carried out.
func (t *Table) admit(w http.ResponseWriter) bool {
	faults := t.faults.Load()
	if faults.DelayMillis > 0 {
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	}
	if faults.Down {
		http.Error(w, "table service is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}
