package standin

import (
	"slices"
	"time"

	"kumquatstall/requester"
)

// RoomGrace is how long after a worker's room has shrunk starts may still rest
// on the room before: the time for a heartbeat, which shows the room in the list
// of workers, and for the owner to learn of it.
const RoomGrace = 4500 * time.Millisecond

// room is the capacity of a TaskWorker, which may change while it runs.
type room struct {
	total requester.Resources
	// former are rooms on which starts may still rest, oldest first.
	former []formerRoom
	// hidden is true while the store is away, so that no change can be shown.
	hidden bool
}

// formerRoom is a room that was replaced. Starts that are sent within RoomGrace after
// endedAt may rest on it, or, while that is zero, without an end.
type formerRoom struct {
	total   requester.Resources
	endedAt time.Time
}

// counted returns the room that a start which was sent at sentAt may fill: in each
// resource the largest on which it may rest. A start that is carried out late rests on what
// could be known when it was sent.
func (r *room) counted(sentAt time.Time) requester.Resources {
	counted := r.total
	for _, former := range r.former {
		if former.mayCount(sentAt) {
			counted = counted.Max(former.total)
		}
	}
	return counted
}

// mayCount reports whether a start that was sent at sentAt may rest on the room.
func (f *formerRoom) mayCount(sentAt time.Time) bool {
	return f.endedAt.IsZero() || sentAt.Sub(f.endedAt) < RoomGrace
}

// forget drops the former rooms on which no start may rest any more, also none that is
// carried out late.
func (r *room) forget(now time.Time) {
	earliest := now.Add(-maxOrderWay - maxOrderDelay)
	r.former = slices.DeleteFunc(r.former, func(f formerRoom) bool { return !f.mayCount(earliest) })
}

// set changes the room.
func (r *room) set(total requester.Resources, now time.Time) {
	r.forget(now)
	replaced := formerRoom{total: r.total}
	if !r.hidden {
		replaced.endedAt = now
	}
	r.former = append(r.former, replaced)
	r.total = total
}

// setHidden records that the store goes away, or is there again. A change that
// could not be shown counts as one of the moment at which the store is back.
func (r *room) setHidden(hidden bool, now time.Time) {
	if hidden == r.hidden {
		return
	}
	r.hidden = hidden
	r.forget(now)
	for i := range r.former {
		if !r.former[i].mayCount(now) {
			continue // the owner must have known the change before
		}
		r.former[i].endedAt = time.Time{}
		if !hidden {
			r.former[i].endedAt = now
		}
	}
}

// SetRoom changes the worker's capacity. What runs there runs on. The list of
// workers shows the change after ShowRoom.
func (w *TaskWorker) SetRoom(total requester.Resources, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.room.set(total, now)
}

// ShowRoom makes the list of workers show the worker's present capacity, as a
// heartbeat does.
func (w *TaskWorker) ShowRoom() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.info.Total = w.room.total
}

// setStoreAway records that the store goes away, or is there again.
func (w *TaskWorker) setStoreAway(away bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.room.setHidden(away, now)
}
