package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLinesOfManyStops guards against an owner that writes two lines for each of very many runs that
// it stops (review/14): lines of stops are limited each second, a line says how many were left out,
// and none is left out of a few.
func TestLinesOfManyStops(t *testing.T) {
	tests := []struct {
		tasks int
		// lines is how many lines of each event there are in the second of the cancel.
		lines   int
		omitted bool
	}{
		{200, 200, false},
		{5000, maxStopLines, true},
	}
	for _, test := range tests {
		is := is.New(t)
		c := newWideCell(t)
		c.store, c.duration = newRowStore(t), time.Minute
		c.add(jobOf("wide", smallStep(test.tasks)))
		c.advanceFor(5 * time.Second)
		is.Equal(c.countAll(), test.tasks)
		c.keepsRecords = true
		c.core.Cancel(c.now, "wide")
		c.advanceFor(900 * time.Millisecond)
		is.Equal(c.countAll(), 0)
		counts := make(map[string]int)
		for _, record := range c.records {
			counts[record.Event]++
		}
		is.Equal(counts["stop"], test.lines)
		is.True(counts["run ended"] <= max(test.lines, maxStopLines))
		c.advanceFor(2 * time.Second)
		omitted := ""
		for _, record := range c.records {
			if strings.HasSuffix(record.Event, ", not logged") {
				omitted += record.Event + ": " + record.Why + "; "
			}
		}
		is.Equal(omitted != "", test.omitted)
		is.Equal(strings.Contains(omitted, "stop, not logged: 4500 after the first 500 of a second"), test.omitted)
	}
}
