package leaser

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/keeper"
	"kumquatstall/requester"
)

const (
	testTerm   = 3 * time.Second
	testMargin = 300 * time.Millisecond
	testShards = 3
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newLeaser(id requester.EntryID, incarnation int64) *Leaser {
	return New(Options{
		Self: id, Incarnation: incarnation, DataCentre: "dc", Shards: testShards, Term: testTerm, Margin: testMargin,
	}, testStart)
}

func memberRow(id requester.EntryID, incarnation, revision int64) keeper.Row {
	return keeper.Row{Key: MemberPrefix("dc") + string(id), Value: mustMarshal(MemberRow{EntryID: id, Incarnation: incarnation}), Revision: revision}
}

func shardRow(number string, row ShardRow, revision int64) keeper.Row {
	return keeper.Row{Key: RowPrefix("dc") + number, Value: mustMarshal(row), Revision: revision}
}

func applyRows(t *testing.T, l *Leaser, now time.Time, revision int64, rows ...keeper.Row) {
	t.Helper()
	if err := l.OnRows(now, keeper.ReadResult{Rows: rows, Revision: revision}); err != nil {
		t.Fatal(err)
	}
}

// acquisitionsIn counts the acquisitions in a decision.
func acquisitionsIn(decision Decision) int {
	count := 0
	for _, operation := range decision.Operations {
		if operation.Purpose == PurposeAcquire {
			count++
		}
	}
	return count
}

// TestNewcomerMeetsEverybodyFirst checks that a newly registered entry
// acquires a shard that was held before only a term and a margin after every
// member has sent it a heartbeat. If it acquired the shard earlier, another
// entry that it does not know might still hold it by a takeover.
func TestNewcomerMeetsEverybodyFirst(t *testing.T) {
	is := is.New(t)
	l := newLeaser("new", 1)
	rows := []keeper.Row{
		memberRow("new", 1, 10),
		memberRow("other", 1, 5),
		shardRow("1", ShardRow{Epoch: 4, MembersRevision: 9}, 9), // released
	}
	peer := Peer{EntryID: "other", Connected: true, Incarnation: 1}
	now := testStart
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		applyRows(t, l, now, 10, rows...)
		is.Equal(acquisitionsIn(l.Tick(now, []Peer{peer})), 0) // no heartbeat of other yet
	}
	peer.HeartbeatReceived = true
	contactedAt := now.Add(100 * time.Millisecond)
	for now.Before(contactedAt.Add(testTerm + testMargin - 100*time.Millisecond)) {
		now = now.Add(100 * time.Millisecond)
		applyRows(t, l, now, 10, rows...)
		for _, operation := range l.Tick(now, []Peer{peer}).Operations {
			is.True(operation.Shards[0] != 1) // a takeover may not have expired
		}
	}
	acquired := false
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		applyRows(t, l, now, 10, rows...)
		for _, operation := range l.Tick(now, []Peer{peer}).Operations {
			acquired = acquired || operation.Purpose == PurposeAcquire && operation.Shards[0] == 1
		}
	}
	is.True(acquired)
}

// TestNewcomerMeetsPresentIncarnations guards against an entry that acquires a shard after a
// heartbeat of a member's former incarnation: the present one may not know of this entry, and
// hold the shard by a takeover.
func TestNewcomerMeetsPresentIncarnations(t *testing.T) {
	is := is.New(t)
	l := newLeaser("new", 1)
	rows := []keeper.Row{
		memberRow("new", 1, 10),
		memberRow("other", 2, 9),
		shardRow("1", ShardRow{Epoch: 4, MembersRevision: 8}, 8), // released
	}
	peer := Peer{EntryID: "other", Incarnation: 1, HeartbeatReceived: true}
	now := testStart
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		applyRows(t, l, now, 10, rows...)
		is.Equal(acquisitionsIn(l.Tick(now, []Peer{peer})), 0)
	}
	peer.Connected, peer.Incarnation = true, 2
	acquired := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		applyRows(t, l, now, 10, rows...)
		acquired += acquisitionsIn(l.Tick(now, []Peer{peer}))
	}
	is.True(acquired > 0)
}

// newHolder returns a leaser that holds shard 1 by the table.
func newHolder(t *testing.T) *Leaser {
	t.Helper()
	return newHolderOf(t, 1)
}

