package dispatcher

import (
	"net/netip"
	"sync"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// ownerKey is the key of the owner's row.
const ownerKey = scheduler.StatePrefix + "@owner"

// ownerRow names the owner of the cell.
type ownerRow struct {
	_       struct{} `cbor:",toarray"`
	Holder  requester.EntryID
	Address netip.AddrPort
	Epoch   int64
	// Counter rises with each commit, so that no two rows are the same.
	Counter int64
	// TermMillis is for how long after the row was written the holder may
	// give orders.
	TermMillis int64
	// Eager tells that steps may be started before they are stored as begun.
	Eager bool
	// Strongest is the most cores that an entry is known to have.
	Strongest float64
	// Released tells that the holder has given the cell up, Heir to whom.
	Released  bool
	Successor requester.EntryID
}

func (r *ownerRow) term() time.Duration { return time.Duration(r.TermMillis) * time.Millisecond }

// ownerView is the owner's row as this entry has seen it.
type ownerView struct {
	row      ownerRow
	revision int64
	// since is when this entry first saw this revision.
	observedAt time.Time
	known      bool
}

type cachedState struct {
	row      scheduler.StateRow
	revision int64
}

// board holds the states of jobs and the owner's row, as the store has them.
type cache struct {
	mu      sync.Mutex
	states  map[requester.JobID]cachedState
	pending map[string]int
	owner   ownerView
}

func newStateCache() *cache {
	return &cache{states: make(map[requester.JobID]cachedState), pending: make(map[string]int)}
}

// take takes in a row of the states; older ones than known change nothing.
func (b *cache) apply(now time.Time, change Change) error {
	if change.Row.Key == ownerKey {
		return b.applyOwner(now, change.Row)
	}
	id := requester.JobID(change.Row.Key[len(scheduler.StatePrefix):])
	var row scheduler.StateRow
	if !change.Removed {
		if err := scheduler.DecodeRow(change.Row.Value, &row); err != nil {
			return err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	old, known := b.states[id]
	if known && old.revision >= change.Row.Revision {
		return nil
	}
	if known && isPending(old.row) {
		b.pending[old.row.Queue]--
	}
	if change.Removed {
		delete(b.states, id)
		return nil
	}
	b.states[id] = cachedState{row: row, revision: change.Row.Revision}
	if isPending(row) {
		b.pending[row.Queue]++
	}
	return nil
}

// waits reports whether a job counts as pending.
func isPending(row scheduler.StateRow) bool { return row.State == scheduler.StateQueued && !row.Timed }

func (b *cache) applyOwner(now time.Time, row keeper.Row) error {
	var owner ownerRow
	if err := scheduler.DecodeRow(row.Value, &owner); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owner.known && row.Revision <= b.owner.revision {
		return nil
	}
	b.owner = ownerView{row: owner, revision: row.Revision, observedAt: now, known: true}
	return nil
}

func (b *cache) ownerView() ownerView {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.owner
}

func (b *cache) state(id requester.JobID) (scheduler.StateRow, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	shown, ok := b.states[id]
	return shown.row, ok
}

// ended reports whether a job is known to have ended.
func (b *cache) ended(id requester.JobID) bool {
	row, known := b.state(id)
	return known && row.State.Ended()
}

func (b *cache) pendingCount(queue string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending[queue]
}

// replace takes in all rows at once, after changes may have been missed.
func (b *cache) replace(now time.Time, rows []keeper.Row, revision int64) error {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Key] = true
		if err := b.apply(now, Change{Row: row}); err != nil {
			return err
		}
	}
	b.mu.Lock()
	var gone []requester.JobID
	for id, shown := range b.states {
		if !listed[scheduler.StateKey(id)] && shown.revision <= revision {
			gone = append(gone, id)
		}
	}
	b.mu.Unlock()
	for _, id := range gone {
		if err := b.apply(now, Change{Row: keeper.Row{Key: scheduler.StateKey(id), Revision: revision + 1}, Removed: true}); err != nil {
			return err
		}
	}
	return nil
}

// endedBefore returns up to limit jobs that ended before a time.
func (b *cache) endedBefore(before time.Time, limit int) []requester.JobID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []requester.JobID
	for id, shown := range b.states {
		if len(ids) == limit {
			break
		}
		if shown.row.State.Ended() && shown.row.EndedAt < before.Unix() {
			ids = append(ids, id)
		}
	}
	return ids
}
