// Package keeper is the client of the platform's transactional table service and
// of its host list.
//
// The table holds rows. Each row has a key, a value and the table revision of its
// last change; every commit increases the table revision. A transaction states
// the revision that each row it writes must have (0 for an absent row), so every
// write is a compare-and-set. A transaction whose response was not received can
// therefore be sent again: it can't be applied twice. The second request commits,
// or conflicts with the rows that the first one wrote, or conflicts with those of
// another writer.
//
// A Client merges queued transactions into one request to the service (group
// commit), limits the rates of writes and of reads, and has bounded queues. It
// owns one goroutine for writes and one for reads. Hedged is a Table that sends a
// transaction again if its response is slow. HostLister reads the host list.
package keeper

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/pooler"
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

// valueBytes returns the size of the values that the transaction writes, encoded in
// base64.
func (t *Transaction) valueBytes() int {
	size := 0
	for i := range t.Writes {
		size += base64.StdEncoding.EncodedLen(len(t.Writes[i].Value))
	}
	return size
}

// TransactResult is the outcome of a transaction.
type TransactResult struct {
	Committed bool
	// Revision is the revision of the written rows.
	Revision int64
	// Conflicts are the current rows at the conditions that did not hold; an
	// absent row has Revision 0.
	Conflicts []Row
	// Resent is true if the transaction was sent more than once, so that the
	// rows in Conflicts may be those that it wrote itself.
	Resent bool `json:"-"`
}

// ReadRequest requests the rows with the given keys and all rows whose keys have
// one of the prefixes.
type ReadRequest struct {
	Keys     []string
	Prefixes []string
}

// ReadResult holds the rows found. Revision is the table revision at which the
// last of the requested keys and prefixes was read.
type ReadResult struct {
	Rows     []Row
	Revision int64
}

// Table is the table service. Its methods return soon after ctx has ended: a Client that is
// closed waits for the one that it has called.
type Table interface {
	// Transact applies a transaction. An error that is ErrNotApplied proves that
	// it was not applied and won't be; one that is also ErrInvalid that the same
	// transaction would be refused again. After any other error it may have been
	// applied or may still be.
	Transact(ctx context.Context, transaction Transaction) (TransactResult, error)
	// Read returns the requested rows. It may read each key and each prefix at
	// another revision.
	Read(ctx context.Context, request ReadRequest) (ReadResult, error)
}

// maxResponseBytes bounds the body of one response of the platform.
const maxResponseBytes = 64 << 20

// httpTable accesses the service over HTTP with JSON bodies.
type httpTable struct {
	client  *http.Client
	address netip.AddrPort
}

var _ Table = (*httpTable)(nil)

func newHTTPTable(address netip.AddrPort) *httpTable {
	transport := &http.Transport{DialContext: (&pooler.Dialer{}).DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}
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
		return errors.Wrap(err, "create table request")
	}
	response, err := t.client.Do(httpRequest)
	if err != nil {
		return errors.Wrapf(err, "send table request %s to %s", path, t.address)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "read response to table request %s from %s", path, t.address)
	}
	if response.StatusCode == http.StatusBadRequest || response.StatusCode == http.StatusRequestEntityTooLarge {
		err := errors.Newf("table request %s to %s: got status %d: %.200s", path, t.address, response.StatusCode, data)
		return errors.Mark(errors.Mark(err, ErrInvalid), ErrNotApplied)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("table request %s to %s: got status %d, expected 200", path, t.address, response.StatusCode)
	}
	return errors.Wrapf(json.Unmarshal(data, result), "decode response to table request %s from %s", path, t.address)
}
