package scheduler

import (
	"encoding/base64"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

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

// TestWideJobAfterTakeovers guards against a job of many tasks whose progress row grows,
// with each change of the owner, by something for each task that waits: the store refuses
// such a row, and the owner can't commit anything any more.
func TestWideJobAfterTakeovers(t *testing.T) {
	is := is.New(t)
	store, now := newRowStore(t), detailsNow
	wide := jobOf("wide", Step{Count: 20_000, Need: requester.Resources{MilliCores: 1000, MemoryMB: 100}, EstimateMillis: 1000, AntiAffinity: 8})
	small := jobOf("small", stepOf(2, 500))
	infos := rowStoreWorkers(16)
	c := store.takeOver(1, now, wide, small)
	for epoch := int64(1); epoch < 5; epoch++ {
		c.SetWorkers(now, infos)
		started := 0
		for range 20 {
			now = now.Add(50 * time.Millisecond)
			store.commit(c, now)
			orders := c.Tick(now)
			for _, order := range orders.Polls {
				c.PollDone(now, order, &Report{Clock: WorkerTime(now.Sub(detailsNow).Milliseconds()), BootedAt: detailsNow}, OrderAccepted)
			}
			started += len(orders.Starts)
			for _, order := range orders.Starts {
				c.StartDone(now, order, OrderAccepted)
			}
		}
		is.True(started >= 16*8+2) // each owner starts what there is room for
		is.True(c.unknownLivesRecorded)
		is.Equal(c.Stats().Violations, int64(0))
		store.commit(c, now)
		now = now.Add(time.Second)
		c = store.takeOver(epoch+1, now, wide, small)
	}
}

// burden gives every task of a job all that may be noted of one.
func burden(j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i, t := range s.tasks() {
				number := RunNumber(1<<40 + i*10)
				t.failedRuns = []RunNumber{number, number + 1}
				t.checkpoint = fmt.Sprintf("%016x", i)
				t.crashes = &crashHistory{}
				for life := range 3 {
					t.crashes.crashes = append(t.crashes.crashes, crash{Run: number + RunNumber(life), Worker: "worker-00001", AgeMillis: 1000, ChancePPM: 10_000})
				}
				t.noted = &notedStart{Run: number + 5, Worker: "worker-00002", BootedAt: detailsNow, StartedAt: detailsNow, AgeMillis: 17, ChancePPM: 99}
			}
		}
	}
}

// sameTasks reports the first difference between the details of the tasks of two owners'
// views of a job.
func sameTasks(a, b *job) string {
	for n, s := range a.occurrences[0].steps {
		for i, t := range s.tasks() {
			other := b.occurrences[0].steps[n].task(i)
			if t.done != other.done || t.done {
				if t.done != other.done {
					return fmt.Sprintf("task %d.%d is done: %v, %v", n, i, t.done, other.done)
				}
				continue
			}
			same := slices.Equal(t.failedRuns, other.failedRuns) && t.checkpoint == other.checkpoint &&
				(t.crashes == nil) == (other.crashes == nil) && (t.noted == nil) == (other.noted == nil)
			if same && t.crashes != nil {
				same = slices.Equal(t.crashes.crashes, other.crashes.crashes)
			}
			if same && t.noted != nil {
				same = t.noted.Run == other.noted.Run && t.noted.StartedAt.Equal(other.noted.StartedAt)
			}
			if !same {
				return fmt.Sprintf("task %d.%d: %+v, %+v", n, i, t, other)
			}
		}
	}
	return ""
}

