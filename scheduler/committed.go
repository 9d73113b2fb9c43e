package scheduler

import (
	"slices"

	"github.com/cockroachdb/errors"

	"kumquatstall/requester"
)

// The core keeps the bytes of the rows of its jobs that are committed, to know which rows
// a change affects, and to check acknowledgements against them.

// committedProgress is what is committed of a job's progress: the value of its
// progress row, and its detail rows in the order of their tasks.
type committedProgress struct {
	value   []byte
	details []committedDetail
	// row is what value contains, once it was needed.
	row *progressRow
}

// committedDetail is a committed detail row.
type committedDetail struct {
	key   string
	first taskPosition
	value []byte
	// row is what value contains, once it was needed.
	row *detailRow
}

// decodeDetails decodes detail rows and sorts them by their tasks.
func decodeDetails(rows []RowWrite) ([]committedDetail, error) {
	var details []committedDetail
	for _, row := range rows {
		first, ok := parseDetailKey(row.Key)
		if !ok {
			return nil, errors.Newf("decode details of tasks: the key %q names no task", row.Key)
		}
		detail := committedDetail{key: row.Key, first: first, value: row.Value}
		if err := detail.decode(); err != nil {
			return nil, err
		}
		details = append(details, detail)
	}
	slices.SortFunc(details, func(a, b committedDetail) int { return a.first.compare(b.first) })
	return details, nil
}

func (d *committedDetail) decode() error {
	if d.row != nil {
		return nil
	}
	var row detailRow
	if err := DecodeRow(d.value, &row); err != nil {
		return err
	}
	d.row = &row
	return nil
}

// detailWith returns the committed detail row with that key, or nil.
func (p *committedProgress) detailWith(key string) *committedDetail {
	i := slices.IndexFunc(p.details, func(d committedDetail) bool { return d.key == key })
	if i < 0 {
		return nil
	}
	return &p.details[i]
}

// apply records that a write of the job's rows is committed.
func (p *committedProgress) apply(id requester.JobID, write RowWrite) {
	switch first, isDetail := parseDetailKey(write.Key); {
	case write.Key == ProgressKey(id):
		p.value, p.row = write.Value, nil
	case !isDetail:
	case write.Value == nil:
		p.details = slices.DeleteFunc(p.details, func(d committedDetail) bool { return d.key == write.Key })
	case p.detailWith(write.Key) != nil:
		*p.detailWith(write.Key) = committedDetail{key: write.Key, first: first, value: write.Value}
	default:
		p.details = append(p.details, committedDetail{key: write.Key, first: first, value: write.Value})
		slices.SortFunc(p.details, func(a, b committedDetail) int { return a.first.compare(b.first) })
	}
}

// failed reports whether a detail row has the end of a failed run.
func (p *committedProgress) failed(e *EndedRun, counted int) bool {
	for i := range p.details {
		if p.details[i].decode() != nil {
			continue
		}
		for _, s := range p.details[i].row.Steps {
			if s.Occurrence == e.Task.Occurrence && s.Step == e.Task.Step && slices.Contains(s.Progress.FailedRuns[counted], e.Run) {
				return true
			}
		}
	}
	return false
}

// decoded returns what the row contains, or nil if there is none or it cannot be
// decoded.
func (p *committedProgress) decoded() *progressRow {
	if p.row == nil && p.value != nil {
		var row progressRow
		if DecodeRow(p.value, &row) == nil {
			p.row = &row
		}
	}
	return p.row
}
