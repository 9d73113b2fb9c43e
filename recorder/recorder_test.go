package recorder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// TestLeaveCountsOnce checks that an origin which left already is not taken
// for the last one again.
func TestLeaveCountsOnce(t *testing.T) {
	is := is.New(t)
	book := NewRegistry()
	origin := Origin{Token: 1}
	verdict, _ := book.Register(requester.Call{RequestID: "r"}, origin)
	is.Equal(verdict, VerdictNew)
	is.True(book.RemoveWaiter("r", origin))
	is.True(!book.RemoveWaiter("r", origin))
	is.True(!book.RemoveWaiter("r", Origin{CoordinatedRequest: "r"}))
}

// TestDuplicatesJoin checks that attempts meet and get the same answer.
func TestDuplicatesJoin(t *testing.T) {
	is := is.New(t)
	book := NewRegistry()
	call := requester.Call{RequestID: "r"}
	_, _ = book.Register(call, Origin{Token: 1})
	verdict, _ := book.Register(call, Origin{Token: 2})
	is.Equal(verdict, VerdictJoined)
	answer := requester.Answer{RequestID: "r", Outcome: requester.OutcomeAnswered}
	is.Equal(book.Finish("r", answer, time.Time{}), []Origin{{Token: 1}, {Token: 2}})
	verdict, got := book.Register(call, Origin{Token: 3})
	is.Equal(verdict, VerdictEnded)
	is.Equal(got.Outcome, requester.OutcomeAnswered)
}
