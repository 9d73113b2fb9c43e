// Package leaser decides which entry holds which seat.
//
// Each data centre has a fixed number of seats. A seat is a row of the table
// service: holder, epoch, deadline. The endpoints and the requests of a data
// centre are divided among its seats by rendezvous hashing, and one more seat,
// the placement seat, stands for its workers. Whoever holds a seat owns what
// is divided to it. Only entries of the data centre may hold its seats.
//
// # Safety
//
// A holder counts its lease from the moment it sent a renewal that committed.
// A claimant counts from the moment it first read the row revision that it
// wants to replace and waits a term and a margin. Both use their own monotonic
// clocks, so no clocks have to agree; only their rates do, within the margin.
// Claim and renewal are compare-and-set on the same row, so that one of them
// loses.
//
// # Extension
//
// While the table can't be reached, a holder may go on for as long as nobody
// else can have taken the seat. Each renewal stores the table revision at
// which the holder last read the list of members (the entries registered in
// the data centre). A member registered at or below that revision is known to
// the holder and must promise, for a bounded time, not to claim the seat; a
// member registered later is a newcomer and may claim only with proof that the
// holder is dead. So the promises of all known members, less those proven
// dead, cover everybody who could claim.
//
// # Adoption
//
// A call seat whose holder has died while the table can't be reached may be
// adopted by the promise of everybody. The dead holder may have renewed after
// the adopter last read the table, and so may have known members that the
// adopter does not. Therefore an entry claims nothing before it has met, by an
// exchange of heartbeats, every member listed when it registered, or has proof
// of its death, and then waits a term and a margin: an adoption that began
// before the meeting has ended by then or was extended with its promise.
// docs/design/seats.md has the table of cases.
//
// A Leaser owns no goroutine, lock, clock or socket: its methods take the time
// and what happened, and return what to do.
package leaser

import (
	"encoding/json"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatstall/charter"
	"kumquatstall/keeper"
	"kumquatstall/requester"
)

// Seat identifies a seat of a data centre.
type Shard struct {
	DataCentre requester.DataCentre
	Number     int
}

// PlacementShard is the number of the seat that stands for the workers.
const PlacementShard = 0

// Options configures a Leaser. All fields but Margin must be set.
type Options struct {
	Self        requester.EntryID
	Incarnation int64
	Address     netip.AddrPort
	DataCentre  requester.DataCentre
	// Seats is the number of seats of the data centre, the placement seat
	// included. It is the same on all entries.
	Shards int
	// Term is how long a lease lasts.
	Term time.Duration
	// Margin covers differing clock rates and requests on their way.
	Margin time.Duration
}

// ShardRow is the value of a seat's row.
type ShardRow struct {
	Holder      requester.EntryID
	Incarnation int64
	Address     netip.AddrPort
	Epoch       int64
	// Deadline is by the holder's clock and informs operators only.
	Deadline time.Time
	// MembersRevision is the table revision of the member list that the
	// holder knew.
	MembersRevision int64
}

// MemberRow is the value of a member's row.
type MemberRow struct {
	EntryID     requester.EntryID
	Incarnation int64
	Address     netip.AddrPort
}

// Member is a registered entry of the data centre.
type Member struct {
	MemberRow
	// Revision is the table revision of the registration.
	Revision int64
}

// Holding tells other entries of a seat that its sender holds.
type ShardLease struct {
	Seat  Shard
	Epoch int64
}

// seatState is one seat of the own data centre.
type seatState struct {
	machine charter.Machine
	row     ShardRow
	// rowRevision is 0 while the row is absent.
	rowRevision int64
	// seenAt is when rowRevision was first read.
	seenAt time.Time
	// deadline ends the own lease; zero where the seat is not held.
	deadline time.Time
	// ownEpoch is the epoch under which the seat is or was last held.
	ownEpoch int64
	// previous is the holder before the own claim.
	previous requester.EntryID
	// adopted tells that the table does not name this entry as holder.
	adopted bool
	// claimOpen tells that an own claim may still commit.
	claimOpen bool
	// promise is what was promised to another entry.
	promise promise
	// granted holds the promises got in the current round of extension.
	granted   map[requester.EntryID]bool
	round     int64
	roundAt   time.Time
	releaseAt time.Time
}

