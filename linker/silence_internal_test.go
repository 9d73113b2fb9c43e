package linker

import (
	"testing"

	"github.com/matryer/is"
)

// TestIdleCountsRounds guards against closing a link because this process was
// paused: a round counts once, however long before it the last one was.
func TestIdleCountsRounds(t *testing.T) {
	is := is.New(t)
	var i idle
	is.Equal(i.pass(1), 0)
	for round := 1; round < closeRounds; round++ {
		is.Equal(i.pass(1), round)
	}
	is.Equal(i.pass(2), 0)
	is.Equal(i.pass(2), 1)
}
