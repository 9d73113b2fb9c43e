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
	book := NewBook()
	origin := Origin{Token: 1}
	verdict, _ := book.Begin(requester.Call{RequestID: "r"}, origin)
	is.Equal(verdict, VerdictNew)
	is.True(book.Leave("r", origin))
	is.True(!book.Leave("r", origin))
	is.True(!book.Leave("r", Origin{Home: "r"}))
}

// TestDuplicatesJoin checks that attempts meet and get the same answer.
func TestDuplicatesJoin(t *testing.T) {
	is := is.New(t)
	book := NewBook()
	call := requester.Call{RequestID: "r"}
	_, _ = book.Begin(call, Origin{Token: 1})
	verdict, _ := book.Begin(call, Origin{Token: 2})
	is.Equal(verdict, VerdictJoined)
	answer := requester.Answer{RequestID: "r", Outcome: requester.OutcomeAnswered}
	is.Equal(book.Finish("r", answer, time.Time{}), []Origin{{Token: 1}, {Token: 2}})
	verdict, got := book.Begin(call, Origin{Token: 3})
	is.Equal(verdict, VerdictEnded)
	is.Equal(got.Outcome, requester.OutcomeAnswered)
}
