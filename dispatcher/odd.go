package dispatcher

import (
	"time"

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

// decodeJob decodes and checks the row of a job.
func decodeJob(key string, value []byte) (scheduler.Job, error) {
	job, err := scheduler.DecodeJob(value)
	if err != nil {
		return scheduler.Job{}, err
	}
	return job, checkJob(key, &job)
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

// Limits of the values in the owner's row.
const (
	// maxEpoch leaves room for runsPerEpoch run numbers in each epoch.
	maxEpoch = 1 << 40
	maxCores = 1 << 20
)

// decodeOwner decodes the owner's row.
func decodeOwner(value []byte) (ownerRow, error) {
	var row ownerRow
	if err := scheduler.DecodeRow(value, &row); err != nil {
		return ownerRow{}, err
	}
	switch {
	case row.Epoch < 1 || row.Epoch > maxEpoch:
		return ownerRow{}, errors.Newf("decode owner's row: got Epoch %d, expected 1 to %d", row.Epoch, int64(maxEpoch))
	case row.TermMillis < 0 || row.TermMillis > maxOwnerTerm.Milliseconds():
		return ownerRow{}, errors.Newf("decode owner's row: got TermMillis %d, expected 0 to %d", row.TermMillis, maxOwnerTerm.Milliseconds())
	case !(row.MaxCores >= 0 && row.MaxCores <= maxCores):
		return ownerRow{}, errors.Newf("decode owner's row: got MaxCores %g, expected 0 to %d", row.MaxCores, maxCores)
	}
	return row, nil
}

// vacate returns the row of a cell whose owner's row was lost. last is the last
// one that this entry observed. The next owner must have a higher epoch than any
// before it, and must assume the most that the last owner may have done. There
// may have been owners whose rows this entry never observed, so the epoch is at
// least the time: an epoch lasts for longer than a second on average.
func vacate(now time.Time, last ownerRow) ownerRow {
	return ownerRow{
		Holder: last.Holder, Address: last.Address, Epoch: max(last.Epoch, now.Unix()), MaxCores: last.MaxCores,
		Released: true, Eager: true, TermMillis: maxOwnerTerm.Milliseconds(),
	}
}
