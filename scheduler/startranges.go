package scheduler

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// The starts of a step share most of what a row says of them, and those that were placed one
// after another on one worker have indexes in a row. So the list of intended starts is stored
// as ranges: a gang of any width takes one for each worker.

// startRange is a start in the list and those of the tasks with the next indexes, Count in
// all. One start alone is stored as an IntendedStart, which is the form of earlier versions.
type startRange struct {
	IntendedStart
	Count int
}

// countedRange is the stored form of several starts.
type countedRange struct {
	_     struct{} `cbor:",toarray"`
	First IntendedStart
	Count int
}

// repeatedRange is the stored form of starts that were sent more than once.
type repeatedRange struct {
	_     struct{} `cbor:",toarray"`
	Range startRange
}

// repeatedHeader is the first byte of an encoded repeatedRange, or repeatedOpenStart, an array of
// one.
const repeatedHeader = 0x81

// startsList is the stored form of a StartsRow.
type startsList struct {
	_            struct{} `cbor:",toarray"`
	Ranges       []startRange
	UnknownNanos int64
}

// countedRangeHeader is the first byte of an encoded countedRange, an array of two. That of
// an IntendedStart has seven.
const countedRangeHeader = 0x82

// MarshalCBOR encodes a range.
func (r startRange) MarshalCBOR() ([]byte, error) {
	if r.Repeated {
		r.Repeated = false
		return rowEncoding.Marshal(repeatedRange{Range: r})
	}
	if r.Count == 1 {
		return rowEncoding.Marshal(r.IntendedStart)
	}
	return rowEncoding.Marshal(countedRange{First: r.IntendedStart, Count: r.Count})
}

// UnmarshalCBOR decodes a range.
func (r *startRange) UnmarshalCBOR(data []byte) error {
	if len(data) > 0 && data[0] == repeatedHeader {
		var repeated repeatedRange
		if err := rowDecoding.Unmarshal(data, &repeated); err != nil {
			return errors.Wrap(err, "decode repeated starts")
		}
		*r = repeated.Range
		if r.Repeated {
			return errors.New("decode repeated starts: they are marked as such twice")
		}
		r.Repeated = true
		return nil
	}
	if len(data) == 0 || data[0] != countedRangeHeader {
		r.Count = 1
		return errors.Wrap(rowDecoding.Unmarshal(data, &r.IntendedStart), "decode an intended start")
	}
	var counted countedRange
	if err := rowDecoding.Unmarshal(data, &counted); err != nil {
		return errors.Wrap(err, "decode a range of intended starts")
	}
	if counted.Count < 1 || counted.Count > MaxStepTasks || counted.First.Index < 0 || counted.First.Index > MaxStepTasks {
		return errors.Newf("decode a range of intended starts: got %d starts from index %d, expected at most %d", counted.Count, counted.First.Index, MaxStepTasks)
	}
	r.IntendedStart, r.Count = counted.First, counted.Count
	return nil
}

var (
	_ cbor.Marshaler   = startRange{}
	_ cbor.Unmarshaler = (*startRange)(nil)
)

// continues reports whether the start extends a range that ends with the other one.
func (s *IntendedStart) continues(last *IntendedStart) bool {
	next := *last
	next.Index++
	return next == *s
}

// MarshalCBOR encodes a part of the list.
func (r StartsRow) MarshalCBOR() ([]byte, error) {
	stored := startsList{UnknownNanos: r.UnknownNanos}
	for i := range r.Starts {
		if i > 0 && r.Starts[i].continues(&r.Starts[i-1]) {
			stored.Ranges[len(stored.Ranges)-1].Count++
		} else {
			stored.Ranges = append(stored.Ranges, startRange{r.Starts[i], 1})
		}
	}
	return rowEncoding.Marshal(stored)
}

// UnmarshalCBOR decodes a part of the list.
func (r *StartsRow) UnmarshalCBOR(data []byte) error {
	var stored startsList
	if err := rowDecoding.Unmarshal(data, &stored); err != nil {
		return errors.Wrap(err, "decode intended starts")
	}
	*r = StartsRow{UnknownNanos: stored.UnknownNanos}
	for _, each := range stored.Ranges {
		if len(r.Starts)+each.Count > maxListedStarts {
			return errors.Newf("decode intended starts: got over %d", maxListedStarts)
		}
		for range each.Count {
			r.Starts = append(r.Starts, each.IntendedStart)
			each.Index++
		}
	}
	return nil
}

// maxListedStarts bounds the starts in a part of the list.
const maxListedStarts = 4 * MaxStepTasks
