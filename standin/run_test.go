package standin

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/scheduler"
)

// TestRunNamesItsLife checks that a run is shown with the birth of the life that ran it,
// also after the next one has begun.
func TestRunNamesItsLife(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC)
	w, _ := testWorkers(now)
	is.Equal(w.Start(startOrder(testTask, 1, 5*time.Second), now.Add(time.Second)), scheduler.OrderAccepted)
	w.Crash(now.Add(1050 * time.Millisecond))
	w.Restart(now.Add(2 * time.Second))
	is.Equal(w.Start(startOrder(testTask, 2, 5*time.Second), now.Add(3*time.Second)), scheduler.OrderAccepted)
	runs, _ := w.Runs(now.Add(4 * time.Second))
	is.Equal(len(runs), 2)
	host := string(w.info.HostID)
	is.Equal(runs[0].String(), "run 1 on "+host+" born 12:00:00.000, 12:00:01.000 to 12:00:01.050 Unknown")
	is.Equal(runs[1].String(), "run 2 on "+host+" born 12:00:02.000, 12:00:03.000 to 12:00:03.100 Done")
}
