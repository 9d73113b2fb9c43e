package dispatcher

import (
	"net/netip"
	"testing"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/scheduler"
)

// FuzzStateRows checks that no row of the table of states ends the process, that
// what is cached is in range, and that the state of another job holds.
func FuzzStateRows(f *testing.F) {
	f.Add(scheduler.StateKey("00000000000000aa"), scheduler.EncodeRow(scheduler.StateRow{Queue: "q", State: scheduler.StateRunning}), int64(3), false)
	f.Add(ownerKey, scheduler.EncodeRow(ownerRow{Holder: "a", Address: netip.MustParseAddrPort("127.0.0.1:1"), Epoch: 7, TermMillis: 800, MaxCores: 0.5}), int64(3), false)
	f.Add(ownerKey, []byte{0xff}, int64(3), true)
	f.Add("states//x", []byte{0xff}, int64(3), false)
	now := time.Unix(1796443871, 0)
	f.Fuzz(func(t *testing.T, key string, value []byte, revision int64, removed bool) {
		cache := newStateCache()
		other := keeper.Row{Key: scheduler.StateKey("00000000000000ab"), Value: scheduler.EncodeRow(scheduler.StateRow{Queue: "q"}), Revision: 1}
		owner := keeper.Row{Key: ownerKey, Value: scheduler.EncodeRow(ownerRow{Holder: "b", Epoch: 4, TermMillis: 800}), Revision: 1}
		odd := keeper.Row{Key: key, Value: value, Revision: revision}
		cache.replace(now, []keeper.Row{other, odd, owner}, 1, func(string, error) {})
		// An error means that the row is odd.
		_ = cache.apply(now, Change{Row: odd, Removed: removed})
		if _, known := cache.state("00000000000000ab"); !known && key != other.Key {
			t.Error("the other job's state is lost")
		}
		for id, cached := range cache.states {
			if cached.row.State < scheduler.StateQueued || cached.row.State > scheduler.StateCancelled {
				t.Errorf("job %q: got state %d", id, cached.row.State)
			}
		}
		view := cache.ownerView()
		if !view.known || view.row.Epoch < 1 || view.row.Epoch > maxEpoch || view.row.term() < 0 || view.row.term() > maxOwnerTerm || !(view.row.MaxCores >= 0) {
			t.Errorf("got owner %+v", view)
		}
	})
}

// FuzzJobRow checks that each job that is read from its row has the ID of its key
// and can be scheduled.
func FuzzJobRow(f *testing.F) {
	f.Add("00000000000000aa", scheduler.EncodeRow(scheduler.Job{JobID: "00000000000000aa", Steps: []scheduler.Step{{Count: 1}}}))
	f.Add("@owner", []byte{0xa0})
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		key := scheduler.JobPrefix(0) + name
		var job scheduler.Job
		if scheduler.DecodeRow(value, &job) != nil || checkJob(key, &job) != nil {
			return
		}
		if scheduler.JobKey(job.JobID) != key || scheduler.StateKey(job.JobID) == ownerKey || scheduler.ProgressKey(job.JobID) == scheduler.LeasedWorkersKey {
			t.Errorf("got job %q from %q", job.JobID, key)
		}
		core := scheduler.New(scheduler.Options{Epoch: 1}, time.Unix(1796443871, 0))
		core.Add(time.Unix(1796443871, 0), job)
	})
}
