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

// formerRoom is a room that was replaced. Starts may rest on it for RoomGrace
// after endedAt, or, while that is zero, without an end.
type formerRoom struct {
	total   requester.Resources
	endedAt time.Time
}

// counted returns the room that a start at now may fill: in each resource the
// largest on which it may rest.
func (r *room) counted(now time.Time) requester.Resources {
	r.forget(now)
	counted := r.total
	for _, former := range r.former {
		counted = counted.Max(former.total)
	}
	return counted
}

// forget drops the former rooms on which no start may rest any more.
func (r *room) forget(now time.Time) {
	r.former = slices.DeleteFunc(r.former, func(f formerRoom) bool {
		return !f.endedAt.IsZero() && now.Sub(f.endedAt) >= RoomGrace
	})
}

// set changes the room.
func (r *room) set(total requester.Resources, now time.Time) {
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
