package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// The workers of a simulation with the option shrinks have rooms that shrink
// and grow. A worker's row shows its room at the worker's next heartbeat, and
// no heartbeat reaches a store that is away. A worker that has crashed may come
// back with another room, and its row is there until that of the next
// incarnation replaces it.

const (
	// rowInterval is the interval between the heartbeats of a worker.
	rowInterval = 1500 * time.Millisecond
	// contactTime is how long the store must have been there for what is known
	// of it to count as current.
	contactTime = 3 * time.Second
	// roomBound is the time from which on a start must heed that a room has
	// shrunk.
	roomBound = contactTime + rowInterval
	// ownerTerm is how long an owner goes on without the store.
	ownerTerm = 800 * time.Millisecond
)

// fullRoom is the room of a worker that has not shrunk.
var fullRoom = requester.Resources{MilliCores: 8000, MemoryMB: 16000, Accelerators: 2}

// simulatedRooms is what a simulation keeps for rooms that shrink.
type simulatedRooms struct {
	// outages are the times in which the store is away, oldest first.
	outages []outage
	// shrunkForGood counts the workers whose room does not grow again.
	shrunkForGood int
}

type outage struct{ began, ends time.Time }

// fakeRoom is a worker's room over time.
type fakeRoom struct {
	// changes are the rooms of the current incarnation, oldest first.
	changes []roomChange
	// shown and shownBoot are the room and the incarnation that the worker's
	// row shows.
	shown     requester.Resources
	shownBoot time.Time
	// nextRowAt is the time of the next heartbeat.
	nextRowAt time.Time
	// crashedAt is when the worker last crashed.
	crashedAt time.Time
	// issuedAt is when the start that is being executed was issued.
	issuedAt time.Time
	// serial numbers the changes, so that the end of a shrink does not undo a
	// later one.
	serial int
}

type roomChange struct {
	at    time.Time
	total requester.Resources
}

// furnish gives the workers their first rooms.
func (sim *simulation) furnish() {
	for i, f := range sim.workers {
		if sim.options.shrinks > 0 {
			f.info.Total = fullRoom
		}
		f.room.changes = []roomChange{{sim.now, f.info.Total}}
		f.room.shown, f.room.shownBoot = f.info.Total, f.info.BootedAt
		f.room.nextRowAt = sim.now.Add(time.Duration(i) * rowInterval / time.Duration(len(sim.workers)))
	}
}

// furnishAnew gives a new incarnation its room, which may be smaller than that
// of the one before. Its row shows it a little later.
func (f *fakeWorker) furnishAnew() {
	if f.sim.options.shrinks == 0 {
		return
	}
	room := fullRoom
	if f.sim.random.IntN(2) == 0 {
		room = requester.Resources{MilliCores: 4000, MemoryMB: 6000, Accelerators: 1}
	}
	f.room.changes = nil
	f.setRoom(room)
	f.room.nextRowAt = f.sim.now.Add(time.Duration(f.sim.random.IntN(300)) * time.Millisecond)
	f.growAfter(time.Duration(f.sim.random.IntN(9000)) * time.Millisecond)
}

func (f *fakeWorker) setRoom(total requester.Resources) {
	f.room.serial++
	f.room.changes = append(f.room.changes, roomChange{f.sim.now, total})
}

// growAfter gives the worker its full room again, unless it changes before.
func (f *fakeWorker) growAfter(wait time.Duration) {
	serial := f.room.serial
	f.sim.after(wait, func() {
		if serial == f.room.serial && !f.crashed {
			f.setRoom(fullRoom)
		}
	})
}

// shrink shrinks the worker's room in one or all resources: to nothing, below
// what runs, or to some share. Few rooms stay small; the others grow again
// after a short or a long time.
func (f *fakeWorker) shrink() {
	sim, r := f.sim, f.sim.random
	if f.crashed {
		return
	}
	var used requester.Resources
	for _, run := range f.runs {
		used = used.Add(run.need)
	}
	smaller := func(full, used int64) int64 {
		switch r.IntN(3) {
		case 0:
			return 0
		case 1:
			return min(full, used/2)
		}
		return r.Int64N(full + 1)
	}
	room := requester.Resources{
		MilliCores:   smaller(fullRoom.MilliCores, used.MilliCores),
		MemoryMB:     smaller(fullRoom.MemoryMB, used.MemoryMB),
		Accelerators: smaller(fullRoom.Accelerators, used.Accelerators),
	}
	switch r.IntN(4) {
	case 0:
		room.MemoryMB, room.Accelerators = fullRoom.MemoryMB, fullRoom.Accelerators
	case 1:
		room.MilliCores, room.Accelerators = fullRoom.MilliCores, fullRoom.Accelerators
	case 2:
		room.MilliCores, room.MemoryMB = fullRoom.MilliCores, fullRoom.MemoryMB
	}
	f.setRoom(room)
	switch {
	case r.IntN(20) == 0 && sim.rooms.shrunkForGood < len(sim.workers)/3:
		sim.rooms.shrunkForGood++
	case r.IntN(2) == 0:
		f.growAfter(time.Duration(20+r.IntN(2000)) * time.Millisecond)
	default:
		f.growAfter(time.Duration(2000+r.IntN(12000)) * time.Millisecond)
	}
}

