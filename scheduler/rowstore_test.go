package scheduler

import (
	"encoding/base64"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"kumquatstall/requester"
)

// A store with the platform's limits, for the tests of rows.

// rowStore is a store with the limits that the platform sets on rows and calls. It refuses
// what exceeds them, as the platform does.
type rowStore struct {
	t    testing.TB
	rows map[string][]byte
	// refuses reports whether the store refuses a write for another reason; nil for
	// none.
	refuses func(RowWrite) bool
	calls   int
	refused int
}

const (
	storeRowBytes  = 65_536
	storeCallBytes = 1_000_000
	storeEntries   = 90
)

func newRowStore(t testing.TB) *rowStore {
	return &rowStore{t: t, rows: make(map[string][]byte)}
}

// write writes a batch, or returns why it is refused.
func (s *rowStore) write(batch *Batch) string {
	s.calls++
	bytes := 0
	for _, write := range batch.Writes {
		size := base64.StdEncoding.EncodedLen(len(write.Value))
		if size > storeRowBytes {
			return fmt.Sprintf("the value of %s takes %d bytes", write.Key, size)
		}
		if s.refuses != nil && s.refuses(write) {
			return write.Key + " is refused"
		}
		bytes += size + len(write.Key)
	}
	if bytes > storeCallBytes || len(batch.Writes) > storeEntries {
		return fmt.Sprintf("a call of %d entries has %d bytes", len(batch.Writes), bytes)
	}
	for _, write := range batch.Writes {
		if write.Value == nil {
			delete(s.rows, write.Key)
		} else {
			s.rows[write.Key] = write.Value
		}
	}
	return ""
}

// commit writes everything that has changed, and fails the test if the store refuses it.
func (s *rowStore) commit(c *Core, now time.Time) {
	s.t.Helper()
	for calls := 0; ; calls++ {
		batch := c.TakeBatch(storeEntries)
		if batch.Empty() {
			return
		}
		if why := s.write(batch); why != "" {
			s.t.Fatalf("the store refuses a batch: %s", why)
		}
		c.Committed(now, batch)
		if calls == 1000 {
			s.t.Fatal("there is more to write after 1,000 batches")
		}
	}
}

// restoreLists restores what the store has of workers.
func (s *rowStore) restoreLists(c *Core) { s.restoreListsBut(c, "") }

// restoreListsBut is restoreLists without a row.
func (s *rowStore) restoreListsBut(c *Core, skipped string) {
	s.t.Helper()
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if IsListKey(key, LeasedWorkersKey) && key != skipped {
			var row LeasedWorkersRow
			if err := DecodeRow(s.rows[key], &row); err != nil {
				s.t.Fatal(err)
			}
			c.RestoreLeasedWorkers(row)
		}
	}
}

// rowsOf returns the stored rows of a job.
func (s *rowStore) rowsOf(job Job) JobRows {
	rows := JobRows{Job: job, Progress: s.rows[ProgressKey(job.JobID)], Details: storedDetails(s.rows, job.JobID)}
	return rows
}

// storedDetails returns the rows with details of a job's tasks.
func storedDetails(rows map[string][]byte, id requester.JobID) []RowWrite {
	var details []RowWrite
	for key, value := range rows {
		if IsDetailKey(key) && ProgressJob(key) == id {
			details = append(details, RowWrite{Key: key, Value: value})
		}
	}
	return details
}

// takeOver returns a new owner that knows what the store has.
func (s *rowStore) takeOver(epoch int64, now time.Time, jobs ...Job) *Core {
	s.t.Helper()
	return s.takeOverWith(Options{Epoch: epoch}, now, jobs...)
}

// takeOverWith is takeOver with options.
func (s *rowStore) takeOverWith(options Options, now time.Time, jobs ...Job) *Core {
	s.t.Helper()
	options.RowBytes, options.CallBytes = storeRowBytes, storeCallBytes
	c := New(options, now)
	s.restoreLists(c)
	for _, job := range jobs {
		if err := c.Recover(s.rowsOf(job)); err != nil {
			s.t.Fatal(err)
		}
	}
	return c
}

var detailsNow = time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)

func rowStoreWorkers(count int) []WorkerInfo {
	var infos []WorkerInfo
	for i := range count {
		infos = append(infos, WorkerInfo{
			HostID: requester.HostID(fmt.Sprintf("worker-%05d", i)), Service: "service", BootedAt: detailsNow,
			Total: requester.Resources{MilliCores: 32_000, MemoryMB: 100_000}, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
		})
	}
	return infos
}
