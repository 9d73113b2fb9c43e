package recorder

import (
	"slices"
	"time"

	"kumquatstall/requester"
)

// A replica is a write-ahead record that this entry keeps in its memory for a
// coordinator at another entry, while the table can't store it.

// Replicas holds the write-ahead records that coordinators at other entries
// have replicated to this entry.
type Replicas struct {
	byID map[requester.RequestID]replica
}

// Coordinator is the process that replicates a write-ahead record: one incarnation of an
// entry, as the next one knows nothing of what the former one ran.
type Coordinator struct {
	Entry       requester.EntryID
	Incarnation int64
}

// replica is one replicated write-ahead record.
type replica struct {
	coordinator Coordinator
	expires     time.Time
}

// NewReplicas returns an empty set of replicas.
func NewReplicas() *Replicas { return &Replicas{byID: make(map[requester.RequestID]replica)} }

// Record adds a coordinator's write-ahead record, or renews it, until expires.
// It returns false if another coordinator has recorded the request.
func (r *Replicas) Record(id requester.RequestID, coordinator Coordinator, expires time.Time) bool {
	if known, ok := r.byID[id]; ok && known.coordinator != coordinator {
		return false
	}
	r.byID[id] = replica{coordinator: coordinator, expires: expires}
	return true
}

// Has reports whether there is a write-ahead record of the request.
func (r *Replicas) Has(id requester.RequestID) bool {
	_, ok := r.byID[id]
	return ok
}

// Select returns the requests for which keep returns true, sorted.
func (r *Replicas) Select(keep func(requester.RequestID) bool) []requester.RequestID {
	var found []requester.RequestID
	for id := range r.byID {
		if keep(id) {
			found = append(found, id)
		}
	}
	slices.Sort(found)
	return found
}

// Expire evicts the expired write-ahead records.
func (r *Replicas) Expire(now time.Time) {
	for id, known := range r.byID {
		if !now.Before(known.expires) {
			delete(r.byID, id)
		}
	}
}