// rowStands reports whether the row of a crashed worker is still there. It is
// removed after three intervals of silence.
func (f *fakeWorker) rowStands() bool {
	return f.sim.options.shrinks > 0 && f.sim.now.Sub(f.room.crashedAt) < 3*rowInterval
}

// showRoom makes the worker's row show its room once its heartbeat is due.
func (f *fakeWorker) showRoom() {
	if f.sim.now.Before(f.room.nextRowAt) || f.sim.storeAway() {
		return
	}
	f.room.nextRowAt = f.sim.now.Add(rowInterval)
	f.room.shown, f.room.shownBoot = f.room.changes[len(f.room.changes)-1].total, f.bootedAt
}

// row returns the worker's row in the list of workers.
func (f *fakeWorker) row() WorkerInfo {
	info := f.info
	if f.sim.options.shrinks > 0 {
		info.Total, info.BootedAt = f.room.shown, f.room.shownBoot
	}
	return info
}

// countedRoom returns the room that counts for the start that is being
// executed: in each resource the largest since roomBound before the start was
// issued. If the store was away within contactTime before that, the owner need
// not know any room.
func (f *fakeWorker) countedRoom() requester.Resources {
	sim, issuedAt := f.sim, f.room.issuedAt
	for _, away := range sim.rooms.outages {
		if away.began.Before(issuedAt) && issuedAt.Before(away.ends.Add(contactTime)) {
			return fullRoom
		}
	}
	since := issuedAt.Add(-roomBound)
	var counted requester.Resources
	for i, change := range f.room.changes {
		if i+1 < len(f.room.changes) && f.room.changes[i+1].at.Before(since) {
			continue // it ended before
		}
		counted = counted.Max(change.total)
	}
	return counted
}

// startOutage makes the store go away for some time, during which no list is
// read, no batch is committed, and the owner stops once its term is over.
func (sim *simulation) startOutage() {
	if !sim.storeAway() {
		ends := sim.now.Add(time.Duration(200+sim.random.IntN(9000)) * time.Millisecond)
		sim.rooms.outages = append(sim.rooms.outages, outage{sim.now, ends})
	}
}

// lastOutage returns the last time in which the store is away; zero if it
// never was.
func (sim *simulation) lastOutage() outage {
	if len(sim.rooms.outages) == 0 {
		return outage{}
	}
	return sim.rooms.outages[len(sim.rooms.outages)-1]
}

func (sim *simulation) storeAway() bool { return sim.now.Before(sim.lastOutage().ends) }

func (sim *simulation) untilStoreIsBack() time.Duration {
	return max(0, sim.lastOutage().ends.Sub(sim.now))
}

func (sim *simulation) ownerWithoutTerm() bool {
	return sim.storeAway() && sim.now.Sub(sim.lastOutage().began) >= ownerTerm
}

// addAccelerators makes some steps of a simulation with rooms that shrink need
// accelerators.
func (sim *simulation) addAccelerators(s *Step) {
	if sim.options.shrinks > 0 && sim.random.IntN(4) == 0 {
		s.Need.Accelerators = 1
	}
}

// info returns what the list shows of a worker of a harness.
func (h *harness) info(number int) WorkerInfo { return h.core.sortedWorkers[number].info }

// list shows a list that differs from the last one in the given workers.
func (h *harness) list(changed ...WorkerInfo) {
	var infos []WorkerInfo
	for _, w := range h.core.sortedWorkers {
		info := w.info
		for _, other := range changed {
			if other.HostID == info.HostID {
				info = other
			}
		}
		infos = append(infos, info)
	}
	h.core.SetWorkers(h.now, infos)
}

// resize lists a worker with another room.
func (h *harness) resize(number int, total requester.Resources) {
	info := h.info(number)
	info.Total = total
	h.list(info)
}

// TestRoomOfEarlierIncarnation guards against tasks that a worker that has
// started again, with less room, gets by the room that it had before.
func TestRoomOfEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	w := h.core.sortedWorkers[0]
	h.now = h.now.Add(time.Second)
	reborn := h.info(0)
	reborn.BootedAt = h.now
	reborn.Total = requester.Resources{MilliCores: 2000, MemoryMB: 4000}
	h.core.PollDone(h.now, PollOrder{Worker: w.ref(), SentAt: h.now}, &Report{Clock: 1, BootedAt: h.now}, OrderAccepted)
	h.add("large", Policy{Stretch: 9}, stepOf(1, 8000))
	h.add("small", Policy{Stretch: 9}, stepOf(1, 1000))
	is.Equal(len(h.settle()), 0) // the list still has the earlier incarnation
	h.list(reborn)
	starts := h.settle()
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, requester.JobID("small"))
}

