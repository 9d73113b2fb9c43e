package dispatcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// Intervals and delays of acquiring the cell.
const (
	// acquireInterval is the interval between checks whether the cell can be
	// acquired.
	acquireInterval = 50 * time.Millisecond
	// acquireJitter bounds the random time that is added to acquireInterval, so
	// that few entries try to acquire the cell at the same time.
	acquireJitter = 30 * time.Millisecond
	// An entry leaves a cell without an owner to entries with more cores for
	// capacityDelay divided by its number of cores. If it has less than
	// lowCapacityShare of the cores of the largest entry, it waits
	// lowCapacityDelay instead, which is much longer because some entries
	// observe a change of the owner's row half a second later than others.
	capacityDelay    = 30 * time.Millisecond
	lowCapacityDelay = 1500 * time.Millisecond
	lowCapacityShare = 0.7
	// successorDelay is how long the other entries leave a released cell to
	// the successor that the owner named.
	successorDelay = 600 * time.Millisecond
	// announceInterval is the interval between messages in which an entry tells
	// the owner that it could be the successor. The owner forgets an entry from
	// which none has come for capacityValidity, which leaves out three of them.
	announceInterval = 500 * time.Millisecond
	capacityValidity = 2 * time.Second
	// refusedDelay is the delay before another attempt after the store has refused
	// one as invalid.
	refusedDelay = time.Second
	// ownerSafetyMargin separates the expiry of the owner's lease from the time
	// at which other entries may acquire the cell.
	ownerSafetyMargin = 200 * time.Millisecond
)

// acquireLoop acquires the cell when it has no owner, and runs a session each
// time it succeeds.
func (d *Dispatcher) acquireLoop() {
	var vacantSince time.Time
	for d.pause(acquireInterval + rand.N(acquireJitter)) {
		owner := d.cache.ownerView()
		d.dialOwner(owner)
		d.announceCapacity(owner.row.Holder)
		if d.draining.Load() || !d.storeReachable() || !d.mayAcquire(owner) {
			vacantSince = time.Time{}
			continue
		}
		if vacantSince.IsZero() {
			vacantSince = d.clock.Now()
		}
		if d.clock.Now().Sub(vacantSince) < d.acquireDelay(owner.row) {
			continue
		}
		vacantSince = time.Time{}
		if !d.ownerUnchanged(owner) {
			continue
		}
		row, revision, ok := d.acquire(owner)
		if !ok {
			continue
		}
		s := newSession(d, row, revision, d.acquisition.sentAt, owner)
		d.session.Store(s)
		// PeerUp was called before the session existed for the links that are
		// up already.
		s.post(s.addLinkedRelays)
		if d.draining.Load() {
			// Drain may have been called before the session existed.
			s.release()
		}
		s.run()
		d.session.Store(nil)
	}
}

// acquireDelay returns how long this entry leaves a cell without an owner to
// other entries: to the successor that the last owner named, and then to
// entries with more cores.
func (d *Dispatcher) acquireDelay(owner ownerRow) time.Duration {
	delay := time.Duration(float64(capacityDelay) / d.options.Cores)
	if d.options.Cores < lowCapacityShare*owner.MaxCores {
		delay = lowCapacityDelay
	}
	if owner.Released && owner.Successor != "" && owner.Successor != d.options.Self {
		delay += successorDelay
	}
	return delay
}

// mayAcquire reports whether the cell has no owner, or the last observed owner
// may be replaced: it has released the cell, its lease has expired, its host
// refuses connections, or it is this entry in an earlier session. The successor
// relies on no guarantee of a previous owner, so acquiring the cell early costs
// time but not safety.
func (d *Dispatcher) mayAcquire(owner ownerView) bool {
	if !owner.known || owner.row.Released || owner.row.Holder == d.options.Self {
		return true
	}
	// If the store is slow, both the owner's renewals and the watch that
	// returns them take longer.
	if d.clock.Now().Sub(owner.observedAt) >= owner.row.term()+ownerSafetyMargin+2*d.storeLatency() {
		return true
	}
	return d.refusedEpoch.Load() == owner.row.Epoch
}