// TestDetailsOfEveryTask guards against rows that don't hold what may happen to each of
// very many tasks, also after several changes of the owner, and checks that nothing of it
// is lost and nothing of it is left once the tasks are done.
func TestDetailsOfEveryTask(t *testing.T) {
	is := is.New(t)
	store := newRowStore(t)
	job := jobOf("wide", stepOf(6000, 1000), stepOf(3, 1000))
	job.MaxAttempts = 9
	c := store.takeOver(1, detailsNow, job)
	j := c.jobs["wide"]
	burden(j)
	c.markDirty(j)
	store.commit(c, detailsNow)
	is.True(len(storedDetails(store.rows, "wide")) > 20) // more than one row or two hold

	for epoch := int64(2); epoch < 5; epoch++ {
		next := store.takeOver(epoch, detailsNow, job)
		is.Equal(sameTasks(j, next.jobs["wide"]), "")
		c, j = next, next.jobs["wide"]
		for i, t := range j.occurrences[0].steps[0].tasks() {
			if i%7 == int(epoch) {
				t.failedRuns = append(t.failedRuns, RunNumber(1<<50+i))
			}
			if i%10 == int(epoch) && !t.done {
				t.step.setDone(i)
			}
		}
		c.markDirty(j)
		store.commit(c, detailsNow)
		last := EndedRun{Task: taskOf("wide", 9), Run: RunNumber(1<<50 + 9), Kind: EndFailed}
		is.True(last.impliedBy(&j.storedProgress, &j.spec))
		last.Run++
		is.True(!last.impliedBy(&j.storedProgress, &j.spec))
	}

	for _, s := range j.occurrences[0].steps {
		for i := range s.def.Count {
			if !s.taskIsDone(i) {
				s.setDone(i)
			}
		}
	}
	c.markDirty(j)
	store.commit(c, detailsNow)
	is.Equal(len(storedDetails(store.rows, "wide")), 0)
}

// TestRowsOfAJobPartlyWritten guards against an owner that is lost between the
// transactions that the rows of one job take: whatever was stored by then, no failed run
// that was stored before is missing.
func TestRowsOfAJobPartlyWritten(t *testing.T) {
	is := is.New(t)
	job := jobOf("wide", stepOf(2000, 1000))
	job.MaxAttempts = 9
	for lostAfter := range 14 {
		store := newRowStore(t)
		c := store.takeOver(1, detailsNow, job)
		j := c.jobs["wide"]
		for i := range 100 {
			j.occurrences[0].steps[0].task(i * 20).failedRuns = []RunNumber{7}
		}
		c.markDirty(j)
		store.commit(c, detailsNow)
		burden(j)
		for i := range 100 {
			t := j.occurrences[0].steps[0].task(i * 20)
			t.failedRuns = append([]RunNumber{7}, t.failedRuns...)
		}
		c.markDirty(j)
		for range lostAfter {
			if batch := c.TakeBatch(3); !batch.Empty() {
				is.Equal(store.write(batch), "")
				c.Committed(detailsNow, batch)
			}
		}
		if version := j.committedVersion; version == j.version {
			is.Equal(sameTasks(j, store.takeOver(2, detailsNow, job).jobs["wide"]), "")
		}
		next := store.takeOver(2, detailsNow, job).jobs["wide"]
		for i := range 100 {
			is.True(slices.Contains(next.occurrences[0].steps[0].task(i*20).failedRuns, 7))
		}
	}
}

// TestManyMiddlingJobs guards against a batch whose rows each fit and together exceed a
// call.
func TestManyMiddlingJobs(t *testing.T) {
	is := is.New(t)
	store := newRowStore(t)
	var jobs []Job
	for i := range 60 {
		jobs = append(jobs, jobOf(fmt.Sprintf("job%d", i), stepOf(100, 1000)))
	}
	c := store.takeOver(1, detailsNow, jobs...)
	for _, j := range c.jobs {
		burden(j)
		c.markDirty(j)
	}
	store.commit(c, detailsNow)
	next := store.takeOver(2, detailsNow, jobs...)
	for id, j := range c.jobs {
		is.Equal(sameTasks(j, next.jobs[id]), "")
	}
}

// TestLargeJobLetsOthersGoFirst guards against a job that changes all the time and takes
// several batches, so that no other job is committed, nor ever its own latest version.
func TestLargeJobLetsOthersGoFirst(t *testing.T) {
	is := is.New(t)
	store := newRowStore(t)
	jobs := []Job{jobOf("large", stepOf(20_000, 1000))}
	for i := range 6 {
		jobs = append(jobs, jobOf(fmt.Sprintf("other%d", i), stepOf(100, 1000)))
	}
	c := store.takeOver(1, detailsNow, jobs...)
	j := c.jobs["large"]
	store.commit(c, detailsNow)
	var others []*job
	for _, other := range jobs[1:] {
		burden(c.jobs[other.JobID])
		others = append(others, c.jobs[other.JobID])
	}
	waits := func() bool {
		return slices.ContainsFunc(others, func(other *job) bool { return other.committedVersion < other.version })
	}
	burden(j)
	c.markDirty(j)
	wanted, waited, longest := j.version, 0, 0
	for range 400 {
		for i := range j.occurrences[0].steps[0].tasks() {
			j.occurrences[0].steps[0].task(i).checkpoint += "x"
		}
		c.markDirty(j)
		for _, other := range others {
			c.markDirty(other)
		}
		for batches := 0; waits(); batches++ {
			is.True(batches < 3) // the others wait for one batch of the large one at most
			batch := c.TakeBatch(storeEntries)
			is.Equal(store.write(batch), "")
			c.Committed(detailsNow, batch)
			waited++
		}
		if j.committedVersion >= wanted {
			longest, waited, wanted = max(longest, waited), 0, j.version
		}
		if longest > 0 {
			break
		}
	}
	is.True(longest > 0 && longest < 100)
}

