package dispatcher

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kumquatstall/keeper"
	"kumquatstall/scheduler"
)

// TestOwnerRowOfEarlierVersions guards against an owner's row that entries of earlier
// versions cannot decode, and against a bound read from one that they wrote.
func TestOwnerRowOfEarlierVersions(t *testing.T) {
	is := is.New(t)
	type earlierRow struct {
		_          struct{} `cbor:",toarray"`
		Holder     string
		Address    netip.AddrPort
		Epoch      int64
		Counter    int64
		TermMillis int64
		Eager      bool
		MaxCores   float64
		Released   bool
		Successor  string
	}
	row := ownerRow{Holder: "a", Epoch: 3, Counter: 1<<leaseTermShift - 2, TermMillis: 800}
	row.setLeaseTerm(scheduler.DefaultLeaseTerm)
	row.Counter++
	is.Equal(row.leaseTerm(), scheduler.DefaultLeaseTerm)
	var earlier earlierRow
	is.NoErr(scheduler.DecodeRow(scheduler.EncodeRow(row), &earlier))
	is.Equal(earlier.Counter, row.Counter)
	read, err := decodeOwner(scheduler.EncodeRow(earlierRow{Holder: "a", Epoch: 3, Counter: 1_000_000_000, TermMillis: 800}))
	is.NoErr(err)
	is.Equal(read.leaseTerm(), time.Duration(0))
}

// TestBoundOfALostRow guards against a bound that is taken over from an owner's row
// which was lost: owners of any version may have followed unseen.
func TestBoundOfALostRow(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)
	row := ownerRow{Holder: "a", Epoch: 1 << 39, TermMillis: 800}
	row.setLeaseTerm(scheduler.DefaultLeaseTerm)
	for _, change := range []Change{
		{Row: keeper.Row{Key: ownerKey, Revision: 12}, Removed: true},
		{Row: keeper.Row{Key: ownerKey}, Removed: true},
		{Row: keeper.Row{Key: ownerKey, Value: []byte{0xff}, Revision: 12}},
	} {
		c := newStateCache()
		is.NoErr(c.apply(now, Change{Row: keeper.Row{Key: ownerKey, Value: scheduler.EncodeRow(row), Revision: 10}}))
		view := c.ownerView()
		is.Equal(view.row.leaseTerm(), scheduler.DefaultLeaseTerm)
		_ = c.apply(now, change)
		view = c.ownerView()
		is.Equal(view.row.leaseTerm(), time.Duration(0))
	}
}

// committingTable is a table whose first transaction is committed without a response.
type committingTable struct {
	keeper.Table
	written []byte
}

func (c *committingTable) Transact(_ context.Context, transaction keeper.Transaction) (keeper.TransactResult, error) {
	if c.written == nil {
		c.written = transaction.Writes[0].Value
		return keeper.TransactResult{}, errors.New("no response received")
	}
	return keeper.TransactResult{Conflicts: []keeper.Row{{Key: ownerKey, Value: c.written, Revision: 11}}}, nil
}

// TestTermOfARepeatedAcquisition guards against a term, and leases, that begin with the
// second sending of an acquisition although the first one was committed: a successor
// counts from that one.
func TestTermOfARepeatedAcquisition(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)}
	d := &Dispatcher{
		options: Options{Self: "self"}.withDefaults(), clock: clock, log: zerolog.Nop(), cache: newStateCache(),
		ctx: t.Context(), store: keeper.NewHedged(&committingTable{}),
	}
	owner := ownerView{row: ownerRow{Holder: "a", Epoch: 4, Released: true}, revision: 10, known: true}
	owner.row.setLeaseTerm(scheduler.DefaultLeaseTerm)
	firstSent := clock.now
	_, _, ok := d.acquire(owner)
	is.True(!ok)
	clock.now = clock.now.Add(2 * time.Second)
	row, _, ok := d.acquire(owner)
	is.True(ok)
	is.Equal(d.acquisition.sentAt, firstSent)
	is.Equal(row.leaseTerm(), scheduler.DefaultLeaseTerm) // carried on
}
