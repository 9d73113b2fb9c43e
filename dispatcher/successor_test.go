package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLostCapacityIsSentAgain guards against an owner that knows no successor for as
// long as its links stay up, because one message was lost.
func TestLostCapacityIsSentAgain(t *testing.T) {
	is := is.New(t)
	s := newLinkedSite(t, 2, 0)
	owner := s.entries[s.owner()]
	s.await("the cores of the other entry", func() bool { return owner.StrongestPeer() != "" })
	owner.ForgetCapacities()
	is.True(owner.StrongestPeer() == "")
	s.await("the cores of the other entry again", func() bool { return owner.StrongestPeer() != "" })
}

// TestDrainingEntryIsNoSuccessor guards against an entry that counts as a possible
// successor again, although it is draining, because its link was replaced.
func TestDrainingEntryIsNoSuccessor(t *testing.T) {
	s := newLinkedSite(t, 2, 0)
	number := s.owner()
	owner, other := s.entries[number], s.entries[1-number]
	s.await("the cores of the other entry", func() bool { return owner.StrongestPeer() != "" })
	other.Drain(context.Background())
	s.await("that the other entry is draining", func() bool { return owner.StrongestPeer() == "" })
	for range 5 {
		s.proxies[number].CloseConnections()
		for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			if id := owner.StrongestPeer(); id != "" {
				t.Fatalf("%s is draining and counts as a successor", id)
			}
		}
	}
}