// TestRefusedRowsOfOneJob guards against a store that refuses the rows of one job, for
// whatever reason: the others must be committed, and the refused ones not be sent again
// and again.
func TestRefusedRowsOfOneJob(t *testing.T) {
	is := is.New(t)
	store, now := newRowStore(t), detailsNow
	var jobs []Job
	for i := range 70 {
		jobs = append(jobs, jobOf(fmt.Sprintf("job%02d", i), stepOf(1, 1000)))
	}
	c := store.takeOver(1, now, jobs...)
	c.SetWorkers(now, rowStoreWorkers(3))
	store.refuses = func(write RowWrite) bool { return strings.Contains(write.Key, "job33") }
	committed := 0
	for range 6000 {
		now = now.Add(30 * time.Millisecond)
		c.Tick(now)
		c.markDirty(c.jobs["job05"]) // something else always changes
		batch := c.TakeBatch(storeEntries)
		if batch.Empty() {
			continue
		}
		if why := store.write(batch); why != "" {
			store.refused++
			c.Refused(now, batch, why)
			continue
		}
		c.Committed(now, batch)
		if c.jobs["job69"].committedVersion == c.jobs["job69"].version && committed == 0 {
			committed = store.calls
		}
	}
	is.True(committed > 0 && committed < 40)
	for id, j := range c.jobs {
		is.Equal(j.committedVersion > 0, id != "job33")
	}
	is.True(store.refused < 60) // in 3 min
	held := false
	for _, record := range c.TakeLogRecords() {
		held = held || record.Job == "job33" && record.Violation && strings.Contains(record.Why, "job33 is refused")
	}
	is.True(held) // the log tells which job and why
	is.True(c.Stats().JobsHeldBack > 1)
	is.Equal(c.jobs["job33"].state, StateFailed) // it is given up

	store.refuses = nil
	for range 6000 {
		now = now.Add(30 * time.Millisecond)
		c.Tick(now)
		store.commit(c, now)
	}
	is.Equal(c.jobs["job33"].committedVersion, c.jobs["job33"].version)
}

// TestRefusedJobFreesItsWorkers guards against a job whose rows the store refuses for good
// and whose ends can't be acknowledged, so that its workers keep them, with those of all
// other jobs behind, until they have no room for more. It checks as well that no more tasks
// of the job start, and that no job is given up while the store refuses all rows.
func TestRefusedJobFreesItsWorkers(t *testing.T) {
	is := is.New(t)
	store, now := newRowStore(t), detailsNow
	refusesAll := true
	store.refuses = func(write RowWrite) bool {
		return refusesAll || strings.Contains(write.Key, "progress/cell/refused") && len(write.Value) > 20
	}
	step := stepOf(400, 1000)
	step.Need.MilliCores = 1000
	c := store.takeOver(1, now, jobOf("refused", step), jobOf("other", stepOf(1, 100)))
	c.SetWorkers(now, rowStoreWorkers(1))
	var kept []EndedRun
	number, startedAfter := int64(0), 0
	advance := func(ticks int) {
		for tick := range ticks {
			now = now.Add(50 * time.Millisecond)
			if tick%100 == 0 {
				c.Add(now, jobOf(fmt.Sprintf("more%d", c.Stats().Looks), stepOf(1, 100)))
			}
			if batch := c.TakeBatch(storeEntries); !batch.Empty() {
				if why := store.write(batch); why != "" {
					c.Refused(now, batch, why)
				} else {
					c.Committed(now, batch)
				}
			}
			orders := c.Tick(now)
			for _, order := range orders.Starts {
				c.StartDone(now, order, OrderAccepted)
				number++
				kept = append(kept, EndedRun{Number: number, Task: order.Task, Run: order.Run, Kind: EndDone})
				if c.jobs["refused"].refusals > 0 && order.Task.Job == "refused" {
					startedAfter++
				}
			}
			for _, poll := range orders.Polls {
				for len(kept) > 0 && kept[0].Number <= poll.AcknowledgedEnd {
					kept = kept[1:]
				}
				c.PollDone(now, poll, &Report{Clock: WorkerTime(now.Sub(detailsNow).Milliseconds()), BootedAt: detailsNow, Ended: kept}, OrderAccepted)
			}
		}
	}
	advance(4000) // 200 s
	is.Equal(c.jobs["refused"].state, StateQueued)
	refusesAll = false
	// The start record of the job is small, so tasks start; what is stored of their ends
	// is not.
	advance(9000)
	is.True(number > 32)
	is.Equal(c.jobs["other"].state, StateCompleted)
	is.Equal(c.jobs["refused"].state, StateFailed)
	is.Equal(c.jobs["refused"].committedVersion, c.jobs["refused"].version)
	is.Equal(len(kept), 0) // all ends are acknowledged
	is.Equal(startedAfter, 0)
	is.Equal(c.Stats().Violations, int64(0))
}