// newHolderOf is newHolder in a given incarnation.
func newHolderOf(t *testing.T, incarnation int64) *Leaser {
	t.Helper()
	l := newLeaser("holder", incarnation)
	applyRows(t, l, testStart, 2, memberRow("holder", incarnation, 1), memberRow("other", 1, 2))
	peers := []Peer{{EntryID: "other", Connected: true, Incarnation: 1, HeartbeatReceived: true, MayAcquire: true}}
	for now := testStart; now.Before(testStart.Add(2 * testTerm)); now = now.Add(50 * time.Millisecond) {
		applyRows(t, l, now, 2, memberRow("holder", incarnation, 1), memberRow("other", 1, 2))
		for _, operation := range l.Tick(now, peers).Operations {
			l.OnResult(now, operation, keeper.TransactResult{Committed: true, Revision: 3}, nil, true)
		}
		if _, ok := l.Holds(1, now); ok {
			return l
		}
	}
	t.Fatal("shard 1 was not acquired within two terms")
	return nil
}

// TestExtensionNeedsThisRoundsGrants checks that a lease is extended only by
// grants given in the current round. A grant of an earlier round may expire
// before the lease that it would extend.
func TestExtensionNeedsThisRoundsGrants(t *testing.T) {
	is := is.New(t)
	l := newHolder(t)
	peers := []Peer{{EntryID: "other", Connected: true, Incarnation: 1, HeartbeatReceived: true, MayAcquire: true}}
	deadline := l.Deadline(1)
	now := deadline.Add(-testTerm / 3)
	first := l.Tick(now, peers)
	is.Equal(len(first.GrantRequests), 1)
	now = now.Add(testTerm / 6)
	second := l.Tick(now, peers)
	is.Equal(len(second.GrantRequests), 1)
	granted := []int{1}
	l.OnGrantReply(now, "other", GrantReply{Round: first.GrantRequests[0].Round, Granted: granted}, first.GrantRequests[0], peers)
	is.Equal(l.Deadline(1), deadline) // a grant of an earlier round does not count
	l.OnGrantReply(now, "other", GrantReply{Round: second.GrantRequests[0].Round, Granted: granted}, second.GrantRequests[0], peers)
	is.Equal(l.Deadline(1), now.Add(testTerm))
	is.True(l.Extended(1))
}

// TestGrantForFormerLife guards against an entry that extends a lease by a grant that was
// given to its former incarnation, as both number their rounds alike.
func TestGrantForFormerLife(t *testing.T) {
	is := is.New(t)
	peers := []Peer{{EntryID: "other", Connected: true, Incarnation: 1, HeartbeatReceived: true, MayAcquire: true}}
	var replies []GrantReply
	for life := range 2 {
		l := newHolderOf(t, testStart.Add(time.Duration(life)*time.Second).UnixNano())
		deadline := l.Deadline(1)
		now := deadline.Add(-testTerm / 3)
		sent := l.Tick(now, peers).GrantRequests
		is.Equal(len(sent), 1)
		for _, reply := range replies {
			l.OnGrantReply(now, "other", reply, sent[0], peers)
		}
		is.Equal(l.Deadline(1), deadline)
		is.True(!l.Extended(1))
		replies = append(replies, GrantReply{Round: sent[0].Round, Granted: []int{1}})
	}
}

// TestGrantBinds checks that an entry that has granted a shard neither
// acquires it nor grants it to another entry until the grant expires.
func TestGrantBinds(t *testing.T) {
	is := is.New(t)
	l := newLeaser("other", 1)
	row := shardRow("1", ShardRow{Holder: "holder", Incarnation: 1, Epoch: 1, MembersRevision: 2}, 3)
	applyRows(t, l, testStart, 3, memberRow("holder", 1, 1), memberRow("other", 1, 2), row)
	wanted := []ShardLease{{Seat: Shard{DataCentre: "dc", Number: 1}, Epoch: 1}}
	now := testStart.Add(10 * time.Second)
	reply := l.OnGrantRequest(now, GrantRequest{Holder: "holder", Incarnation: 1, Round: 1, Seats: wanted}, nil)
	is.Equal(reply.Granted, []int{1})
	reply = l.OnGrantRequest(now, GrantRequest{Holder: "third", Incarnation: 1, Round: 1, Seats: wanted}, nil)
	is.Equal(len(reply.Granted), 0)
	is.True(!l.acquirable(now, l.shards[1], nil))
	is.True(now.Add(testTerm + testMargin).Equal(l.shards[1].grantGiven.expires))
}