// TestGrownRoomIsUsedAtOnce guards against waiting tasks that find room that
// has grown only at the next scan of all workers.
func TestGrownRoomIsUsedAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(3)
	h.resize(1, requester.Resources{})
	h.add("full", Policy{Stretch: 9}, stepOf(2, 8000))
	is.Equal(len(h.settle()), 2)
	h.add("waiting", Policy{Stretch: 9}, stepOf(1, 4000))
	is.Equal(len(h.settle()), 0)
	h.resize(1, workerTotal)
	is.Equal(len(h.advance(tickOfSession)), 1)
}

// tickOfSession is the time between two ticks of a busy owner.
const tickOfSession = 10 * time.Millisecond

// TestShrunkRoomHoldsNoGang guards against a gang for which a worker is
// reserved whose accelerators have shrunk below what runs there, so that it
// takes no task at all until that ends.
func TestShrunkRoomHoldsNoGang(t *testing.T) {
	is := is.New(t)
	h := newHarness(8)
	total := workerTotal
	total.Accelerators = 2
	h.resize(0, total)
	accelerated := Step{Count: 1, Need: requester.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 2}, EstimateMillis: 60_000}
	h.add("accelerated", Policy{Stretch: 9}, accelerated)
	is.Equal(len(h.settle()), 1)
	busy := stepOf(1, 8000)
	busy.EstimateMillis = 2000
	h.add("busy", Policy{Stretch: 9}, busy)
	long := stepOf(6, 8000)
	long.EstimateMillis = 60_000
	h.add("long", Policy{Stretch: 9}, long)
	is.Equal(len(h.settle()), 7)
	total.Accelerators = 1
	h.resize(0, total)
	h.add("gang", Policy{Stretch: 20}, gangOf(2, 5000))
	h.settle()
	h.advance(reservationInterval)
	is.Equal(len(h.core.reservations), 0) // the first worker takes nothing for a minute
}

// TestShrunkRoomEndsReservation checks that a gang loses a reservation once the
// room of a reserved worker has shrunk below what the gang needs, and starts
// where there is room.
func TestShrunkRoomEndsReservation(t *testing.T) {
	is := is.New(t)
	h := reservedHarness(t)
	reserved := h.core.reservations[0].workers[0].worker
	info := reserved.info
	info.Total.MilliCores = 5000
	h.list(info)
	h.advance(reservationInterval)
	for _, res := range h.core.reservations {
		is.True(res.workers[0].worker != reserved)
	}
	is.Equal(reserved.reservation, nil)
	h.advance(2 * time.Second)
	h.endAfter(2 * time.Second)
	starts := h.settle()
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, requester.JobID("gang"))
	is.True(starts[0].Worker.HostID != reserved.info.HostID)
}

// TestChangedRoomIsLogged checks the log line and the counters of a worker's
// changed capacity; a list that repeats the capacity adds neither.
func TestChangedRoomIsLogged(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("job", Policy{Stretch: 9}, stepOf(1, 5000))
	is.Equal(len(h.settle()), 1)
	h.core.TakeLogRecords()
	for _, total := range []requester.Resources{
		workerTotal,
		{MilliCores: 4000, MemoryMB: 16000},
		{MilliCores: 8000, MemoryMB: 8000},
		workerTotal,
	} {
		h.resize(0, total)
	}
	var lines []string
	for _, record := range h.core.TakeLogRecords() {
		is.Equal(record.Event, "worker's capacity")
		is.Equal(record.Worker, h.info(0).HostID)
		lines = append(lines, record.Why)
	}
	is.Equal(lines, []string{
		"now 4000 MilliCores, 16000 MemoryMB, 0 Accelerators, before 8000 MilliCores, 16000 MemoryMB, 0 Accelerators; its runs exceed it, with 5000 MilliCores, 100 MemoryMB, 0 Accelerators",
		"now 8000 MilliCores, 8000 MemoryMB, 0 Accelerators, before 4000 MilliCores, 16000 MemoryMB, 0 Accelerators",
		"now 8000 MilliCores, 16000 MemoryMB, 0 Accelerators, before 8000 MilliCores, 8000 MemoryMB, 0 Accelerators",
	})
	is.Equal(h.core.Stats().RoomsShrunk, int64(2))
	is.Equal(h.core.Stats().RoomsGrown, int64(2))
}

// TestShrunkRoomStopsNothing checks that what runs on a worker runs on when its
// room shrinks to nothing, gangs and tasks that last included, that nothing is
// started there until it has grown again, and that waiting tasks go elsewhere.
func TestShrunkRoomStopsNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	lasting := stepOf(1, 1000)
	lasting.LongRunning = true
	h.add("gang", Policy{Stretch: 9}, gangOf(2, 5000))
	h.add("lasting", Policy{Stretch: 9}, lasting)
	is.Equal(len(h.settle()), 3)
	h.resize(0, requester.Resources{})
	h.add("waiting", Policy{Stretch: 9}, stepOf(4, 500))
	starts := h.settle()
	for range 20 {
		starts = append(starts, h.advance(100*time.Millisecond)...)
	}
	is.Equal(h.core.Stats().Stops, int64(0))
	is.Equal(len(starts), 4)
	for _, start := range starts {
		is.Equal(start.Worker.HostID, h.info(1).HostID)
	}
}