// TestListOfManyWorkers guards against a row of leased workers, or of births, that grows
// beyond what a row may be.
func TestListOfManyWorkers(t *testing.T) {
	is := is.New(t)
	store := newRowStore(t)
	infos := rowStoreWorkers(6000)
	c := store.takeOver(1, detailsNow)
	c.Renewed(detailsNow)
	c.SetWorkers(detailsNow, infos)
	for _, w := range c.sortedWorkers {
		w.grantedTo = detailsNow
	}
	store.commit(c, detailsNow)
	births := 0
	for key, value := range store.rows {
		if IsListKey(key, BirthsKey) {
			var row BirthsRow
			is.NoErr(DecodeRow(value, &row))
			births += len(row.Births)
		}
	}
	is.Equal(births, 6000)
	next := store.takeOver(2, detailsNow)
	is.Equal(len(next.workers), 6000)

	next.now = detailsNow.Add(time.Hour) // all leases have expired
	next.SetWorkers(next.now, infos[:5])
	store.commit(next, next.now)
	is.Equal(len(store.takeOver(3, detailsNow).workers), 5) // no part of the longer list is left

	last := New(Options{Epoch: 4}, detailsNow)
	store.rows[LeasedWorkersKey+"~1"] = []byte{0xff}
	store.restoreListsBut(last, LeasedWorkersKey+"~1")
	last.AssumeUnknownLeases()
	last.now = detailsNow.Add(time.Hour)
	last.SetWorkers(last.now, infos[:5])
	store.commit(last, last.now)
	is.Equal(store.rows[LeasedWorkersKey+"~1"], nil) // nor a part that can't be decoded
}

// TestOverlappingOccurrencesFitTheirRow guards against a job with times of whose
// occurrences so many are due that their state, small for each step, exceeds a row.
func TestOverlappingOccurrencesFitTheirRow(t *testing.T) {
	is := is.New(t)
	store := newRowStore(t)
	job := jobOf("timed")
	for range 256 {
		job.Steps = append(job.Steps, stepOf(2, 1000))
	}
	job.Occurrences, job.FirstDue, job.PeriodMillis = 2000, detailsNow, 1
	c := store.takeOver(1, detailsNow, job)
	for range 2000 {
		c.Tick(detailsNow.Add(time.Minute))
	}
	j := c.jobs["timed"]
	is.True(len(j.occurrences) > 1)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.setDone(0)
			s.mayHaveUnknownRuns = true
		}
	}
	c.markDirty(j)
	store.commit(c, detailsNow)
}

