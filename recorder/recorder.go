// Package recorder keeps the records by which all attempts of a request meet.
//
// A call that must not run twice has one home: the entry that holds the seat
// its RequestID falls to. The home's Book joins duplicates to the first
// attempt and gives them the same answer. Before the call is dispatched its
// intent is recorded outside the home: as a row of the table or, while the
// table can't be reached, in the Witnesses of other entries. A later home
// finds the intent and does not run the call again.
//
// Nothing here does input or output or reads a clock.
package recorder

import (
	"cmp"
	"slices"
	"time"

	"kumquatstall/requester"
)

// Origin tells whom an answer goes to.
type Origin struct {
	// Token is the caller's connection at this entry; 0 where the call came
	// from a peer or from a home.
	Token uint64
	// Peer forwarded the call under ID.
	Peer requester.EntryID
	ID   uint64
	// Home tells that the answer completes the record of this request.
	CoordinatedRequest requester.RequestID
}

// Verdict tells what to do with an attempt.
type Verdict int

// The verdicts.
const (
	// VerdictNew tells that the attempt is the first: run it.
	VerdictNew Verdict = iota
	// VerdictJoined tells that the attempt waits for an earlier one.
	VerdictJoined
	// VerdictEnded tells that an earlier attempt has ended.
	VerdictEnded
)

type record struct {
	call    requester.Call
	answer  requester.Answer
	waiters []Origin
	ended   bool
	// expires is when the record may be forgotten; set once ended.
	expires time.Time
	// intentRevision is the table's revision of the intent row, if any.
	intentRevision int64
	// witnessed tells that the intent is with witnesses and not yet in the
	// table.
	witnessed bool
}

// Book holds the records of the requests at home here.
type Registry struct {
	records map[requester.RequestID]*record
	// witnessed counts the records whose intent is with witnesses only.
	witnessed int
}

// NewRegistry returns an empty book.
func NewRegistry() *Registry { return &Registry{records: make(map[requester.RequestID]*record)} }

// Len returns the number of records.
func (b *Registry) Len() int { return len(b.records) }

// Begin takes in an attempt. With VerdictEnded it returns the answer.
func (b *Registry) Register(call requester.Call, origin Origin) (Verdict, requester.Answer) {
	known, ok := b.records[call.RequestID]
	if !ok {
		b.records[call.RequestID] = &record{call: call, waiters: []Origin{origin}}
		return VerdictNew, requester.Answer{}
	}
	if known.ended {
		return VerdictEnded, known.answer
	}
	known.waiters = append(known.waiters, origin)
	return VerdictJoined, requester.Answer{}
}

// SetWriteAhead notes the table's revision of a request's intent row.
func (b *Registry) SetWriteAhead(id requester.RequestID, revision int64) {
	if known, ok := b.records[id]; ok {
		known.intentRevision = revision
	}
}

// SetReplicated notes that a request's intent is with witnesses only.
func (b *Registry) SetReplicated(id requester.RequestID) {
	if known, ok := b.records[id]; ok {
		known.witnessed = true
		b.witnessed++
	}
}

// SetStored notes that a witnessed intent now stands in the table; revision
// is 0 where another home wrote the row.
func (b *Registry) SetStored(id requester.RequestID, revision int64) {
	if known, ok := b.records[id]; ok && known.witnessed {
		known.witnessed = false
		known.intentRevision = revision
		b.witnessed--
	}
}

// Witnessed returns up to limit requests whose intent is with witnesses only.
func (b *Registry) ReplicatedOnly(limit int) []requester.RequestID {
	if b.witnessed == 0 {
		return nil
	}
	var found []requester.RequestID
	for id, known := range b.records {
		if known.witnessed {
			found = append(found, id)
		}
	}
	slices.Sort(found)
	return found[:min(limit, len(found))]
}

// Finish ends a request and returns who waits for the answer. An answer that
// proves that nothing ran is not kept: the request may be tried again.
func (b *Registry) Finish(id requester.RequestID, answer requester.Answer, expires time.Time) []Origin {
	known, ok := b.records[id]
	if !ok || known.ended {
		return nil
	}
	waiters := known.waiters
	known.waiters = nil
	known.ended = true
	known.answer = answer
	known.expires = expires
	if answer.Outcome.ProvesNotRun() && known.intentRevision == 0 && !known.witnessed {
		delete(b.records, id)
	}
	return waiters
}