// ownerUnchanged reads the owner's row and reports whether it is still the one
// that was observed. If the store is slow, the read takes as long as the watch
// that would return a renewal.
func (d *Dispatcher) ownerUnchanged(owner ownerView) bool {
	if !owner.known || owner.row.Released {
		return true
	}
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	sentAt := time.Now()
	result, err := d.platform.Read(ctx, keeper.ReadRequest{Keys: []string{ownerKey}})
	if err != nil {
		d.log.Warn().Str("Event", "acquire").Err(err).Msg("reading the owner's row failed; the cell is not acquired, retrying")
		return false
	}
	d.readLatency.Observe(time.Since(sentAt))
	if len(result.Rows) != 1 {
		return false
	}
	d.applyChange(Change{Row: result.Rows[0]})
	return result.Rows[0].Revision == owner.revision
}

// applyChange applies the change of a row to the state cache. It logs and drops
// a row that it cannot decode.
func (d *Dispatcher) applyChange(change Change) {
	if err := d.cache.apply(d.clock.Now(), change); err != nil {
		d.logOddRow(change.Row.Key, err, oddStateConsequence)
	}
}

// ownerTerm returns the term of the owner's lease: Options.OwnerTerm, or longer
// if commits are slow, so that it spans several of them.
func (d *Dispatcher) ownerTerm() time.Duration {
	return min(max(d.options.OwnerTerm, termCommits*d.store.Latency()), maxOwnerTerm)
}

const (
	// termCommits is how many commits the term has to span.
	termCommits = 3
	// maxOwnerTerm bounds the term, and with it the time that a cell is
	// without an owner.
	maxOwnerTerm = 4 * time.Second
)

// acquisition is an attempt to acquire the cell. Another one with the same value may
// find that an earlier one was committed, so sentAt is when the first was sent.
type acquisition struct {
	value  string
	sentAt time.Time
}

// acquire increments the epoch by a compare-and-set of the owner's row. It
// returns the row that it wrote, the row's revision, and whether this entry is
// now the owner.
func (d *Dispatcher) acquire(owner ownerView) (ownerRow, int64, bool) {
	row := ownerRow{Holder: d.options.Self, Address: d.options.Address, Epoch: owner.row.Epoch + 1, TermMillis: d.ownerTerm().Milliseconds(), Eager: owner.row.Eager, MaxCores: max(owner.row.MaxCores, d.options.Cores)}
	if owner.row.leaseTerm() > 0 {
		row.setLeaseTerm(max(owner.row.leaseTerm(), scheduler.DefaultLeaseTerm))
	}
	value := scheduler.EncodeRow(row)
	if d.acquisition.value != string(value) {
		d.acquisition = acquisition{value: string(value), sentAt: d.clock.Now()}
	}
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	result, err := d.store.Transact(ctx, keeper.Transaction{
		Conditions: []keeper.Condition{{Key: ownerKey, Revision: owner.revision}},
		Writes:     []keeper.Write{{Key: ownerKey, Value: value}},
	})
	if err != nil {
		d.log.Warn().Str("Event", "acquire").Int64("Epoch", row.Epoch).Err(err).Msg("acquiring the cell failed or its outcome is unknown; retrying")
		if errors.Is(err, keeper.ErrInvalid) {
			d.pause(refusedDelay)
		}
		return row, 0, false
	}
	revision := result.Revision
	if !result.Committed {
		current, own := conflictingRow(result, ownerKey, value)
		d.applyChange(Change{Row: current, Removed: current.Revision == 0})
		if !own {
			return row, 0, false
		}
		revision = current.Revision
	}
	d.applyChange(Change{Row: keeper.Row{Key: ownerKey, Value: value, Revision: revision}})
	return row, revision, true
}