// TestLargestJobFits checks that a job which is as large as any that is accepted can be
// stored, at every stage, and that one that can't be stored is refused, naming the field.
func TestLargestJobFits(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Job)
		field  string
	}{
		{"most tasks", func(j *Job) { j.Steps = []Step{stepOf(MaxStepTasks, 1000)} }, ""},
		{"most steps and tasks", func(j *Job) {
			j.Steps = nil
			for range MaxSteps {
				j.Steps = append(j.Steps, stepOf(MaxStepTasks/MaxSteps, 1000))
			}
		}, ""},
		{"each step after all before", func(j *Job) {
			j.Steps = nil
			for number := range MaxSteps {
				s := stepOf(1, 1000)
				for earlier := range number {
					s.After = append(s.After, earlier)
				}
				j.Steps = append(j.Steps, s)
			}
		}, ""},
		{"long repeated labels", func(j *Job) {
			j.Steps = nil
			for range MaxSteps {
				s := stepOf(1, 1000)
				s.RequiredLabel = strings.Repeat("a", 1000)
				j.Steps = append(j.Steps, s)
			}
		}, ""},
		{"a label beyond a row", func(j *Job) { j.Steps[1].RequiredLabel = noise(90_000) }, "Steps.1.RequiredLabel"},
		{"a rack beyond a row", func(j *Job) { j.Steps[0].DataRack = noise(90_000) }, "Steps.0.DataRack"},
		{"an image beyond a row", func(j *Job) { j.Steps[0].Image = noise(90_000) }, "Steps.0.Image"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			job := jobOf("j", stepOf(1, 1000), stepOf(1, 1000))
			test.change(&job)
			is.NoErr(job.Validate())
			field := job.CheckRows(storeRowBytes)
			if test.field != "" {
				is.True(field != nil)
				is.Equal(field.Field, test.field)
				return
			}
			is.True(field == nil)
			value := EncodeJob(job)
			is.True(base64.StdEncoding.EncodedLen(len(value)) <= storeRowBytes)
			decoded, err := DecodeJob(value)
			is.NoErr(err)
			is.Equal(decoded, job)
			store := newRowStore(t)
			c := store.takeOver(1, detailsNow, decoded)
			j := c.jobs["j"]
			for _, s := range j.occurrences[0].steps {
				s.mayHaveUnknownRuns = true
				for i, t := range s.tasks()[:len(s.tasks())-1] {
					if i%3 == 0 {
						s.setDone(i)
					} else if i%5 == 0 {
						t.checkpoint = "0123456789abcdef"
					}
				}
			}
			c.markDirty(j)
			store.commit(c, detailsNow)
			is.Equal(sameTasks(j, store.takeOver(2, detailsNow, decoded).jobs["j"]), "")
		})
	}
}

// noise returns a text of that length which can't be compressed much.
func noise(length int) string {
	text, state := make([]byte, length), uint64(1)
	for i := range text {
		state = state*6364136223846793005 + 1442695040888963407
		text[i] = byte(33 + state>>58)
	}
	return string(text)
}

// TestOddCompressedJob checks that the row of a job that can't be decompressed, or only to
// far more than a job takes, is refused.
func TestOddCompressedJob(t *testing.T) {
	is := is.New(t)
	bomb := jobOf("j", stepOf(1, 1000))
	bomb.Payload = strings.Repeat("a", 2*maxJobBytes)
	value := EncodeJob(bomb)
	is.True(len(value) < 100_000)
	for _, odd := range [][]byte{value, {0x43, 1, 2, 3}, {0x5f}, EncodeRow([]byte{})} {
		_, err := DecodeJob(odd)
		is.True(err != nil)
	}
}

// TestLongCheckpoint checks that a checkpoint which is too long for the rows of its job is
// not used, and that the one before it stays.
func TestLongCheckpoint(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	step := stepOf(1, 1000)
	step.Checkpointing = true
	h.add("j", Policy{Stretch: 3}, step)
	h.settle()
	task := h.core.jobs["j"].occurrences[0].steps[0].tasks()[0]
	h.core.setCheckpoint(task, "short")
	h.core.setCheckpoint(task, strings.Repeat("a", maxCheckpoint+1))
	is.Equal(task.checkpoint, "short")
}

// TestLivesOfATaskAreBounded guards against the record of a task that lasts and crashes
// its workers for ever.
func TestLivesOfATaskAreBounded(t *testing.T) {
	is := is.New(t)
	task := &task{}
	for run := range 1000 {
		chance := int64(10)
		if run%2 == 0 {
			chance = certainPPM
		}
		task.appendCrash(crash{Run: RunNumber(run + 1), Worker: "w", ChancePPM: chance})
	}
	is.Equal(len(task.crashes.crashes), maxLives)
	for _, crash := range task.crashes.crashes[:maxLives-1] {
		is.Equal(crash.ChancePPM, int64(10)) // what tells something is kept
	}
}
