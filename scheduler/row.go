package scheduler

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"kumquatstall/requester"
)

// State is where a job stands, as its row tells.
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

// StateRow is the row by which every entry knows where a job stands.
type StateRow struct {
	_     struct{} `cbor:",toarray"`
	Queue string
	State State
	// Timed jobs don't count as pending.
	Timed bool
	// EndedAt is the Unix second of a final state.
	EndedAt int64
}

// progressRow is what a new owner has to know of an unfinished job beyond what
// the workers tell.
type progressRow struct {
	_ struct{} `cbor:",toarray"`
	// State is that of the row of the job's state, EndedAt the Unix second of
	// a final one.
	State   State
	EndedAt int64
	// Next is the first occurrence not begun; earlier ones that aren't listed
	// have ended.
	NextOccurrence int64
	Occurrences    []occurrenceProgress
}

type occurrenceProgress struct {
	_      struct{} `cbor:",toarray"`
	Number int64
	Steps  []stepProgress
}

type stepProgress struct {
	_ struct{} `cbor:",toarray"`
	// Begun tells that tasks may have been started.
	Started bool
	// Done has a bit for each task, lowest index first; nil for none and
	// AllDone for all.
	Done    []byte
	AllDone bool
	// Failed are the failed runs by task; those of a gang stand at index 0.
	// An end is listed again until it is confirmed: only its run's number
	// tells that it has been counted.
	FailedRuns  map[int][]RunNumber
	Checkpoints map[int]string
}

// LeasedWorkersRow names the workers that may hold leases.
type LeasedWorkersRow struct {
	_       struct{} `cbor:",toarray"`
	Workers []LeasedWorker
}

// LeasedWorker is one worker of the roster.
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

// EncodeRow encodes the value of a row. It panics on a type that can't be
// encoded, which no input causes.
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
