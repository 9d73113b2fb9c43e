package scheduler

import (
	"bytes"
	"compress/flate"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/requester"
)

// The row of a job, as an entry that accepts it stores it, is the encoded Job. If that is
// large, it is compressed: most of a job of many steps is repetition, such as lists of the
// steps that each waits for. A compressed row is an encoded string of bytes, which no
// encoded Job is.
//
// A Tombstone in its place says that the job was cancelled before it was stored. A write
// that stores the job, and that is under way or performed late, requires that there is no
// row, so that it fails.

// Tombstone is the value of the row of a job that was cancelled before it was stored.
type Tombstone struct {
	_           struct{} `cbor:",toarray"`
	CancelledAt time.Time
}

// cborArray is the major type of arrays, in the upper bits of the first byte.
const cborArray = 4 << 5

// IsTombstone reports whether the value of the row of a job is a tombstone.
func IsTombstone(value []byte) bool {
	var tombstone Tombstone
	return len(value) > 0 && value[0]&cborMajor == cborArray && DecodeRow(value, &tombstone) == nil
}

const (
	// minCompressed is the size of an encoded job, in bytes, from which on it is
	// compressed.
	minCompressed = 4096
	// maxJobBytes bounds an encoded job.
	maxJobBytes = 4 << 20
)

// EncodeJob returns the value of the row of a job.
func EncodeJob(job Job) []byte {
	plain := EncodeRow(job)
	if len(plain) < minCompressed {
		return plain
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	// A bytes.Buffer returns no errors.
	_, _ = w.Write(plain)
	_ = w.Close()
	if value := EncodeRow(packed.Bytes()); len(value) < len(plain) {
		return value
	}
	return plain
}

// DecodeJob decodes the value of the row of a job. It does not check the job's limits.
func DecodeJob(value []byte) (Job, error) {
	var job Job
	if plain, packed, err := unpack(value); err != nil {
		return Job{}, err
	} else if packed {
		value = plain
	}
	if err := DecodeRow(value, &job); err != nil {
		return Job{}, err
	}
	return job, nil
}

// cborMajor are the bits of the first byte with the major type, cborBytes is that of
// strings of bytes.
const (
	cborMajor = 7 << 5
	cborBytes = 2 << 5
)

// unpack returns the encoded job in a compressed row, and whether the row is one.
func unpack(value []byte) (plain []byte, packed bool, err error) {
	if len(value) == 0 || value[0]&cborMajor != cborBytes {
		return nil, false, nil
	}
	var data []byte
	if err := DecodeRow(value, &data); err != nil {
		return nil, true, err
	}
	plain, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxJobBytes+1))
	if err == nil && len(plain) > maxJobBytes {
		err = errors.Newf("got over %d bytes", maxJobBytes)
	}
	return plain, true, errors.Wrap(err, "decompress the row of a job")
}

// CheckRows checks that the store can hold the row of the job and, whatever happens to its
// tasks, the rows with its progress. rowBytes is the most that the store takes in a row.
// The error names the field that takes the most.
func (j *Job) CheckRows(rowBytes int) *requester.FieldError {
	limit := RowLimit(rowBytes)
	if rowHeaderBytes+j.fixedBytes() > limit/fixedShare {
		return &requester.FieldError{Field: "Steps", Expected: "fewer tasks and steps: a bit for each task and " + strconv.Itoa(stepHeaderBytes) + " bytes for each step are stored, at most " + strconv.Itoa(limit/fixedShare) + " bytes"}
	}
	size := len(EncodeJob(*j)) + rowHeaderBytes
	if size <= limit {
		return nil
	}
	return &requester.FieldError{Field: j.largestField(), Expected: "a shorter value: the job takes " + strconv.Itoa(size) + " bytes in the store, at most " + strconv.Itoa(limit) + " fit"}
}

// largestField returns the field of a step that takes the most bytes when it is encoded,
// or Payload if that takes more.
func (j *Job) largestField() string {
	field, most := "Payload", len(j.Payload)
	for number := range j.Steps {
		s := &j.Steps[number]
		sizes := []struct {
			field string
			size  int
		}{{"RequiredLabel", len(s.RequiredLabel)}, {"DataRack", len(s.DataRack)}, {"Image", len(s.Image)}, {"After", len(s.After)}}
		for _, candidate := range sizes {
			if candidate.size > most {
				field, most = "Steps."+strconv.Itoa(number)+"."+candidate.field, candidate.size
			}
		}
	}
	return field
}
