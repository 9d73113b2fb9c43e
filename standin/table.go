// Package standin provides stand-ins for the services around the scheduler, for
// tests, the command "dev" and the load tool.
//
// Balancer, Table, Objects, HostList, Endpoint and Worker are HTTP servers on
// loopback that speak the protocols of the platform's load balancer, table
// service, object store and host list, of a service instance and of a worker
// host. Proxy is a TCP proxy in front of any of them.
//
// Cell is a platform in memory without sockets: a store with a change history,
// the configuration, TaskWorkers and an advice service. Rows, Runtime and
// TaskWorker are the state of a table and of workers without a server, so that
// simulations can run them in virtual time.
//
// There are two kinds of worker. Worker and its Runtime serve the sync requests of
// package placer, which the holder of a placement shard sends. TaskWorker executes
// the orders of package scheduler, which the owner of a cell sends.
//
// Most stand-ins inject faults that can be replaced while they run. Endpoints
// and workers record every execution, so that a check can compare what ran with
// the responses that callers received.
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

// TableFaults are the faults that a table service injects. The zero value
// injects none.
type TableFaults struct {
	// Down rejects every request with status 503.
	Down bool
	// DelayMillis is the delay before each request is handled, in milliseconds.
	DelayMillis int64
	// LoseEvery closes the connection instead of sending the response to every
	// n-th transaction, after it has committed or failed its conditions; 0 for
	// none.
	LoseEvery int64
}

// Rows is the state of a table service without a server: rows with the revision
// of their last write, and the table's revision, which each committed
// transaction increments.
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

	// Transactions and Reads count the requests handled, including transactions
	// that failed their conditions or whose response was not sent.
	Transactions atomic.Int64
	Reads        atomic.Int64
}

// NewTable starts an empty table service on loopback.
func NewTable() (*Table, error) {
	t := &Table{Rows: NewRows()}
	t.SetFaults(TableFaults{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/transact", t.serveTransact)
	mux.HandleFunc("POST /v1/read", t.serveRead)
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) { serveFaults(w, r, t.SetFaults) })
	return t, t.start(mux)
}

// SetFaults replaces the injected faults.
func (t *Table) SetFaults(faults TableFaults) { t.faults.Store(&faults) }

// Apply commits a transaction if every row that it has a condition on is at the
// expected revision (0 for an absent row). Otherwise it writes nothing and
// returns the conflicting rows.
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

// Read returns the rows with the requested keys and prefixes, sorted by key, and
// the table's revision.
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

// admit injects the delay and the outage. It reports whether the request may be
// handled. If not, it has sent status 503.
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
