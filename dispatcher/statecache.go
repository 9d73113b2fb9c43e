package dispatcher

import (
	"net/netip"
	"strings"
	"sync"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// ownerKey is the key of the owner's row.
const ownerKey = scheduler.StatePrefix + "@owner"

// ownerRow is the row that names the owner of the cell and holds its lease.
type ownerRow struct {
	_       struct{} `cbor:",toarray"`
	Holder  requester.EntryID
	Address netip.AddrPort
	Epoch   int64
	// Counter increases with each commit, so that no two rows are equal. The bits
	// from leaseTermShift on hold the term of the workers' leases: a row with one
	// more field could not be decoded by entries of earlier versions, which leave
	// these bits 0.
	Counter int64
	// TermMillis is the term of the lease: how long after it sent the commit
	// that wrote the row the holder may send orders.
	TermMillis int64
	// Eager is true if an owner of an earlier version may have started steps before their
	// start records were committed.
	Eager bool
	// MaxCores is the largest number of cores that an entry is known to have.
	MaxCores float64
	// Released is true if the holder has released the cell. Successor is the
	// entry that is to acquire it; it is empty if the holder knew of none.
	Released  bool
	Successor requester.EntryID
}

func (r *ownerRow) term() time.Duration { return time.Duration(r.TermMillis) * time.Millisecond }

// leaseTermShift is where the bits of Counter with the term of leases begin.
const leaseTermShift = 40

// leaseTerm bounds the workers' leases of the holder and of earlier owners: none
// lasts longer than this from when the commit that wrote the row was sent. 0 means
// that no such bound is known.
func (r *ownerRow) leaseTerm() time.Duration {
	return time.Duration(max(0, r.Counter>>leaseTermShift)) * time.Millisecond
}

// setLeaseTerm sets the term of leases of a row that has none.
func (r *ownerRow) setLeaseTerm(term time.Duration) {
	r.Counter |= term.Milliseconds() << leaseTermShift
}

// ownerView is the owner's row as this entry has observed it.
type ownerView struct {
	row      ownerRow
	revision int64
	// observedAt is when this entry first observed this revision.
	observedAt time.Time
	// known is false until a row was observed.
	known bool
}

// cachedState is the state row of a job and its revision.
type cachedState struct {
	row      scheduler.StateRow
	revision int64
}

// stateCache is a copy of the states of all jobs and of the owner's row in the
// store. It is safe for concurrent use.
type stateCache struct {
	mu     sync.Mutex
	states map[requester.JobID]cachedState
	// pending counts the pending jobs of each queue.
	pending map[string]int
	owner   ownerView
}

func newStateCache() *stateCache {
	return &stateCache{states: make(map[requester.JobID]cachedState), pending: make(map[string]int)}
}

// apply applies the change of a state row or of the owner's row. It ignores a
// revision that is not newer than the cached one.
func (c *stateCache) apply(now time.Time, change Change) error {
	if change.Row.Key == ownerKey {
		return c.applyOwner(now, change)
	}
	text, ok := strings.CutPrefix(change.Row.Key, scheduler.StatePrefix)
	if !ok {
		// A watch covers the whole table, also rows of other writers.
		return nil
	}
	id := requester.JobID(text)
	var row scheduler.StateRow
	if !change.Removed {
		var err error
		if row, err = decodeState(change.Row.Value); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old, known := c.states[id]
	if known && old.revision >= change.Row.Revision {
		return nil
	}
	if known && isPending(old.row) {
		c.pending[old.row.Queue]--
	}
	if change.Removed {
		delete(c.states, id)
		return nil
	}
	c.states[id] = cachedState{row: row, revision: change.Row.Revision}
	if isPending(row) {
		c.pending[row.Queue]++
	}
	return nil
}

// isPending reports whether a job counts as pending: it is queued and has no
// occurrences at set times.
func isPending(row scheduler.StateRow) bool { return row.State == scheduler.StateQueued && !row.Timed }

// applyOwner applies a change of the owner's row. A row that cannot be decoded
// names no owner, and neither does a removed one: the cell then counts as
// released. The removal may be known from a conflict, which has no revision.
func (c *stateCache) applyOwner(now time.Time, change Change) error {
	row, err := decodeOwner(change.Row.Value)
	if change.Removed {
		err = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	revision := change.Row.Revision
	if c.owner.known && revision <= c.owner.revision && !(change.Removed && revision == 0) {
		return nil
	}
	if change.Removed || err != nil {
		row = vacate(now, c.owner.row)
	}
	if change.Removed {
		revision = 0
	}
	c.owner = ownerView{row: row, revision: revision, observedAt: now, known: true}
	return err
}

func (c *stateCache) ownerView() ownerView {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner
}

// state returns the state of a job, and whether it is known.
func (c *stateCache) state(id requester.JobID) (scheduler.StateRow, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.states[id]
	return cached.row, ok
}

// ended reports whether a job is known to have ended.
func (c *stateCache) ended(id requester.JobID) bool {
	row, known := c.state(id)
	return known && row.State.Ended()
}

// pendingCount returns the number of pending jobs of a queue.
func (c *stateCache) pendingCount(queue string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending[queue]
}

// replace applies a list of all rows as of a revision, and removes the states
// that the list lacks. It is used at the start and when changes may have been
// missed. It passes each row that it cannot decode to odd, and keeps the earlier
// version of that row.
func (c *stateCache) replace(now time.Time, rows []keeper.Row, revision int64, odd func(key string, err error)) {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Key] = true
		if err := c.apply(now, Change{Row: row}); err != nil {
			odd(row.Key, err)
		}
	}
	c.mu.Lock()
	var removed []requester.JobID
	for id, cached := range c.states {
		if !listed[scheduler.StateKey(id)] && cached.revision <= revision {
			removed = append(removed, id)
		}
	}
	c.mu.Unlock()
	for _, id := range removed {
		key := scheduler.StateKey(id)
		if err := c.apply(now, Change{Row: keeper.Row{Key: key, Revision: revision + 1}, Removed: true}); err != nil {
			odd(key, err)
		}
	}
}

// endedBefore returns up to limit jobs that ended before a time.
func (c *stateCache) endedBefore(before time.Time, limit int) []requester.JobID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []requester.JobID
	for id, cached := range c.states {
		if len(ids) == limit {
			break
		}
		if cached.row.State.Ended() && cached.row.EndedAt < before.Unix() {
			ids = append(ids, id)
		}
	}
	return ids
}