type promise struct {
	holder      requester.EntryID
	incarnation int64
	epoch       int64
	until       time.Time
}

// Leaser decides about the seats of one data centre.
type Leaser struct {
	options Options
	chart   *charter.Chart
	seats   []*seatState
	members map[requester.EntryID]Member
	// membersRevision is the table revision of the member list.
	membersRevision int64
	// registered is the own registration's revision, 0 before it.
	registered   int64
	registerOpen bool
	renewalOpen  bool
	renewSentAt  time.Time
	// readOKAt is when the table last answered a read.
	readOKAt    time.Time
	leaving     bool
	roundNumber int64
	startedAt   time.Time
	// introducedAt is when every member listed had been met or was dead;
	// zero before.
	introducedAt time.Time
	// listed tells, for each entry that the host list has named, whether it
	// does so still. The list lags: an entry never named may be a new one.
	listed map[requester.EntryID]bool
}

// New returns a Leaser that holds nothing.
func New(options Options, now time.Time) *Leaser {
	l := &Leaser{options: options, chart: charter.MustLoad("seat"), members: make(map[requester.EntryID]Member), listed: make(map[requester.EntryID]bool), startedAt: now}
	for range options.Shards {
		l.seats = append(l.seats, &seatState{machine: l.chart.Start()})
	}
	return l
}

// RowPrefix is the prefix of the rows of a data centre's seats.
func RowPrefix(dataCentre requester.DataCentre) string { return "seat/" + string(dataCentre) + "/" }

// MemberPrefix is the prefix of the rows of a data centre's members.
func MemberPrefix(dataCentre requester.DataCentre) string {
	return "member/" + string(dataCentre) + "/"
}

func (l *Leaser) seatKey(number int) string {
	return RowPrefix(l.options.DataCentre) + strconv.Itoa(number)
}

func (l *Leaser) memberKey(id requester.EntryID) string {
	return MemberPrefix(l.options.DataCentre) + string(id)
}

// ReadRequest asks for the rows that OnRows needs.
func (l *Leaser) ReadRequest() keeper.ReadRequest {
	return keeper.ReadRequest{Prefixes: []string{RowPrefix(l.options.DataCentre), MemberPrefix(l.options.DataCentre)}}
}

// ShardOf divides a name among the call seats of a data centre with that many
// seats.
func ShardOf(dataCentre requester.DataCentre, seats int, name string) Shard {
	best, bestScore := 1, uint64(0)
	nameHash := xxhash.Sum64String(name)
	for number := 1; number < seats; number++ {
		score := mix(nameHash, uint64(number))
		if score > bestScore {
			best, bestScore = number, score
		}
	}
	return Shard{DataCentre: dataCentre, Number: best}
}

// mix combines two numbers into one that is spread evenly.
func mix(a, b uint64) uint64 {
	x := a ^ (b+1)*0x9E3779B97F4A7C15
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	return x ^ x>>31
}

// Holds reports whether the entry holds the seat at now, and the epoch.
func (l *Leaser) Holds(number int, now time.Time) (epoch int64, ok bool) {
	seat := l.seats[number]
	if !seat.machine.In("Held", "Extended") || !now.Before(seat.deadline) {
		return 0, false
	}
	return seat.ownEpoch, true
}

// Owns is Holds, but true as well while the seat is being released: what was
// begun under it may be completed.
func (l *Leaser) Owns(number int, now time.Time) bool {
	seat := l.seats[number]
	return seat.machine.In("Held", "Extended", "Releasing") && now.Before(seat.deadline)
}

// Deadline returns when the lease of a held seat ends.
func (l *Leaser) Deadline(number int) time.Time { return l.seats[number].deadline }

// Previous returns who held the seat before this entry; empty if nobody did.
func (l *Leaser) PreviousHolder(number int) requester.EntryID { return l.seats[number].previous }

