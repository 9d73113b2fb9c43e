package linker

import (
	"testing"

	"github.com/matryer/is"
)

// TestSilenceCountsRounds guards against closing a link because this process was
// paused: the first round after a pause is one round, however long the pause was.
func TestSilenceCountsRounds(t *testing.T) {
	is := is.New(t)
	var signs lifeSigns
	var s silence
	signs.received()
	is.Equal(s.pass(&signs), 0)
	for round := 1; round < closeRounds; round++ {
		is.Equal(s.pass(&signs), round)
	}
	signs.received()
	is.Equal(s.pass(&signs), 0)
	is.Equal(s.pass(&signs), 1)
}
