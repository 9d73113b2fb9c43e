// Package recorder deduplicates the attempts of requests.
//
// A call that must not run twice, or not in two places at once, has one
// coordinator: the entry that holds the call shard to which its RequestID is
// assigned. The coordinator's Registry joins duplicate attempts to the first one
// and gives them the same answer. Before the call is dispatched, a write-ahead
// record of it is stored outside the coordinator: as a row of the table or,
// while the table is unavailable, in the Replicas of other entries of the data
// centre, if one is alive. A later coordinator finds the write-ahead record and
// does not run the call again.
//
// The package does no input or output and reads no clock.
package recorder

import (
	"cmp"
	"slices"
	"time"

	"kumquatstall/requester"
)

// Origin is the recipient of an answer: a caller, a peer or the record of a
// request that this entry coordinates.
type Origin struct {
	// Token identifies the caller's connection at this entry; 0 if the call
	// came from a peer or from a coordinator.
	Token uint64
	// Peer is the entry that forwarded the call, with the identifier ID.
	Peer requester.EntryID
	ID   uint64
	// CoordinatedRequest is set if this entry coordinates the request and the
	// answer completes its record.
	CoordinatedRequest requester.RequestID
}

// Verdict is the result of registering an attempt.
type Verdict int

// The verdicts.
const (
	// VerdictNew means that the attempt is the first and is to be run.
	VerdictNew Verdict = iota
	// VerdictJoined means that the attempt waits for the answer of an earlier
	// one.
	VerdictJoined
	// VerdictEnded means that the request has ended already.
	VerdictEnded
)

// record is the state of one request at its coordinator.
type record struct {
	call   requester.Call
	answer requester.Answer
	// waiters receive the answer once the request has ended.
	waiters []Origin
	ended   bool
	// expires is when the record may be evicted; set once ended.
	expires time.Time
	// writeAheadRevision is the table revision of the write-ahead row; 0 if
	// there is none.
	writeAheadRevision int64
	// replicatedOnly is true while the write-ahead record is held by replicas
	// and not yet stored in the table.
	replicatedOnly bool
	// superseded is true if another coordinator may have run the request since
	// this record was made.
	superseded bool
}

// truthful returns the answer that may be given for the record: that nothing ran
// is not known of a superseded one.
func (r *record) truthful(answer requester.Answer) requester.Answer {
	if r.superseded && answer.Outcome.ProvesNotRun() {
		return DuplicateAnswer(answer.RequestID)
	}
	return answer
}

// DuplicateAnswer is the answer to an attempt if an earlier attempt of the
// request may have run.
func DuplicateAnswer(id requester.RequestID) requester.Answer {
	return requester.Answer{RequestID: id, Outcome: requester.OutcomeUnknown, Reason: requester.ReasonDuplicate}
}

// Registry holds the records of the requests that this entry coordinates.
type Registry struct {
	records map[requester.RequestID]*record
	// replicatedOnlyCount is the number of records with replicatedOnly set.
	replicatedOnlyCount int
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{records: make(map[requester.RequestID]*record)} }

// Len returns the number of records.
func (r *Registry) Len() int { return len(r.records) }

// Register adds an attempt: it creates the request's record, or joins the
// attempt to an existing one. With VerdictEnded it returns the answer.
func (r *Registry) Register(call requester.Call, origin Origin) (Verdict, requester.Answer) {
	known, ok := r.records[call.RequestID]
	if !ok {
		r.records[call.RequestID] = &record{call: call, waiters: []Origin{origin}}
		return VerdictNew, requester.Answer{}
	}
	if known.ended {
		return VerdictEnded, known.answer
	}
	known.waiters = append(known.waiters, origin)
	return VerdictJoined, requester.Answer{}
}

// SetWriteAhead sets the table revision of a request's write-ahead row.
func (r *Registry) SetWriteAhead(id requester.RequestID, revision int64) {
	if known, ok := r.records[id]; ok {
		known.writeAheadRevision = revision
	}
}

// SetReplicated marks a request's write-ahead record as held by replicas only,
// and not stored in the table. There is no replica if no other entry is alive.
func (r *Registry) SetReplicated(id requester.RequestID) {
	if known, ok := r.records[id]; ok {
		known.replicatedOnly = true
		r.replicatedOnlyCount++
	}
}

// SetStored marks a write-ahead record that was held by replicas only as
// stored in the table at a revision. With revision 0, Expire does not return
// the row.
func (r *Registry) SetStored(id requester.RequestID, revision int64) {
	if known, ok := r.records[id]; ok && known.replicatedOnly {
		known.replicatedOnly = false
		known.writeAheadRevision = revision
		r.replicatedOnlyCount--
	}
}

// ReplicatedOnly returns up to limit requests whose write-ahead record is held
// by replicas only, in the order of their RequestIDs.
func (r *Registry) ReplicatedOnly(limit int) []requester.RequestID {
	if r.replicatedOnlyCount == 0 {
		return nil
	}
	var found []requester.RequestID
	for id, known := range r.records {
		if known.replicatedOnly {
			found = append(found, id)
		}
	}
	slices.Sort(found)
	return found[:min(limit, len(found))]
}