// Extended reports whether the seat is held by promises and not by the table.
func (l *Leaser) Extended(number int) bool { return l.seats[number].machine.In("Extended") }

// Holdings returns the seats held at now.
func (l *Leaser) Leases(now time.Time) []ShardLease {
	var held []ShardLease
	for number := range l.seats {
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

// Registered reports whether the entry's own registration stands in the table.
func (l *Leaser) Registered() bool { return l.registered > 0 }

// StoreDown reports whether the table has not answered for a third of a term.
func (l *Leaser) StoreDown(now time.Time) bool {
	return now.Sub(later(l.readOKAt, l.startedAt)) > l.options.Term/2
}

// OnHostList takes in the entries on the platform's host list.
func (l *Leaser) OnHostList(entries []requester.EntryID) {
	for id := range l.listed {
		l.listed[id] = false
	}
	for _, id := range entries {
		l.listed[id] = true
	}
}

// gone reports whether an entry was on the host list once and is not any more.
func (l *Leaser) gone(id requester.EntryID) bool {
	listed, known := l.listed[id]
	return known && !listed
}

// OnRows takes in the rows of ReadRequest as of a table revision.
func (l *Leaser) OnRows(now time.Time, result keeper.ReadResult) error {
	l.readOKAt = now
	if result.Revision >= l.membersRevision {
		l.members = make(map[requester.EntryID]Member)
		l.membersRevision = result.Revision
	}
	seen := make(map[int]bool)
	for _, row := range result.Rows {
		if strings.HasPrefix(row.Key, MemberPrefix(l.options.DataCentre)) {
			var member MemberRow
			if err := json.Unmarshal(row.Value, &member); err != nil {
				return &RowError{Key: row.Key, Cause: err}
			}
			if result.Revision >= l.membersRevision {
				l.members[member.EntryID] = Member{MemberRow: member, Revision: row.Revision}
			}
			continue
		}
		number, err := strconv.Atoi(strings.TrimPrefix(row.Key, RowPrefix(l.options.DataCentre)))
		if err != nil || number < 0 || number >= len(l.seats) {
			continue
		}
		seen[number] = true
		if err := l.onSeatRow(now, number, row); err != nil {
			return err
		}
	}
	own, ok := l.members[l.options.Self]
	if ok && own.Incarnation == l.options.Incarnation {
		l.registered = own.Revision
	} else if !l.registerOpen {
		l.registered = 0
	}
	return nil
}

// RowError reports a row whose value can't be read.
type RowError struct {
	Key   string
	Cause error
}

func (e *RowError) Error() string { return "row " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Cause }

// onSeatRow takes in a seat's row. Rows older than what is known are ignored.
func (l *Leaser) onSeatRow(now time.Time, number int, row keeper.Row) error {
	seat := l.seats[number]
	if row.Revision <= seat.rowRevision {
		return nil
	}
	var value ShardRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return &RowError{Key: row.Key, Cause: err}
	}
	seat.row = value
	seat.rowRevision = row.Revision
	seat.seenAt = now
	if !l.mine(value) {
		l.lose(seat)
	}
	if !seat.machine.In("Claiming") {
		// An unresolved claim named an older revision and can't commit now.
		seat.claimOpen = false
	}
	return nil
}

// mine reports whether a row names this very process as holder.
func (l *Leaser) mine(row ShardRow) bool {
	return row.Holder == l.options.Self && row.Incarnation == l.options.Incarnation
}

// lose gives up a seat that another entry has taken or may take.
func (l *Leaser) lose(seat *seatState) {
	event := charter.Event("Lost")
	if !seat.machine.Can(event) {
		return
	}
	_ = seat.machine.Fire(event)
	seat.deadline = time.Time{}
	seat.granted = nil
	seat.adopted = false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Choose draws one of names by a key, by rendezvous hashing: a name that is
// added or removed moves only the keys that fall to it.
func Choose(names []string, key string) string {
	best, bestScore := "", uint64(0)
	keyHash := xxhash.Sum64String(key)
	for _, name := range names {
		score := mix(keyHash, xxhash.Sum64String(name))
		if best == "" || score > bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}
