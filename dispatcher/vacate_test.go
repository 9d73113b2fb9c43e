package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/keeper"
	"kumquatstall/scheduler"
)

// TestEpochAfterAnUnseenOwner guards against an entry that takes the cell over,
// after the owner's row was lost, under the epoch of an owner whose row it never
// saw: their orders have the same fences, and their runs the same numbers.
func TestEpochAfterAnUnseenOwner(t *testing.T) {
	lost := map[string]Change{
		"removed":             {Row: keeper.Row{Key: ownerKey, Revision: 12}, Removed: true},
		"removed by conflict": {Row: keeper.Row{Key: ownerKey}, Removed: true},
		"odd":                 {Row: keeper.Row{Key: ownerKey, Value: []byte{0xff}, Revision: 12}},
	}
	for name, change := range lost {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)
			c := newStateCache()
			is.NoErr(c.apply(now, Change{Row: keeper.Row{Key: ownerKey, Value: scheduler.EncodeRow(ownerRow{Holder: "a", Epoch: 40}), Revision: 10}}))
			// The row of epoch 41, with revision 11, is lost before it is seen.
			_ = c.apply(now, change)
			view := c.ownerView()
			is.True(view.row.Released)
			is.True(view.row.Epoch+1 > 41)
		})
	}
}
