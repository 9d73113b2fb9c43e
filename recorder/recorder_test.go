package recorder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// TestLeaveCountsOnce checks that an origin that was removed already, or never
// waited, is not reported as the last waiter. Otherwise package decider, which
// then cancels the call of the coordinator as well, would recurse without end.
func TestLeaveCountsOnce(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry()
	origin := Origin{Token: 1}
	verdict, _ := registry.Register(requester.Call{RequestID: "r"}, origin)
	is.Equal(verdict, VerdictNew)
	is.True(registry.RemoveWaiter("r", origin))
	is.True(!registry.RemoveWaiter("r", origin))
	is.True(!registry.RemoveWaiter("r", Origin{CoordinatedRequest: "r"}))
}

// TestDuplicatesJoin checks that duplicate attempts are joined to the first
// one and get the same answer, also after the request has ended.
func TestDuplicatesJoin(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry()
	call := requester.Call{RequestID: "r"}
	_, _ = registry.Register(call, Origin{Token: 1})
	verdict, _ := registry.Register(call, Origin{Token: 2})
	is.Equal(verdict, VerdictJoined)
	answer := requester.Answer{RequestID: "r", Outcome: requester.OutcomeAnswered}
	is.Equal(registry.Finish("r", answer, time.Time{}), []Origin{{Token: 1}, {Token: 2}})
	verdict, got := registry.Register(call, Origin{Token: 3})
	is.Equal(verdict, VerdictEnded)
	is.Equal(got.Outcome, requester.OutcomeAnswered)
}
