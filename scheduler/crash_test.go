package scheduler

import (
	"fmt"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// crashLog is what the simulation knows of tasks that crash their workers.
type crashLog struct {
	// deadly holds the tasks that crash each worker on which they start.
	deadly map[TaskName]bool
	// under holds, by task or gang, the runs under which a worker has crashed.
	under map[TaskName]map[RunNumber]bool
	// later holds, by task or gang, the runs started after three crashes.
	later map[TaskName]map[RunNumber]bool
}

const (
	// crashesToStop and startsToStop are the bound of the rule: a task that
	// crashes its workers may not be started startsToStop times more after
	// crashesToStop workers have crashed under it.
	crashesToStop = 3
	startsToStop  = 3
	// crashesToGiveUp is after how many crashes a task may be given up.
	crashesToGiveUp = 2
)

// chooseDeadly makes a share of the jobs have a task that crashes its workers.
func (sim *simulation) chooseDeadly(job Job) {
	if sim.options.deadly == 0 || sim.random.Float64() >= sim.options.deadly {
		return
	}
	if sim.crashes.deadly == nil {
		sim.crashes = crashLog{deadly: make(map[TaskName]bool), under: make(map[TaskName]map[RunNumber]bool), later: make(map[TaskName]map[RunNumber]bool)}
	}
	step := sim.random.IntN(len(job.Steps))
	sim.crashes.deadly[TaskName{StepName: StepName{Job: job.JobID, Step: step}, Index: sim.random.IntN(job.Steps[step].Count)}] = true
}

// shared returns the name under which the runs of a task are counted: those of
// a gang are one.
func (sim *simulation) shared(name TaskName) TaskName {
	if sim.accepted[name.Job].Steps[name.Step].Gang {
		name.Index = 0
	}
	return name
}

// afterStart crashes the worker shortly after the start of a deadly task, and
// checks how often it started.
func (f *fakeWorker) afterStart(key runKey) {
	sim := f.sim
	if sim.crashes.deadly == nil {
		return
	}
	name := sim.shared(key.name)
	if len(sim.crashes.under[name]) >= crashesToStop && sim.isDeadly(name) {
		if sim.crashes.later[name] == nil {
			sim.crashes.later[name] = make(map[RunNumber]bool)
		}
		sim.crashes.later[name][key.number] = true
		if len(sim.crashes.later[name]) >= startsToStop {
			sim.problem("%v started %d times more after %d crashes", name, startsToStop, crashesToStop)
		}
	}
	if sim.crashes.deadly[key.name] {
		sim.after(time.Duration(sim.random.IntN(60))*time.Millisecond, func() {
			if _, runs := f.runs[key]; runs {
				f.crash()
				f.refuses = !sim.options.silent
			}
		})
	}
}

// isDeadly reports whether a task, or a member of the gang, is deadly.
func (sim *simulation) isDeadly(name TaskName) bool {
	for deadly := range sim.crashes.deadly {
		if sim.shared(deadly) == name {
			return true
		}
	}
	return false
}

// recordCrash records the crash of a worker under each of its runs.
func (f *fakeWorker) recordCrash() {
	if f.sim.crashes.deadly == nil {
		return
	}
	for key := range f.runs {
		name := f.sim.shared(key.name)
		if f.sim.crashes.under[name] == nil {
			f.sim.crashes.under[name] = make(map[RunNumber]bool)
		}
		f.sim.crashes.under[name][key.number] = true
	}
}

// crashRack crashes all workers of a rack.
func (sim *simulation) crashRack(rack string) {
	for _, f := range sim.workers {
		if f.info.Rack == rack {
			f.crash()
		}
	}
}

// crashedTwice reports whether a deadly task of the job has crashed as many
// workers as allow it to be given up. An innocent task never may.
func (sim *simulation) crashedTwice(id requester.JobID) bool {
	for name := range sim.crashes.deadly {
		if name.Job == id && len(sim.crashes.under[sim.shared(name)]) >= crashesToGiveUp {
			return true
		}
	}
	return false
}

// TestRandomisedDeadlyTasks runs the core with tasks that crash their workers,
// beside innocent ones and other faults. No deadly task may crash worker after
// worker, and no innocent job may fail.
func TestRandomisedDeadlyTasks(t *testing.T) {
	kinds := []struct {
		name    string
		options simulationOptions
	}{
		{"alone", simulationOptions{deadly: 0.1}},
		{"silent crashes", simulationOptions{deadly: 0.05, silent: true}},
		{"crashes", simulationOptions{deadly: 0.1, crashes: 0.5}},
		{"racks", simulationOptions{deadly: 0.1, racks: 0.4}},
		{"partitions", simulationOptions{deadly: 0.1, partitions: 1}},
		{"takeovers", simulationOptions{deadly: 0.1, takeovers: 0.6}},
		{"takeovers, racks", simulationOptions{deadly: 0.1, takeovers: 0.6, racks: 0.3}},
		{"lost responses", simulationOptions{deadly: 0.1, lostResponses: 0.05}},
		{"cancels, failures", simulationOptions{deadly: 0.1, cancels: 0.2, failures: 0.05}},
		{"many", simulationOptions{deadly: 0.6, workers: 30}},
	}
	for _, kind := range kinds {
		for _, seed := range seedsOf(t, kind.name) {
			t.Run(kind.name+"/"+strconv.FormatUint(seed, 10), func(t *testing.T) {
				simulateDeadlyTasks(t, seed, kind.options)
			})
		}
	}
}

// TestDeadlyTasksBesideLostOwners runs seeds with which a task was started a sixth time,
// as three to six owners were lost between a start and the proof of its crash.
func TestDeadlyTasksBesideLostOwners(t *testing.T) {
	for _, racks := range []float64{0, 0.3} {
		for _, seed := range []uint64{150, 172, 2028, 3003, 3026, 3028, 3029} {
			t.Run(fmt.Sprintf("racks %v/%d", racks, seed), func(t *testing.T) {
				simulateDeadlyTasks(t, seed, simulationOptions{deadly: 0.1, takeovers: 0.6, racks: racks})
			})
		}
	}
}

// simulateDeadlyTasks runs a simulation in which some tasks crash their workers.
func simulateDeadlyTasks(t *testing.T, seed uint64, options simulationOptions) {
	t.Helper()
	options.workers, options.jobs = max(15, options.workers), 70
	sim := newSimulation(seed, options)
	sim.run(9000)
	if len(sim.problems) == 0 {
		sim.checkEnd()
	}
	for _, problem := range sim.problems {
		t.Error(problem)
	}
}

// deadlyHarness is a harness in which some tasks crash their workers. Another
// worker is up at the address after crashOutage.
type deadlyHarness struct {
	*harness
	deadly map[TaskName]bool
	// backAt is when another worker answers at the address of a crashed one.
	backAt map[requester.HostID]time.Time
	// crashes counts the workers that crashed under each task.
	crashes map[TaskName]int
	starts  map[TaskName]int
	infos   []WorkerInfo
	// stored holds the rows that were committed.
	stored map[string][]byte
	// storeDown is true while nothing is committed.
	storeDown bool
}

// crashOutage is how long a crashed worker is away.
const crashOutage = 3 * time.Second

func newDeadlyHarness(workers int) *deadlyHarness {
	h := &deadlyHarness{
		harness: newHarness(0), deadly: make(map[TaskName]bool), backAt: make(map[requester.HostID]time.Time),
		crashes: make(map[TaskName]int), starts: make(map[TaskName]int), stored: make(map[string][]byte),
	}
	for i := range workers {
		h.infos = append(h.infos, WorkerInfo{
			HostID: requester.HostID(fmt.Sprintf("w%03d", i)), Service: "service", Total: workerTotal, BootedAt: h.now,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
		})
	}
	h.core.SetWorkers(h.now, h.infos)
	h.step(0)
	h.step(0)
	return h
}

// step lets time pass like advance, with crashes.
func (h *deadlyHarness) step(wait time.Duration) {
	h.now = h.now.Add(wait)
	for i, info := range h.infos {
		if at, dead := h.backAt[info.HostID]; dead && !h.now.Before(at) {
			h.infos[i].HostID += "+"
			h.infos[i].BootedAt = h.now
		}
	}
	h.core.SetWorkers(h.now, h.infos)
	h.store()
	orders := h.issueAfter(h.store)
	for _, order := range orders.Polls {
		at, dead := h.backAt[order.Worker.HostID]
		switch {
		case dead && h.now.Before(at):
			h.core.PollDone(h.now, order, nil, OrderUnknown)
		case dead:
			h.core.PollDone(h.now, order, nil, OrderOtherIncarnation)
		default:
			report := &Report{Clock: h.clock(order.Worker), BootedAt: order.Worker.BootedAt}
			for _, start := range h.running {
				if start.Worker.HostID == order.Worker.HostID {
					report.Running = append(report.Running, h.report(start))
				}
			}
			h.core.PollDone(h.now, order, report, OrderAccepted)
		}
	}
	for _, order := range orders.Starts {
		h.starts[order.Task]++
		if _, dead := h.backAt[order.Worker.HostID]; dead {
			h.core.StartDone(h.now, order, OrderUnknown)
			continue
		}
		h.running = append(h.running, order)
		h.startedAt[order.Task] = h.now
		h.core.StartAccepted(h.now, order, h.clock(order.Worker))
	}
	for _, order := range orders.Starts {
		if h.deadly[order.Task] {
			h.crash(order.Worker.HostID)
		}
	}
}

// store commits the changed rows, unless the store is down.
func (h *deadlyHarness) store() {
	if h.storeDown {
		return
	}
	batch := h.core.TakeBatch(1000)
	if batch.Empty() {
		return
	}
	for _, write := range batch.Writes {
		if h.stored[write.Key] = write.Value; write.Value == nil {
			delete(h.stored, write.Key)
		}
	}
	h.core.Committed(h.now, batch)
}

// crash crashes a worker.
func (h *deadlyHarness) crash(host requester.HostID) {
	if _, dead := h.backAt[host]; dead {
		return
	}
	h.backAt[host] = h.now.Add(crashOutage)
	kept := h.running[:0]
	for _, start := range h.running {
		if start.Worker.HostID == host {
			h.crashes[start.Task]++
		} else {
			kept = append(kept, start)
		}
	}
	h.running = kept
}

func taskOf(id string, index int) TaskName {
	return TaskName{StepName: StepName{Job: requester.JobID(id)}, Index: index}
}

// TestTaskCrashesWorkerAfterWorker guards against a task that is started for
// ever although each worker that starts it crashes.
func TestTaskCrashesWorkerAfterWorker(t *testing.T) {
	is := is.New(t)
	h := newDeadlyHarness(12)
	h.deadly[taskOf("guilty", 0)] = true
	h.add("guilty", Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(3, 1000))
	h.add("innocent", Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(1, 1000))
	for range 4000 {
		h.step(20 * time.Millisecond)
	}
	t.Logf("%d starts, %d crashes", h.starts[taskOf("guilty", 0)], h.crashes[taskOf("guilty", 0)])
	is.True(h.starts[taskOf("guilty", 0)] < crashesToStop+startsToStop) // it is given up in time
	is.Equal(h.core.jobs["guilty"].state, StateFailed)
	is.Equal(h.core.jobs["innocent"].state, StateRunning)
}

// TestOldProgressLayout guards against an owner that can't read the rows of its
// predecessor, from before crashes were recorded, or the other way round while
// no worker has crashed.
func TestOldProgressLayout(t *testing.T) {
	type oldStep struct {
		_           struct{} `cbor:",toarray"`
		Started     bool
		Done        []byte
		AllDone     bool
		FailedRuns  map[int][]RunNumber
		Checkpoints map[int]string
	}
	type oldOccurrence struct {
		_      struct{} `cbor:",toarray"`
		Number int64
		Steps  []oldStep
	}
	type oldRow struct {
		_              struct{} `cbor:",toarray"`
		State          State
		EndedAt        int64
		NextOccurrence int64
		Occurrences    []oldOccurrence
	}
	is := is.New(t)
	old := EncodeRow(oldRow{State: StateRunning, NextOccurrence: 1, Occurrences: []oldOccurrence{{Number: 3, Steps: []oldStep{
		{Started: true, Done: []byte{5}, FailedRuns: map[int][]RunNumber{1: {7}}, Checkpoints: map[int]string{2: "c"}}, {AllDone: true},
	}}}})
	var row progressRow
	is.NoErr(DecodeRow(old, &row))
	steps := row.Occurrences[0].Steps
	is.Equal(steps[0].calmProgress, calmProgress{Started: true, Done: []byte{5}, FailedRuns: map[int][]RunNumber{1: {7}}, Checkpoints: map[int]string{2: "c"}})
	is.True(steps[1].AllDone)
	is.Equal(EncodeRow(row), old) // without crashes the layout is the old one
	steps[0].Crashes = map[int][]crash{4: {{Run: 9, Worker: "w", AgeMillis: 30, ChancePPM: 12, Unproven: true}}}
	var again progressRow
	is.NoErr(DecodeRow(EncodeRow(row), &again))
	is.Equal(again, row)
	steps[0].Noted = map[int]notedStart{4: {Run: 10, Worker: "v", BootedAt: time.Date(2026, 7, 10, 12, 0, 0, 1000, time.UTC), StartedAt: time.Date(2026, 7, 10, 12, 0, 1, 0, time.UTC), AgeMillis: 20, ChancePPM: 7, Unproven: true}}
	again = progressRow{}
	is.NoErr(DecodeRow(EncodeRow(row), &again))
	is.Equal(again, row)
	is.True(DecodeRow([]byte{0x84, 0, 0, 0, 0x81, 0x82, 0, 0x81, 0x83, 0, 0, 0}, &again) != nil)
	is.True(DecodeRow([]byte{0x84, 0, 0, 0, 0x81, 0x82, 0, 0x81, 0x82, 0, 0}, &again) != nil) // a spoilt step is an error
}

// TestCrashesOutliveTheOwner guards against crashes that are forgotten when the
// owner changes: each owner would start the task anew.
func TestCrashesOutliveTheOwner(t *testing.T) {
	is := is.New(t)
	h := newDeadlyHarness(12)
	guilty := taskOf("guilty", 0)
	h.deadly[guilty] = true
	h.add("guilty", Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(1, 1000))
	for h.crashes[guilty] < 1 {
		h.step(20 * time.Millisecond)
	}
	h.storeDown = true
	for range 500 {
		h.step(20 * time.Millisecond)
	}
	is.Equal(h.starts[guilty], 1) // the proof came, and nothing is in the store
	h.storeDown = false
	for h.starts[guilty] < 2 {
		h.step(20 * time.Millisecond)
	}
	var row progressRow
	is.NoErr(DecodeRow(h.stored[ProgressKey("guilty")], &row))
	crashes := row.Occurrences[0].Steps[0].Crashes[0]
	is.Equal(len(crashes), 1) // it was in the store before the second start
	job := h.core.jobs["guilty"].spec
	next := New(Options{Epoch: 2}, h.now)
	is.NoErr(next.Recover(JobRows{Job: job, Progress: h.stored[ProgressKey("guilty")]}))
	is.Equal(next.jobs["guilty"].occurrences[0].steps[0].tasks()[0].crashes.crashes, crashes)
}

// TestLongRunningTaskIsHeldBack guards against a long-running task that is given
// up, or that crashes worker after worker without a pause.
func TestLongRunningTaskIsHeldBack(t *testing.T) {
	is := is.New(t)
	h := newDeadlyHarness(12)
	lasting := taskOf("lasting", 0)
	h.deadly[lasting] = true
	step := stepOf(1, 1000)
	step.LongRunning = true
	h.add("lasting", Policy{Stretch: 3, ObjectiveMillis: 500}, step)
	var startedAt []time.Time
	for range 5000 {
		before := h.starts[lasting]
		h.step(20 * time.Millisecond)
		if h.starts[lasting] > before {
			startedAt = append(startedAt, h.now)
		}
	}
	is.True(!h.core.jobs["lasting"].state.Ended())
	is.True(len(startedAt) >= 6 && len(startedAt) <= 8) // 100 s, the pauses double
	for i := 3; i < len(startedAt); i++ {
		is.True(startedAt[i].Sub(startedAt[i-1]) > startedAt[i-1].Sub(startedAt[i-2]))
	}
}

// TestRackFailureConvictsNobody guards against innocent tasks that are given up
// because their racks fail twice right after their start.
func TestRackFailureConvictsNobody(t *testing.T) {
	is := is.New(t)
	h := newDeadlyHarness(12)
	h.add("innocent", Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(12, 8000))
	failures := 0
	for range 3000 {
		before := len(h.running)
		h.step(20 * time.Millisecond)
		if len(h.running) == 12 && before < 12 && failures < 3 {
			failures++
			for _, info := range h.infos {
				h.crash(info.HostID)
			}
		}
	}
	is.Equal(failures, 3)
	is.Equal(h.core.jobs["innocent"].state, StateRunning)
	is.Equal(h.core.Stats().GivenUp, int64(0))
}

// takeOver replaces the owner by one that knows what was committed.
func (h *deadlyHarness) takeOver(t *testing.T) {
	t.Helper()
	is := is.New(t)
	var jobs []JobRows
	for id, j := range h.core.jobs {
		jobs = append(jobs, JobRows{Job: j.spec, Progress: h.stored[ProgressKey(id)], Details: storedDetails(h.stored, id)})
	}
	var leased LeasedWorkersRow
	is.NoErr(DecodeRow(h.stored[LeasedWorkersKey], &leased))
	h.core = New(Options{Epoch: h.core.options.Epoch + 1}, h.now)
	h.core.RestoreLeasedWorkers(leased)
	for _, rows := range jobs {
		is.NoErr(h.core.Recover(rows))
	}
	is.NoErr(restoreIntended(h.core, h.stored))
	h.core.SetWorkers(h.now, h.infos)
}

// TestEachOwnerStartsACrashingTaskAnew guards against a task that is started again by
// each of several owners, as each is lost before the crash under its start is proven.
func TestEachOwnerStartsACrashingTaskAnew(t *testing.T) {
	is := is.New(t)
	h := newDeadlyHarness(12)
	guilty := taskOf("guilty", 0)
	h.deadly[guilty] = true
	h.add("guilty", Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(1, 1000))
	h.add("innocent", Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(1, 1000))
	for range 8000 { // each owner waits for the open start of the one before
		before := h.starts[guilty]
		h.step(20 * time.Millisecond)
		if h.starts[guilty] > before {
			h.step(20 * time.Millisecond)
			h.takeOver(t)
		}
	}
	t.Logf("%d starts, %d owners", h.starts[guilty], h.core.options.Epoch)
	is.True(h.starts[guilty] < crashesToStop+startsToStop) // it is given up in time
	is.Equal(h.core.jobs["guilty"].state, StateFailed)
	is.Equal(h.core.jobs["innocent"].state, StateRunning)
}

// TestCrashesAreForgottenBeforeTheirProof guards against an owner that knows that a
// worker fell silent right after a start, and is lost with this knowledge before the
// worker's crash is proven.
func TestCrashesAreForgottenBeforeTheirProof(t *testing.T) {
	is := is.New(t)
	h := newDeadlyHarness(12)
	guilty := taskOf("guilty", 0)
	h.deadly[guilty] = true
	h.add("guilty", Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(1, 1000))
	h.add("innocent", Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(1, 1000))
	for range 4000 {
		before := h.starts[guilty]
		h.step(20 * time.Millisecond)
		if h.starts[guilty] > before {
			for range 50 {
				h.step(20 * time.Millisecond)
			}
			h.takeOver(t)
		}
	}
	t.Logf("%d starts, %d owners", h.starts[guilty], h.core.options.Epoch)
	is.True(h.starts[guilty] <= crashesToStop) // what was known is enough
	is.Equal(h.core.jobs["guilty"].state, StateFailed)
	is.Equal(h.core.jobs["innocent"].state, StateRunning)
}

// TestUnsentStartsAreNoCrashes guards against an innocent task that is given up because
// its owners are lost between storing a start and sending it, or wait to start it.
func TestUnsentStartsAreNoCrashes(t *testing.T) {
	is := is.New(t)
	h := newDeadlyHarness(12)
	task := func() *task { return h.core.jobs["innocent"].occurrences[0].steps[0].tasks()[0] }
	h.add("innocent", Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(1, 1000))
	h.core.Tick(h.now)
	h.store()
	is.Equal(len(h.core.Tick(h.now).Starts), 1) // it isn't sent
	for range 8 {
		h.store()
		h.takeOver(t)
		for sent := 0; sent == 0; {
			h.now = h.now.Add(20 * time.Millisecond)
			h.store()
			orders := h.core.Tick(h.now)
			sent = len(orders.Starts)
			for _, order := range orders.Polls {
				h.core.PollDone(h.now, order, &Report{Clock: h.clock(order.Worker), BootedAt: h.infos[0].BootedAt}, OrderAccepted)
			}
		}
		is.Equal(len(task().crashes.crashes), 1) // that of the first start, which was not noted
	}
	is.True(!h.core.jobs["innocent"].state.Ended())
}
