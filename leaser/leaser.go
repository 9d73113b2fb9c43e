// Package leaser decides which entry (scheduler process) holds the lease of each
// shard.
//
// Each data centre has a fixed number of shards. A shard is a row of the table
// service with a holder, an epoch and a deadline. The endpoints and the
// requests of a data centre are divided among its call shards by rendezvous
// hashing; all of its workers are assigned to one more shard, the placement
// shard. The holder of a shard owns what is assigned to it. Only entries of the
// data centre may hold its shards. Each acquisition increases the epoch, which
// is the fencing token.
//
// A Leaser owns no goroutine, lock, clock or socket: its methods take the
// current time, table rows, results and messages, and return the transactions
// and messages to send.
//
// # Safety
//
// A holder counts its lease from the moment it sent a renewal that committed.
// An entry that acquires a shard waits a term and a safety margin, counted from
// the moment it first read the row revision that it replaces, unless that row
// shows that the shard was released. Both use their own monotonic clocks, so
// clocks need not agree; only their rates must, within the margin. Acquisition
// and renewal are compare-and-set on the same row, so only one of them commits.
//
// # Extension
//
// While the table is unavailable, a holder may keep a shard for as long as no
// other entry can have acquired it. Each renewal stores the table revision at
// which the holder last read the member list (the entries registered in the data
// centre). A member registered at or below that revision is known to the holder
// and must grant the extension. A grant bars the member that gives it from
// acquiring the shard for a bounded time. A member registered later is a
// newcomer and may acquire the shard only with proof that the holder is dead.
// The grants of all known members, except those proven dead, therefore cover
// every entry that could acquire the shard.
//
// A process is proven dead if its address refuses connections, if a newer
// incarnation of its entry is known, or if the platform's host list once named
// its entry and no longer does.
//
// # Takeover
//
// A call shard whose holder has died while the table is unavailable may be
// taken over with a grant from every other entry that may be running. The dead
// holder may have renewed after the new holder last read the table, and so may
// have known members that the new holder does not. Therefore an entry acquires
// no shard before it has exchanged heartbeats with every member listed when it
// registered, or has proof of that member's death, and then waits a term and a
// margin: a takeover that began before this exchange has expired by then, or
// has been extended with a grant of this entry. docs/design/seats.md has the
// table of cases.
package leaser

import (
	"net/netip"
	"sort"
	"time"

	"kumquatstall/charter"
	"kumquatstall/requester"
)

// Shard identifies a shard of a data centre.
type Shard struct {
	DataCentre requester.DataCentre
	Number     int
}

// PlacementShard is the number of the shard to which all workers are assigned.
// The other shards are call shards.
const PlacementShard = 0

// Options configures a Leaser. All fields but Margin must be set.
type Options struct {
	Self        requester.EntryID
	Incarnation int64
	Address     netip.AddrPort
	DataCentre  requester.DataCentre
	// Shards is the number of shards of the data centre, including the
	// placement shard. All entries must use the same number.
	Shards int
	// Term is how long a lease lasts.
	Term time.Duration
	// Margin is the safety margin for differing clock rates and for requests
	// in flight.
	Margin time.Duration
}

// ShardLease is a shard and the epoch at which the sender of a message holds
// it or requests to hold it. Messages, row keys, settings and metrics have an
// older name for shards, seats. It stays, since a renamed field is another field
// to whoever reads a message or a row.
type ShardLease struct {
	Seat  Shard
	Epoch int64
}

// shardState is the state of one shard of the own data centre.
type shardState struct {
	// machine follows the chart "seat", whose events have names of their own.
	// Claim starts an acquisition, which Granted ends, unless it is Lost: Granted
	// is by the table and has nothing to do with grants. Adopt is a takeover and
	// Lapse the expiry of a lease.
	machine charter.Machine
	row     ShardRow
	// rowRevision is 0 while the row is absent.
	rowRevision int64
	// rowReadAt is when rowRevision was first read here, or when the result
	// of the own transaction that wrote it arrived.
	rowReadAt time.Time
	// deadline is when the own lease expires; zero if the shard is not held.
	deadline time.Time
	// ownEpoch is the epoch at which this entry holds or last held the shard.
	ownEpoch int64
	// previousHolder is the holder before the last own acquisition or
	// takeover.
	previousHolder requester.EntryID
	// takenOver is true if the shard is held by a takeover, so that the table
	// does not name this entry as holder.
	takenOver bool
	// acquireUnresolved is true while an own acquisition may still commit.
	acquireUnresolved bool
	// grantGiven is the last grant given to another entry.
	grantGiven grant
	// grantsReceived holds the entries that have granted the shard in the
	// current round; nil if no round has started since the lease was last
	// renewed or dropped.
	grantsReceived map[requester.EntryID]bool
	// round is the number of the current or last round of grants, and roundAt
	// is when it started.
	round            int64
	roundAt          time.Time
	releaseStartedAt time.Time
}