// Ended is a request that has ended, as one home tells the next.
type EndedRequest struct {
	RequestID requester.RequestID
	Answer    requester.Answer
	// IntentRevision is the table's revision of the intent's row, if any.
	IntentRevision int64
}

// Select returns the ended requests of which keep is true.
func (b *Registry) SelectEnded(keep func(requester.RequestID) bool) []EndedRequest {
	var ended []EndedRequest
	for id, known := range b.records {
		if known.ended && keep(id) {
			ended = append(ended, EndedRequest{RequestID: id, Answer: known.answer, IntentRevision: known.intentRevision})
		}
	}
	slices.SortFunc(ended, func(a, b EndedRequest) int { return cmp.Compare(a.RequestID, b.RequestID) })
	return ended
}

// Inherit takes in a request that ended at an earlier home.
func (b *Registry) Import(ended EndedRequest, expires time.Time) {
	if _, ok := b.records[ended.RequestID]; ok {
		return
	}
	b.records[ended.RequestID] = &record{
		call:           requester.Call{RequestID: ended.RequestID},
		answer:         ended.Answer,
		ended:          true,
		expires:        expires,
		intentRevision: ended.IntentRevision,
	}
}

// Restart makes an ended record that proves nothing ran new again, so that the
// same home may try once more under the intent it holds already.
func (b *Registry) Reopen(call requester.Call, origin Origin) bool {
	known, ok := b.records[call.RequestID]
	if !ok || !known.ended || !known.answer.Outcome.ProvesNotRun() {
		return false
	}
	known.ended = false
	known.call = call
	known.waiters = []Origin{origin}
	return true
}

// Leave takes a waiter off a request and reports whether it was the last.
func (b *Registry) RemoveWaiter(id requester.RequestID, origin Origin) (last bool) {
	known, ok := b.records[id]
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

// Pending returns the requests of which keep is true that have not ended.
func (b *Registry) Pending(keep func(requester.RequestID) bool) int {
	count := 0
	for id, known := range b.records {
		if !known.ended && keep(id) {
			count++
		}
	}
	return count
}

// WriteAheadRow names an intent row that has served its time.
type WriteAheadRow struct {
	RequestID requester.RequestID
	Revision  int64
}

// Expire forgets the records whose time is over and returns their intent rows.
func (b *Registry) Expire(now time.Time) []WriteAheadRow {
	var rows []WriteAheadRow
	for id, known := range b.records {
		if !known.ended || now.Before(known.expires) {
			continue
		}
		delete(b.records, id)
		if known.witnessed {
			b.witnessed--
		}
		if known.intentRevision > 0 {
			rows = append(rows, WriteAheadRow{RequestID: id, Revision: known.intentRevision})
		}
	}
	slices.SortFunc(rows, func(a, b WriteAheadRow) int { return cmp.Compare(a.RequestID, b.RequestID) })
	return rows
}

// Witnesses holds the intents that other entries' homes recorded here.
type Replicas struct {
	byID map[requester.RequestID]witness
}

type witness struct {
	home    requester.EntryID
	expires time.Time
}

// NewReplicas returns an empty set.
func NewReplicas() *Replicas { return &Replicas{byID: make(map[requester.RequestID]witness)} }

// Record notes an intent of a home's, until expires. It reports false where
// another home has recorded the request.
func (w *Replicas) Record(id requester.RequestID, home requester.EntryID, expires time.Time) bool {
	if known, ok := w.byID[id]; ok && known.home != home {
		return false
	}
	w.byID[id] = witness{home: home, expires: expires}
	return true
}

// Has reports whether an intent of the request is known.
func (w *Replicas) Has(id requester.RequestID) bool {
	_, ok := w.byID[id]
	return ok
}

// Select returns the requests of which keep is true.
func (w *Replicas) Select(keep func(requester.RequestID) bool) []requester.RequestID {
	var found []requester.RequestID
	for id := range w.byID {
		if keep(id) {
			found = append(found, id)
		}
	}
	slices.Sort(found)
	return found
}

// Expire forgets the intents whose time is over.
func (w *Replicas) Expire(now time.Time) {
	for id, known := range w.byID {
		if !now.Before(known.expires) {
			delete(w.byID, id)
		}
	}
}