// conflictingRow returns the row with which a transaction conflicted, and
// whether it has the value that the transaction was to write: then an earlier
// sending of the same transaction was committed.
func conflictingRow(result keeper.TransactResult, key string, value []byte) (keeper.Row, bool) {
	for _, row := range result.Conflicts {
		if row.Key == key {
			return row, row.Revision != 0 && string(row.Value) == string(value)
		}
	}
	return keeper.Row{Key: key}, false
}

// dialOwner keeps a link to the current owner at the address in its row, over which
// the owner sends advice requests.
func (d *Dispatcher) dialOwner(owner ownerView) {
	info := encoder.PeerInfo{EntryID: owner.row.Holder, Address: owner.row.Address}
	if !owner.known || info == d.dialedOwner {
		return
	}
	if d.dialedOwner.EntryID != "" {
		d.linker.StopDialing(d.dialedOwner.EntryID)
		d.linker.Disconnect(d.dialedOwner.EntryID)
	}
	d.dialedOwner = info
	if info.EntryID != d.options.Self {
		d.linker.Dial([]encoder.PeerInfo{info})
	}
}

// announceCapacity sends this entry's number of cores to the owner once per
// announceInterval. The goroutine that sends it is the one that would acquire the
// cell.
func (d *Dispatcher) announceCapacity(owner requester.EntryID) {
	now := d.clock.Now()
	if owner == "" || owner == d.options.Self || now.Sub(d.announcedAt) < announceInterval {
		return
	}
	d.announcedAt = now
	d.linker.Send(owner, d.announcement())
}

// capacity returns the number of cores by which the owner may choose this entry as
// its successor; 0 if it could not acquire the cell.
func (d *Dispatcher) capacity() float64 {
	if d.draining.Load() || !d.storeReachable() {
		return 0
	}
	return d.options.Cores
}

// announcement returns what this entry tells the owner of itself. Whether it reaches the store
// doesn't matter for sending stops.
func (d *Dispatcher) announcement() *encoder.EntryCapacity {
	return &encoder.EntryCapacity{Cores: d.capacity(), SendsStops: !d.draining.Load()}
}

// PeerUp implements linker.Handler.
func (d *Dispatcher) PeerUp(peer encoder.PeerInfo, _ int64) {
	d.log.Info().Str("Event", "link up").Str("Peer", string(peer.EntryID)).Send()
	d.mu.Lock()
	d.linked[peer.EntryID] = linkedEntry{sameDataCentre: peer.DataCentre == d.options.DataCentre}
	d.mu.Unlock()
	if d.cache.ownerView().row.Holder == peer.EntryID {
		// The linker holds its lock while it calls PeerUp, and Send acquires
		// that lock.
		d.group.Go(func() { d.linker.Send(peer.EntryID, d.announcement()) })
	}
	d.postToSession(func(s *session) { s.addRelay(peer.EntryID) })
}

// PeerDown implements linker.Handler.
func (d *Dispatcher) PeerDown(id requester.EntryID, why error) {
	d.log.Info().Str("Event", "link down").Str("Peer", string(id)).AnErr("Why", why).Send()
	d.mu.Lock()
	delete(d.linked, id)
	d.mu.Unlock()
	d.postToSession(func(s *session) {
		s.removeRelay(id)
		s.core.CarrierLost(d.clock.Now(), id)
	})
}

