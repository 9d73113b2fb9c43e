package standin

import (
	"encoding/base64"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/keeper"
	"kumquatstall/requester"
)

// CellFaults are the faults that a Cell injects. The zero value injects none.
type CellFaults struct {
	// StoreDown makes every call to the store, the configuration and the list of
	// workers block until its context ends.
	StoreDown bool
	// StoreUnreachableFrom does the same for the calls of these entries only.
	StoreUnreachableFrom map[requester.EntryID]bool
	// WriteResponseLoss is the share, from 0 to 1, of the committed transactions
	// that return an error, as if no response were received.
	WriteResponseLoss float64
	// OrderResponseLoss is the share, from 0 to 1, of the orders delivered to a
	// worker that return OrderUnknown, as if no response were received.
	OrderResponseLoss float64
	// StoreDelay is how much longer each call to the store, the configuration and
	// the list of workers takes. A transaction commits at a random moment of it.
	StoreDelay time.Duration
	// OrdersLate is the share, from 0 to 1, of the orders that get no response and
	// that the worker executes minOrderDelay to maxOrderDelay later, also if it
	// has restarted or is partitioned by then.
	OrdersLate float64
	// WorkerRowsExpired makes the list of workers empty, as if the workers had
	// stopped renewing their rows.
	WorkerRowsExpired bool
	// TruncateHistory truncates the change history once, when a watch next checks
	// for changes: watches after an earlier revision return
	// dispatcher.ErrHistoryTruncated.
	TruncateHistory bool
	// RefusedWrites, if not empty, makes the store refuse as invalid each transaction
	// with a write of a key that contains this text.
	RefusedWrites string
	// LateWrites, if not empty, makes the store send no response to a transaction with
	// a write of a key that contains this text, and perform it LateBy later.
	LateWrites string
	LateBy     time.Duration
}

// Limits of the store on a row, in bytes of its value, and on a call, in bytes of its
// values in base64 and in entries.
const (
	cellRowBytes  = 65_536
	cellCallBytes = 1_000_000
	cellEntries   = 100
)

// refusal returns why the store refuses a transaction as invalid, or nil.
func (f *CellFaults) refusal(transaction *keeper.Transaction) error {
	entries, bytes := len(transaction.Conditions)+len(transaction.Writes), 0
	for i := range transaction.Writes {
		write := &transaction.Writes[i]
		bytes += base64.StdEncoding.EncodedLen(len(write.Value))
		if len(write.Value) > cellRowBytes {
			return errors.Newf("the value of %s has %d bytes, at most %d are allowed", write.Key, len(write.Value), cellRowBytes)
		}
		if f.RefusedWrites != "" && strings.Contains(write.Key, f.RefusedWrites) {
			return errors.Newf("the write of %s is refused", write.Key)
		}
	}
	if entries > cellEntries || bytes > cellCallBytes {
		return errors.Newf("a call has %d entries and %d bytes, at most %d and %d are allowed", entries, bytes, cellEntries, cellCallBytes)
	}
	return nil
}

// late reports whether a transaction is performed late.
func (f *CellFaults) late(transaction *keeper.Transaction) bool {
	return f.LateWrites != "" && slices.ContainsFunc(transaction.Writes, func(write keeper.Write) bool { return strings.Contains(write.Key, f.LateWrites) })
}
