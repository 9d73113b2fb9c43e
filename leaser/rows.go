package leaser

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/requester"
)

// The table has a row for each shard, which names its holder, and one for each member,
// an entry that is registered in the data centre. A row's revision shows which of two
// versions is newer; a condition on it lets a transaction commit only on the version
// that this entry has read.

// ShardRow is the value of a shard's row.
type ShardRow struct {
	Holder      requester.EntryID
	Incarnation int64
	Address     netip.AddrPort
	Epoch       int64
	// Deadline is by the holder's clock. It is shown to operators and decides
	// nothing.
	Deadline time.Time
	// MembersRevision is the table revision of the member list that the
	// holder had read when it wrote the row.
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

// RowPrefix returns the prefix of the keys of a data centre's shard rows.
func RowPrefix(dataCentre requester.DataCentre) string { return "seat/" + string(dataCentre) + "/" }

// MemberPrefix returns the prefix of the keys of a data centre's member rows.
func MemberPrefix(dataCentre requester.DataCentre) string {
	return "member/" + string(dataCentre) + "/"
}

func (l *Leaser) shardKey(number int) string {
	return RowPrefix(l.options.DataCentre) + strconv.Itoa(number)
}

func (l *Leaser) memberKey(id requester.EntryID) string {
	return MemberPrefix(l.options.DataCentre) + string(id)
}

// ReadRequest returns the table read whose result OnRows expects.
func (l *Leaser) ReadRequest() keeper.ReadRequest {
	return keeper.ReadRequest{Prefixes: []string{RowPrefix(l.options.DataCentre), MemberPrefix(l.options.DataCentre)}}
}

// OnRows applies the result of ReadRequest. Its member list is ignored if a
// newer one is known. The error is a *RowError.
func (l *Leaser) OnRows(now time.Time, result keeper.ReadResult) error {
	l.lastReadAt = now
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
		if err != nil || number < 0 || number >= len(l.shards) {
			continue
		}
		seen[number] = true
		if err := l.onShardRow(now, number, row); err != nil {
			return err
		}
	}
	own, ok := l.members[l.options.Self]
	if ok && own.Incarnation == l.options.Incarnation {
		l.registeredRevision = own.Revision
	} else if !l.registerInFlight {
		l.registeredRevision = 0
	}
	return nil
}

// RowError reports a row whose value can't be decoded.
type RowError struct {
	Key   string
	Cause error
}

func (e *RowError) Error() string { return "decode row " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Cause }

// onShardRow applies a shard's row. A row no newer than the known one is
// ignored.
func (l *Leaser) onShardRow(now time.Time, number int, row keeper.Row) error {
	shard := l.shards[number]
	if row.Revision <= shard.rowRevision {
		return nil
	}
	var value ShardRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return &RowError{Key: row.Key, Cause: err}
	}
	shard.row = value
	shard.rowRevision = row.Revision
	shard.rowReadAt = now
	if !l.namesSelf(value) {
		l.loseLease(shard)
	}
	if !shard.machine.In("Claiming") {
		// An unresolved acquisition is conditional on an older revision and
		// can no longer commit.
		shard.acquireUnresolved = false
	}
	return nil
}

// namesSelf reports whether a row names this entry, in this incarnation, as
// holder.
func (l *Leaser) namesSelf(row ShardRow) bool {
	return row.Holder == l.options.Self && row.Incarnation == l.options.Incarnation
}