// linkedPeers returns the entries to which a link is up, sorted by ID.
func (d *Dispatcher) linkedPeers() []requester.EntryID {
	d.mu.Lock()
	defer d.mu.Unlock()
	ids := make([]requester.EntryID, 0, len(d.linked))
	for id := range d.linked {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// linkedEntry is an entry to which a link is up, whichever side dialled it.
type linkedEntry struct {
	// cores is the number of cores of its host; 0 if it is unknown or the entry
	// can't acquire the cell. It was received at capacityAt.
	cores      float64
	capacityAt time.Time
	// sendsStops is true if the entry sends stops for the owner.
	sendsStops bool
	// sameDataCentre is true if the entry is in this entry's data centre. A
	// network partition between data centres isolates both or neither.
	sameDataCentre bool
}

// preferredTo reports whether an entry is preferred to another one as the
// successor.
func (l linkedEntry) preferredTo(other linkedEntry) bool {
	if l.cores != other.cores {
		return l.cores > other.cores
	}
	return l.sameDataCentre && !other.sameDataCentre
}

// peerWithMostCores returns the linked entry with the most cores, and its
// number of cores. Of equal entries, it returns one in this data centre if there
// is one, and of these the first by ID. Without a linked entry whose number of
// cores was received within capacityValidity, it returns an empty ID and 0.
func (d *Dispatcher) peerWithMostCores() (requester.EntryID, float64) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var best requester.EntryID
	for id, linked := range d.linked {
		if linked.cores == 0 || now.Sub(linked.capacityAt) > capacityValidity {
			continue
		}
		if best == "" || linked.preferredTo(d.linked[best]) || !d.linked[best].preferredTo(linked) && id < best {
			best = id
		}
	}
	return best, d.linked[best].cores
}

// PeerRefused implements linker.Handler. A host that refuses connections runs
// no entry, so if it is the owner's, the cell may be acquired.
func (d *Dispatcher) PeerRefused(id requester.EntryID, refused bool) {
	owner := d.cache.ownerView()
	if owner.row.Holder != id {
		return
	}
	if refused {
		d.refusedEpoch.Store(owner.row.Epoch)
	} else {
		d.refusedEpoch.CompareAndSwap(owner.row.Epoch, 0)
	}
}

// PeerMessage implements linker.Handler.
func (d *Dispatcher) PeerMessage(from requester.EntryID, _ int64, message encoder.Message) {
	switch message := message.(type) {
	case *encoder.AdviceRequest:
		d.group.Go(func() { d.relayAdvice(from, message) })
	case *encoder.AdviceReply:
		d.postToSession(func(s *session) { s.handleAdvice(message.ID, message.Allowed, message.Failed) })
	case *encoder.JobStored:
		d.postToSession(func(s *session) { s.handleJobStored(message) })
	case *encoder.EntryCapacity:
		if !(message.Cores >= 0 && message.Cores <= maxCores) {
			d.logOddRow("link to "+string(from), errors.Newf("got Cores %g, expected 0 to %d", message.Cores, maxCores), "an entry sent an odd number of cores; its earlier one counts")
			return
		}
		d.mu.Lock()
		if linked, ok := d.linked[from]; ok {
			linked.cores, linked.capacityAt, linked.sendsStops = message.Cores, d.clock.Now(), message.SendsStops
			d.linked[from] = linked
		}
		d.mu.Unlock()
	case *encoder.StatesStored:
		d.applyStates(message)
	case *encoder.StopRequest:
		d.group.Go(func() { d.carryStops(from, message) })
	case *encoder.StopReply:
		d.postToSession(func(s *session) { s.core.StopsDone(d.clock.Now(), message.Number, message.Results) })
	}
}

// relayAdvice requests advice on behalf of the owner and sends the result to
// the owner.
func (d *Dispatcher) relayAdvice(owner requester.EntryID, request *encoder.AdviceRequest) {
	sentAt := time.Now()
	allowed, err := d.requestAdvice(d.ctx, request.Step, request.Workers)
	if err != nil {
		d.counters.adviceFailed.Add(1)
		d.log.Warn().Str("Event", "advice failed").Str("Owner", string(owner)).Str("Job", string(request.Step.Job)).
			Dur("TookMillis", time.Since(sentAt)).Err(err).Msg("the advice service did not respond to a relayed request; the owner is told")
	}
	d.linker.Send(owner, &encoder.AdviceReply{ID: request.ID, Allowed: allowed, Failed: err != nil})
}

// postToSession queues a function for the control goroutine of the current
// session. It does nothing if this entry does not own the cell.
func (d *Dispatcher) postToSession(do func(*session)) {
	if s := d.session.Load(); s != nil {
		s.post(func() { do(s) })
	}
}

// Owns reports whether this entry owns the cell.
func (d *Dispatcher) Owns() bool { return d.session.Load() != nil }