// grant bars this entry from acquiring a shard until the grant expires. It is
// given to the holder of the shard or to the entry that takes the shard over.
type grant struct {
	holder      requester.EntryID
	incarnation int64
	epoch       int64
	expires     time.Time
}

// Leaser acquires, renews, extends and releases the leases of one entry on the
// shards of its data centre.
type Leaser struct {
	options Options
	chart   *charter.Chart
	shards  []*shardState
	members map[requester.EntryID]Member
	// membersRevision is the table revision of the member list.
	membersRevision int64
	// registeredRevision is the revision of the own registration; 0 while the
	// entry is not registered.
	registeredRevision int64
	registerInFlight   bool
	renewalInFlight    bool
	renewSentAt        time.Time
	// lastReadAt is when the table last answered a read.
	lastReadAt time.Time
	draining   bool
	// lastRound is the number of the last round of grants. Numbers begin at the
	// incarnation, a time in nanoseconds, so that no reply to another incarnation of
	// this entry counts.
	lastRound int64
	startedAt time.Time
	// contactedAt is when every listed member had sent a heartbeat to this
	// entry or was proven dead; zero before.
	contactedAt time.Time
	// hostListed holds each entry that the host list has ever named, with
	// true if the latest list still names it. The list lags: an entry that it
	// has never named may be new.
	hostListed map[requester.EntryID]bool
}

// New returns a Leaser that is not registered and holds no shard.
func New(options Options, now time.Time) *Leaser {
	l := &Leaser{options: options, chart: charter.MustLoad("seat"), members: make(map[requester.EntryID]Member), hostListed: make(map[requester.EntryID]bool), startedAt: now, lastRound: options.Incarnation}
	for range options.Shards {
		l.shards = append(l.shards, &shardState{machine: l.chart.Start()})
	}
	return l
}

// Holds reports whether the entry holds the shard at now and is not releasing
// it, and returns the epoch.
func (l *Leaser) Holds(number int, now time.Time) (epoch int64, ok bool) {
	shard := l.shards[number]
	if !shard.machine.In("Held", "Extended") || !now.Before(shard.deadline) {
		return 0, false
	}
	return shard.ownEpoch, true
}

// Owns reports whether the entry holds the shard at now, also while it is
// releasing it: work that was started under the lease may be completed.
func (l *Leaser) Owns(number int, now time.Time) bool {
	shard := l.shards[number]
	return shard.machine.In("Held", "Extended", "Releasing") && now.Before(shard.deadline)
}

// Deadline returns when the lease of a held shard expires.
func (l *Leaser) Deadline(number int) time.Time { return l.shards[number].deadline }

// PreviousHolder returns the entry that held the shard before this one; empty
// if the shard was released or never held.
func (l *Leaser) PreviousHolder(number int) requester.EntryID { return l.shards[number].previousHolder }

// Extended reports whether the shard is held by grants of the members instead
// of a lease that the table has confirmed.
func (l *Leaser) Extended(number int) bool { return l.shards[number].machine.In("Extended") }

// Leases returns the shards held at now and their epochs.
func (l *Leaser) Leases(now time.Time) []ShardLease {
	var held []ShardLease
	for number := range l.shards {
		if epoch, ok := l.Holds(number, now); ok {
			held = append(held, ShardLease{Seat: Shard{DataCentre: l.options.DataCentre, Number: number}, Epoch: epoch})
		}
	}
	return held
}

// Members returns the registered entries, sorted by name.
func (l *Leaser) Members() []Member {
	found := make([]Member, 0, len(l.members))
	for _, member := range l.members {
		found = append(found, member)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].EntryID < found[j].EntryID })
	return found
}

// Registered reports whether the entry is registered as a member in the table.
func (l *Leaser) Registered() bool { return l.registeredRevision > 0 }

// StoreDown reports whether the table has answered no read for more than half
// a term.
func (l *Leaser) StoreDown(now time.Time) bool {
	return now.Sub(later(l.lastReadAt, l.startedAt)) > l.options.Term/2
}

// OnHostList records the entries that the platform's host list names.
func (l *Leaser) OnHostList(entries []requester.EntryID) {
	for id := range l.hostListed {
		l.hostListed[id] = false
	}
	for _, id := range entries {
		l.hostListed[id] = true
	}
}

// delisted reports whether the host list once named an entry and no longer
// does.
func (l *Leaser) delisted(id requester.EntryID) bool {
	listed, known := l.hostListed[id]
	return known && !listed
}

// loseLease drops the lease of a shard that another entry has acquired or may
// acquire, and abandons an acquisition in progress.
func (l *Leaser) loseLease(shard *shardState) {
	if shard.machine.Can("Lost") {
		shard.dropLease("Lost")
	}
}

// dropLease ends the lease of a shard, or an acquisition in progress, by an
// event that its chart allows.
func (s *shardState) dropLease(event charter.Event) {
	_ = s.machine.Fire(event)
	s.deadline = time.Time{}
	s.grantsReceived = nil
	s.takenOver = false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