// Supersede marks the records of the requests for which of returns true: another
// coordinator may have run them meanwhile. From then on they prove only what did
// run.
func (r *Registry) Supersede(of func(requester.RequestID) bool) {
	for id, known := range r.records {
		if of(id) {
			known.superseded = true
			known.answer = known.truthful(known.answer)
		}
	}
}

// Superseded reports whether the request's record has been superseded.
func (r *Registry) Superseded(id requester.RequestID) bool {
	known, ok := r.records[id]
	return ok && known.superseded
}

// Finish ends a request and returns the waiters and the answer that they are to
// receive. If the answer proves that nothing ran and there is no write-ahead
// record, the record is deleted and the request may be tried again.
func (r *Registry) Finish(id requester.RequestID, answer requester.Answer, expires time.Time) ([]Origin, requester.Answer) {
	known, ok := r.records[id]
	if !ok || known.ended {
		return nil, answer
	}
	answer = known.truthful(answer)
	waiters := known.waiters
	known.waiters = nil
	known.ended = true
	known.answer = answer
	known.expires = expires
	if answer.Outcome.ProvesNotRun() && known.writeAheadRevision == 0 && !known.replicatedOnly {
		delete(r.records, id)
	}
	return waiters, answer
}

// EndedRequest is a request that has ended, as one coordinator transfers it to
// the next.
type EndedRequest struct {
	RequestID requester.RequestID
	Answer    requester.Answer
	// IntentRevision is the table revision of the write-ahead row; 0 if there
	// is none.
	IntentRevision int64
}

// SelectEnded returns the ended requests for which keep returns true, sorted
// by RequestID.
func (r *Registry) SelectEnded(keep func(requester.RequestID) bool) []EndedRequest {
	var found []EndedRequest
	for id, known := range r.records {
		if known.ended && keep(id) {
			found = append(found, EndedRequest{RequestID: id, Answer: known.answer, IntentRevision: known.writeAheadRevision})
		}
	}
	slices.SortFunc(found, func(a, b EndedRequest) int { return cmp.Compare(a.RequestID, b.RequestID) })
	return found
}

// Import adds a request that ended at an earlier coordinator. A record that
// exists already is left unchanged, unless it was superseded and has ended.
func (r *Registry) Import(request EndedRequest, expires time.Time) {
	if known, ok := r.records[request.RequestID]; ok {
		if !known.superseded || !known.ended {
			return
		}
		if known.replicatedOnly {
			r.replicatedOnlyCount--
		}
	}
	r.records[request.RequestID] = &record{
		call:               requester.Call{RequestID: request.RequestID},
		answer:             request.Answer,
		ended:              true,
		expires:            expires,
		writeAheadRevision: request.IntentRevision,
	}
}

// Reopen makes an ended record whose answer proves that nothing ran pending
// again, so that the same coordinator may retry the request under the
// write-ahead record that exists. It reports whether it did so.
func (r *Registry) Reopen(call requester.Call, origin Origin) bool {
	known, ok := r.records[call.RequestID]
	if !ok || !known.ended || !known.answer.Outcome.ProvesNotRun() {
		return false
	}
	known.ended = false
	known.call = call
	known.waiters = []Origin{origin}
	return true
}

// RemoveWaiter removes a waiter from a pending request and reports whether it
// was the last. It returns false for an origin that does not wait.
func (r *Registry) RemoveWaiter(id requester.RequestID, origin Origin) (last bool) {
	known, ok := r.records[id]
	if !ok || known.ended {
		return false
	}
	i := slices.Index(known.waiters, origin)
	if i < 0 {
		return false
	}
	known.waiters = slices.Delete(known.waiters, i, i+1)
	return len(known.waiters) == 0
}

// Pending returns the number of requests that have not ended and for which
// keep returns true.
func (r *Registry) Pending(keep func(requester.RequestID) bool) int {
	count := 0
	for id, known := range r.records {
		if !known.ended && keep(id) {
			count++
		}
	}
	return count
}

// WriteAheadRow identifies the write-ahead row of an expired record.
type WriteAheadRow struct {
	RequestID requester.RequestID
	Revision  int64
}

// Expire evicts the expired records and returns their write-ahead rows, sorted
// by RequestID, so that they can be deleted.
func (r *Registry) Expire(now time.Time) []WriteAheadRow {
	var rows []WriteAheadRow
	for id, known := range r.records {
		if !known.ended || now.Before(known.expires) {
			continue
		}
		delete(r.records, id)
		if known.replicatedOnly {
			r.replicatedOnlyCount--
		}
		if known.writeAheadRevision > 0 {
			rows = append(rows, WriteAheadRow{RequestID: id, Revision: known.writeAheadRevision})
		}
	}
	slices.SortFunc(rows, func(a, b WriteAheadRow) int { return cmp.Compare(a.RequestID, b.RequestID) })
	return rows
}
