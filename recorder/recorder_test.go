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
	waiters, given := registry.Finish("r", answer, time.Time{})
	is.Equal(waiters, []Origin{{Token: 1}, {Token: 2}})
	is.Equal(given, answer)
	verdict, got := registry.Register(call, Origin{Token: 3})
	is.Equal(verdict, VerdictEnded)
	is.Equal(got.Outcome, requester.OutcomeAnswered)
}

// TestSupersededRecordProvesNothing guards against a call that runs twice: a
// coordinator that gets a shard back must not run again what its own old record
// says did not run.
func TestSupersededRecordProvesNothing(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry()
	call := requester.Call{RequestID: "ended"}
	notRun := requester.Answer{RequestID: "ended", Outcome: requester.OutcomeNotRun}
	_, _ = registry.Register(call, Origin{Token: 1})
	registry.SetWriteAhead("ended", 7)
	_, _ = registry.Finish("ended", notRun, time.Time{})
	_, _ = registry.Register(requester.Call{RequestID: "pending"}, Origin{Token: 2})
	_, _ = registry.Register(requester.Call{RequestID: "of another shard"}, Origin{Token: 3})

	registry.Supersede(func(id requester.RequestID) bool { return id != "of another shard" })

	verdict, answer := registry.Register(call, Origin{Token: 4})
	is.Equal(verdict, VerdictEnded)
	is.Equal(answer, DuplicateAnswer("ended"))
	is.True(!registry.Reopen(call, Origin{Token: 4}))
	waiters, answer := registry.Finish("pending", requester.Answer{RequestID: "pending", Outcome: requester.OutcomeNotRun}, time.Time{})
	is.Equal(waiters, []Origin{{Token: 2}})
	is.Equal(answer, DuplicateAnswer("pending"))
	_, answer = registry.Finish("of another shard", requester.Answer{RequestID: "of another shard", Outcome: requester.OutcomeNotRun}, time.Time{})
	is.Equal(answer.Outcome, requester.OutcomeNotRun)

	// What the coordinator in between tells is better than what is known here.
	answered := requester.Answer{RequestID: "ended", Outcome: requester.OutcomeAnswered}
	registry.Import(EndedRequest{RequestID: "ended", Answer: answered}, time.Time{})
	_, answer = registry.Register(call, Origin{Token: 5})
	is.Equal(answer, answered)
}
