package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/keeper"
	"kumquatstall/scheduler"
)

// TestStateInAnotherPartitionEndsProcess checks that changes of rows in other
// partitions of the table, which a watch also returns, name no state of a job.
func TestStateInAnotherPartitionEndsProcess(t *testing.T) {
	is := is.New(t)
	cache := newStateCache()
	value := scheduler.EncodeRow(scheduler.StateRow{Queue: "queue"})
	for _, key := range []string{"", "states", "states//", "states//x", "states/other/0000000000000001", "jobs/1/0000000000000001"} {
		is.NoErr(cache.apply(time.Now(), Change{Row: keeper.Row{Key: key, Value: value, Revision: 1}}))
	}
	is.Equal(len(cache.states), 0)
	is.NoErr(cache.apply(time.Now(), Change{Row: keeper.Row{Key: scheduler.StateKey("0000000000000001"), Value: value, Revision: 1}}))
	is.Equal(len(cache.states), 1)
}
