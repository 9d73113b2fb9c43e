package scheduler

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"kumquatstall/requester"
)

// State is the state of a job, as its row contains it.
type State int

//go:generate go tool -modfile=../tools/go.mod stringer -type=State -trimprefix=State

// The states of jobs.
const (
	StateQueued State = iota
	StateRunning
	StateCompleted
	StateFailed
	StateCancelled
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s >= StateCompleted }

// StateRow is the row from which every entry reads the state of a job.
type StateRow struct {
	_     struct{} `cbor:",toarray"`
	Queue string
	State State
	// Timed is true if the job has occurrences at set times; such a job does
	// not count as pending.
	Timed bool
	// EndedAt is the Unix time in seconds at which a final state was reached.
	EndedAt int64
}

// progressRow is the state of a job that a new owner cannot rebuild from the
// workers' reports. Once the job has ended, only State and EndedAt are set.
type progressRow struct {
	_ struct{} `cbor:",toarray"`
	// State and EndedAt have the same values as in the job's StateRow.
	State   State
	EndedAt int64
	// NextOccurrence is the first occurrence that has not been activated.
	// Earlier ones that are not in Occurrences have ended.
	NextOccurrence int64
	Occurrences    []occurrenceProgress
}

// occurrenceProgress is the progress of an occurrence that has been activated
// and has not ended.
type occurrenceProgress struct {
	_      struct{} `cbor:",toarray"`
	Number int64
	Steps  []stepProgress
}

// stepProgress is the progress of a step of one occurrence. Without crashes it
// is stored as its calmProgress alone.
type stepProgress struct {
	calmProgress
	// Crashes are the crashes under each task, Noted the starts that may become some,
	// Open the starts that may still be executed.
	Crashes map[int][]crash
	Noted   map[int]notedStart
	Open    map[int]openStart
}

// calmProgress is the progress of a step under which no worker has crashed. It
// is the layout of rows from before crashes were recorded.
type calmProgress struct {
	_ struct{} `cbor:",toarray"`
	// Started is the start record: tasks may have been started.
	Started bool
	// Done has a bit for each task, lowest index first. It is nil if no task is
	// done, or if all are and AllDone is true.
	Done    []byte
	AllDone bool
	// FailedRuns are the numbers of the failed runs of each task; those of a
	// gang are at index 0. A worker reports an end again until it is
	// acknowledged, and only the number shows that the run was counted before.
	FailedRuns  map[int][]RunNumber
	Checkpoints map[int]string
}

// crashedProgress is the stored form of a stepProgress with crashes.
type crashedProgress struct {
	_       struct{} `cbor:",toarray"`
	Calm    calmProgress
	Crashes map[int][]crash
}

// notedProgress is the stored form of a stepProgress with crashes and noted starts.
type notedProgress struct {
	_       struct{} `cbor:",toarray"`
	Calm    calmProgress
	Crashes map[int][]crash
	Noted   map[int]notedStart
}

// openProgress is the stored form of a stepProgress with open starts.
type openProgress struct {
	_       struct{} `cbor:",toarray"`
	Calm    calmProgress
	Crashes map[int][]crash
	Noted   map[int]notedStart
	Open    map[int]openStart
}

// MarshalCBOR encodes the progress of a step.
func (p stepProgress) MarshalCBOR() ([]byte, error) {
	switch {
	case len(p.Open) > 0:
		return rowEncoding.Marshal(openProgress{Calm: p.calmProgress, Crashes: p.Crashes, Noted: p.Noted, Open: p.Open})
	case len(p.Noted) > 0:
		return rowEncoding.Marshal(notedProgress{Calm: p.calmProgress, Crashes: p.Crashes, Noted: p.Noted})
	case len(p.Crashes) > 0:
		return rowEncoding.Marshal(crashedProgress{Calm: p.calmProgress, Crashes: p.Crashes})
	}
	return rowEncoding.Marshal(p.calmProgress)
}

// These are the first bytes of an encoded crashedProgress, notedProgress and
// openProgress, arrays of two to four items. A calmProgress has five.
const (
	crashedProgressHeader = 0x82
	notedProgressHeader   = 0x83
	openProgressHeader    = 0x84
)

// UnmarshalCBOR decodes the progress of a step.
func (p *stepProgress) UnmarshalCBOR(data []byte) error {
	*p = stepProgress{}
	header := byte(0)
	if len(data) > 0 {
		header = data[0]
	}
	switch header {
	case crashedProgressHeader:
		var crashed crashedProgress
		if err := rowDecoding.Unmarshal(data, &crashed); err != nil {
			return errors.Wrap(err, "decode the progress of a step with crashes")
		}
		p.calmProgress, p.Crashes = crashed.Calm, crashed.Crashes
	case notedProgressHeader:
		var noted notedProgress
		if err := rowDecoding.Unmarshal(data, &noted); err != nil {
			return errors.Wrap(err, "decode the progress of a step with noted starts")
		}
		p.calmProgress, p.Crashes, p.Noted = noted.Calm, noted.Crashes, noted.Noted
	case openProgressHeader:
		var open openProgress
		if err := rowDecoding.Unmarshal(data, &open); err != nil {
			return errors.Wrap(err, "decode the progress of a step with open starts")
		}
		p.calmProgress, p.Crashes, p.Noted, p.Open = open.Calm, open.Crashes, open.Noted, open.Open
	default:
		return errors.Wrap(rowDecoding.Unmarshal(data, &p.calmProgress), "decode the progress of a step")
	}
	return nil
}

// LeasedWorkersRow lists the workers that may hold leases and run tasks. It is
// committed with a worker in it before that worker gets its first task.
type LeasedWorkersRow struct {
	_       struct{} `cbor:",toarray"`
	Workers []LeasedWorker
}

// LeasedWorker is a worker that may hold a lease, and its address.
type LeasedWorker struct {
	_       struct{} `cbor:",toarray"`
	HostID  requester.HostID
	Address netip.AddrPort
}

var rowEncoding, rowDecoding = func() (cbor.EncMode, cbor.DecMode) {
	encode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC, TextMarshaler: cbor.TextMarshalerTextString, Sort: cbor.SortCanonical}.EncMode()
	if err != nil {
		panic(err)
	}
	decode, err := cbor.DecOptions{TextUnmarshaler: cbor.TextUnmarshalerTextString}.DecMode()
	if err != nil {
		panic(err)
	}
	return encode, decode
}()

// EncodeRow encodes the value of a row. It panics if the type of the value
// cannot be encoded, which no input causes.
func EncodeRow(value any) []byte {
	data, err := rowEncoding.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// DecodeRow decodes the value of a row into value.
func DecodeRow(data []byte, value any) error {
	return errors.Wrapf(rowDecoding.Unmarshal(data, value), "decode row as %T", value)
}
