// Package keeper is the client of the platform's transactional table service.
//
// The service holds rows: a key, a value and a revision that grows with every
// change of any row. A transaction names the revision that each row it writes
// must have (0 for an absent row), so that writing is always compare-and-set.
// This is what makes lost answers resolvable: a transaction sent a second time
// either commits now, or meets a row that holds the very value it wrote, or
// lost to another writer. It can't take effect twice.
//
// A Client groups the transactions that are waiting into one request to the
// service (group commit), keeps below a rate of writes and reads, and holds a
// bounded queue. It owns one goroutine for writes and one for reads.
package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Row is one row of the table.
type Row struct {
	Key      string
	Value    []byte
	Revision int64
}

// Condition requires that the row at Key has Revision; 0 means absent.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets or deletes the row at Key.
type Write struct {
	Key    string
	Value  []byte `json:",omitempty" cbor:",omitempty"`
	Delete bool   `json:",omitempty" cbor:",omitempty"`
}

// Transaction applies all Writes if all Conditions hold, or none. Each write
// needs a condition on its key.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// TransactResult tells what became of a transaction.
type TransactResult struct {
	Committed bool
	// Revision is the revision of the written rows.
	Revision int64
	// Conflicts are the current rows at the conditions that did not hold; an
	// absent row has Revision 0.
	Conflicts []Row
	// Resent tells that the transaction was sent more than once, so that the
	// rows in Conflicts may be those that it wrote itself.
	Resent bool `json:"-"`
}

// ReadRequest asks for single rows and for all rows below prefixes.
type ReadRequest struct {
	Keys     []string
	Prefixes []string
}

// ReadResult holds the rows found, read at one Revision of the table.
type ReadResult struct {
	Rows     []Row
	Revision int64
}

// Table is the service as the client needs it.
type Table interface {
	// Transact applies a transaction. An error that is ErrNotApplied proves that
	// it was not applied and won't be; any other leaves that open.
	Transact(ctx context.Context, transaction Transaction) (TransactResult, error)
	// Read returns rows as of one moment for each key and each prefix.
	Read(ctx context.Context, request ReadRequest) (ReadResult, error)
}

// maxTableAnswer bounds one answer of the service, in bytes.
const maxTableAnswer = 64 << 20

// httpTable reaches the service over HTTP with JSON bodies.
type httpTable struct {
	client  *http.Client
	address netip.AddrPort
}

var _ Table = (*httpTable)(nil)

func newHTTPTable(address netip.AddrPort) *httpTable {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}
	return &httpTable{client: &http.Client{Transport: transport}, address: address}
}

func (t *httpTable) Transact(ctx context.Context, transaction Transaction) (TransactResult, error) {
	var result TransactResult
	err := t.post(ctx, "/v1/transact", transaction, &result)
	return result, err
}

func (t *httpTable) Read(ctx context.Context, request ReadRequest) (ReadResult, error) {
	var result ReadResult
	err := t.post(ctx, "/v1/read", request, &result)
	return result, err
}

func (t *httpTable) post(ctx context.Context, path string, request, result any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode table request")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.address.String()+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make table request")
	}
	response, err := t.client.Do(httpRequest)
	if err != nil {
		return errors.Wrapf(err, "table %s at %s", path, t.address)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxTableAnswer))
	if err != nil {
		return errors.Wrapf(err, "read answer of table %s at %s", path, t.address)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("table %s at %s: status %d", path, t.address, response.StatusCode)
	}
	return errors.Wrapf(json.Unmarshal(data, result), "decode answer of table %s at %s", path, t.address)
}
