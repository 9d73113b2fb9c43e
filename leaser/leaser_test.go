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
	testSeats  = 3
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newLeaser(id requester.EntryID, incarnation int64) *Leaser {
	return New(Options{
		Self: id, Incarnation: incarnation, DataCentre: "dc", Shards: testSeats, Term: testTerm, Margin: testMargin,
	}, testStart)
}

func memberRow(id requester.EntryID, incarnation, revision int64) keeper.Row {
	return keeper.Row{Key: MemberPrefix("dc") + string(id), Value: mustMarshal(MemberRow{EntryID: id, Incarnation: incarnation}), Revision: revision}
}

func seatRow(number string, row ShardRow, revision int64) keeper.Row {
	return keeper.Row{Key: RowPrefix("dc") + number, Value: mustMarshal(row), Revision: revision}
}

func feed(t *testing.T, l *Leaser, now time.Time, revision int64, rows ...keeper.Row) {
	t.Helper()
	if err := l.OnRows(now, keeper.ReadResult{Rows: rows, Revision: revision}); err != nil {
		t.Fatal(err)
	}
}

func claimsIn(decision Decision) int {
	count := 0
	for _, step := range decision.Operations {
		if step.Purpose == PurposeAcquire {
			count++
		}
	}
	return count
}

// TestNewcomerMeetsEverybodyFirst checks that an entry which has just
// registered claims a seat that was held before only a term and a margin
// after it has met every member.
func TestNewcomerMeetsEverybodyFirst(t *testing.T) {
	is := is.New(t)
	l := newLeaser("new", 1)
	rows := []keeper.Row{
		memberRow("new", 1, 10),
		memberRow("other", 1, 5),
		seatRow("1", ShardRow{Epoch: 4, MembersRevision: 9}, 9), // released
	}
	peer := Peer{EntryID: "other", Connected: true, Incarnation: 1}
	now := testStart
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		feed(t, l, now, 10, rows...)
		is.Equal(claimsIn(l.Tick(now, []Peer{peer})), 0) // other has not been met
	}
	peer.HeartbeatReceived = true
	metAt := now.Add(100 * time.Millisecond)
	for now.Before(metAt.Add(testTerm + testMargin - 100*time.Millisecond)) {
		now = now.Add(100 * time.Millisecond)
		feed(t, l, now, 10, rows...)
		for _, step := range l.Tick(now, []Peer{peer}).Operations {
			is.True(step.Shards[0] != 1) // an adoption may still run
		}
	}
	claimed := false
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		feed(t, l, now, 10, rows...)
		for _, step := range l.Tick(now, []Peer{peer}).Operations {
			claimed = claimed || step.Purpose == PurposeAcquire && step.Shards[0] == 1
		}
	}
	is.True(claimed)
}

// holder returns a leaser that holds seat 1 by the table.
func holder(t *testing.T) *Leaser {
	t.Helper()
	l := newLeaser("holder", 1)
	feed(t, l, testStart, 2, memberRow("holder", 1, 1), memberRow("other", 1, 2))
	peers := []Peer{{EntryID: "other", Connected: true, Incarnation: 1, HeartbeatReceived: true, MayAcquire: true}}
	for now := testStart; now.Before(testStart.Add(2 * testTerm)); now = now.Add(50 * time.Millisecond) {
		feed(t, l, now, 2, memberRow("holder", 1, 1), memberRow("other", 1, 2))
		for _, step := range l.Tick(now, peers).Operations {
			l.OnResult(now, step, keeper.TransactResult{Committed: true, Revision: 3}, nil, true)
		}
		if _, ok := l.Holds(1, now); ok {
			return l
		}
	}
	t.Fatal("seat 1 was not claimed")
	return nil
}

// TestExtensionNeedsThisRoundsPromises checks that a lease is extended by the
// promise of every member, given in the round that asks.
func TestExtensionNeedsThisRoundsPromises(t *testing.T) {
	is := is.New(t)
	l := holder(t)
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
	is.Equal(l.Deadline(1), deadline) // an earlier round's promise is worth nothing
	l.OnGrantReply(now, "other", GrantReply{Round: second.GrantRequests[0].Round, Granted: granted}, second.GrantRequests[0], peers)
	is.Equal(l.Deadline(1), now.Add(testTerm))
	is.True(l.Extended(1))
}

// TestPromiseBinds checks that who has promised neither claims nor promises to
// another until the promise has ended.
func TestPromiseBinds(t *testing.T) {
	is := is.New(t)
	l := newLeaser("other", 1)
	row := seatRow("1", ShardRow{Holder: "holder", Incarnation: 1, Epoch: 1, MembersRevision: 2}, 3)
	feed(t, l, testStart, 3, memberRow("holder", 1, 1), memberRow("other", 1, 2), row)
	wanted := []ShardLease{{Seat: Shard{DataCentre: "dc", Number: 1}, Epoch: 1}}
	now := testStart.Add(10 * time.Second)
	reply := l.OnGrantRequest(now, GrantRequest{Holder: "holder", Incarnation: 1, Round: 1, Seats: wanted}, nil)
	is.Equal(reply.Granted, []int{1})
	reply = l.OnGrantRequest(now, GrantRequest{Holder: "third", Incarnation: 1, Round: 1, Seats: wanted}, nil)
	is.Equal(len(reply.Granted), 0)
	is.True(!l.claimable(now, l.seats[1], nil))
	is.True(now.Add(testTerm + testMargin).Equal(l.seats[1].promise.until))
}
