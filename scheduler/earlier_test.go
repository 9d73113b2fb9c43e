package scheduler

import "fmt"

// While the store was slow, owners of earlier versions started steps eagerly: before the start
// record of the step was committed, and before a list named the start. Owners of this version
// don't, and have to cope with what such a predecessor has left.

// startEagerly makes the next tick send starts as an eager owner of an earlier version did. It
// returns what takes that back after the tick.
func (c *Core) startEagerly() (after func()) {
	if c.unknownTaken || c.unknownStored || c.tellsUnknown() {
		return func() {} // the stored list says that there are no further unknown starts
	}
	for _, s := range c.written {
		s.committed = true
	}
	versions, unstored := make(map[*step]int64), make(map[*job]int64)
	for _, j := range c.jobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.startRecordVersion <= j.committedVersion {
					continue
				}
				if j.committedVersion == 0 {
					unstored[j], j.committedVersion = 0, 1
				}
				versions[s], s.startRecordVersion = s.startRecordVersion, j.committedVersion
			}
		}
	}
	return func() {
		for s, version := range versions {
			s.startRecordVersion = version
		}
		for j, version := range unstored {
			j.committedVersion = version
		}
	}
}

// unnamed returns what is wrong with starts that the stored list doesn't name, or an empty string.
func unnamed(rows map[string][]byte, starts []StartOrder) string {
	if len(starts) == 0 {
		return ""
	}
	named := make(map[runKey]bool)
	for key, value := range rows {
		var row StartsRow
		if !IsListKey(key, StartsKey) || DecodeRow(value, &row) != nil {
			continue
		}
		for i := range row.Starts {
			named[runKey{row.Starts[i].name(), row.Starts[i].Run}] = true
		}
	}
	for _, start := range starts {
		if !named[runKey{start.Task, start.Run}] {
			return fmt.Sprintf("run %d of %v is started, and no stored list names it", start.Run, start.Task)
		}
	}
	return ""
}
