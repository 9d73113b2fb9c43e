package dispatcher

import (
	"github.com/cockroachdb/errors"

	"kumquatstall/scheduler"
)

// Rows and messages may have been written by something other than an entry of
// this version. One that cannot be used is odd: it is logged and counted, and
// what it describes is left as it was. It never affects others that were read
// with it.

// logOddRow logs and counts an odd row or message.
func (d *Dispatcher) logOddRow(key string, err error, consequence string) {
	d.counters.oddRows.Add(1)
	d.log.Error().Str("Event", "row").Str("Key", key).Err(err).Msg(consequence)
}

// checkJob checks that a job read from the row with the given key is one that
// an entry accepts: the core relies on its limits.
func checkJob(key string, job *scheduler.Job) error {
	if err := job.Validate(); err != nil {
		return errors.Wrap(err, "check job")
	}
	if expected := scheduler.JobKey(job.JobID); key != expected {
		return errors.Newf("check job: the row of job %q has another key than %q", job.JobID, expected)
	}
	return nil
}

const oddStateConsequence = "decoding a row failed; the state cache keeps its earlier version"

// decodeState decodes the row of a job's state.
func decodeState(value []byte) (scheduler.StateRow, error) {
	var row scheduler.StateRow
	if err := scheduler.DecodeRow(value, &row); err != nil {
		return scheduler.StateRow{}, err
	}
	if row.State < scheduler.StateQueued || row.State > scheduler.StateCancelled {
		return scheduler.StateRow{}, errors.Newf("decode state: got State %d, expected %d to %d", int(row.State), int(scheduler.StateQueued), int(scheduler.StateCancelled))
	}
	return row, nil
}
