package dispatcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// Intervals of claiming.
const (
	claimInterval = 50 * time.Millisecond
	// claimSpread draws claimants apart, so that few meet.
	claimSpread = 30 * time.Millisecond
	// strengthDelay, divided by its cores, is for how long an entry leaves a
	// cell without an owner to stronger ones, and weakDelay where it has less
	// than weakShare of what the strongest has: news of the last owner reach
	// some entries half a second later than others.
	strengthDelay = 30 * time.Millisecond
	weakDelay     = 1500 * time.Millisecond
	weakShare     = 0.7
	// heirDelay is for how long a released cell is left to its heir.
	heirDelay = 600 * time.Millisecond
	// ownerMargin is kept between the time at which an owner stops giving
	// orders and the time at which others may claim.
	ownerMargin = 200 * time.Millisecond
)

// claimLoop claims the cell when nobody owns it, and owns it for a session.
func (d *Dispatcher) claimLoop() {
	var freeSince time.Time
	for d.pause(claimInterval + rand.N(claimSpread)) {
		owner := d.board.ownerView()
		d.linkOwner(owner)
		if d.draining.Load() || !d.storeInTouch() || !d.mayClaim(owner) {
			freeSince = time.Time{}
			continue
		}
		if freeSince.IsZero() {
			freeSince = d.clock.Now()
		}
		if d.clock.Now().Sub(freeSince) < d.claimDelay(owner.row) {
			continue
		}
		freeSince = time.Time{}
		if !d.stands(owner) {
			continue
		}
		claimedAt := d.clock.Now()
		row, revision, ok := d.claim(owner)
		if !ok {
			continue
		}
		s := newSession(d, row, revision, claimedAt, owner.row)
		d.session.Store(s)
		// Links that came up before have told no session.
		for _, id := range d.linkedPeers() {
			s.post(func() { s.advisers.add(id) })
		}
		s.run()
		d.session.Store(nil)
	}
}

// claimDelay is for how long this entry leaves a cell without an owner to
// others: to the heir of the last owner, and then to stronger entries.
func (d *Dispatcher) claimDelay(owner ownerRow) time.Duration {
	delay := time.Duration(float64(strengthDelay) / d.options.Cores)
	if d.options.Cores < weakShare*owner.Strongest {
		delay = weakDelay
	}
	if owner.Released && owner.Heir != "" && owner.Heir != d.options.Self {
		delay += heirDelay
	}
	return delay
}

// mayClaim reports whether the owner that was seen last may be replaced. The
// successor counts on nothing that a former owner promises: claiming early
// costs time, not safety.
func (d *Dispatcher) mayClaim(owner ownerView) bool {
	if !owner.known || owner.row.Released || owner.row.Holder == d.options.Self {
		return true
	}
	// Where the store is slow, both the owner's renewals and the news of them
	// take longer.
	if d.clock.Now().Sub(owner.since) >= owner.row.term()+ownerMargin+2*d.storeLatency() {
		return true
	}
	return d.refusedEpoch.Load() == owner.row.Epoch
}

// stands reports whether the owner's row is still the one that was seen. Where
// the store is slow, the read takes as long as the news of a renewal.
func (d *Dispatcher) stands(owner ownerView) bool {
	if !owner.known || owner.row.Released {
		return true
	}
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	askedAt := time.Now()
	result, err := d.platform.Read(ctx, keeper.ReadRequest{Keys: []string{ownerKey}})
	if err != nil {
		d.log.Warn().Str("Event", "claim").Err(err).Msg("owner's row can't be read")
		return false
	}
	d.slowness.Observe(time.Since(askedAt))
	if len(result.Rows) != 1 {
		return false
	}
	d.takeRow(Change{Row: result.Rows[0]})
	return result.Rows[0].Revision == owner.revision
}

// takeRow takes a row into the board.
func (d *Dispatcher) takeRow(change Change) {
	if err := d.board.take(d.clock.Now(), change); err != nil {
		d.log.Error().Str("Event", "row").Str("Key", change.Row.Key).Err(err).Msg("row can't be read")
	}
}

// ownerTerm is for how long an owner may give orders after a commit. It is
// longer where commits take long, so that it spans some of them.
func (d *Dispatcher) ownerTerm() time.Duration {
	return min(max(d.options.OwnerTerm, termCommits*d.store.Latency()), maxOwnerTerm)
}

const (
	// termCommits is how many commits an owner's term has to span.
	termCommits = 3
	// maxOwnerTerm bounds the time without an owner.
	maxOwnerTerm = 4 * time.Second
)

// claim raises the epoch by compare-and-set.
func (d *Dispatcher) claim(owner ownerView) (ownerRow, int64, bool) {
	row := ownerRow{Holder: d.options.Self, Address: d.options.Address, Epoch: owner.row.Epoch + 1, TermMillis: d.ownerTerm().Milliseconds(), Eager: owner.row.Eager, Strongest: max(owner.row.Strongest, d.options.Cores)}
	value := scheduler.EncodeRow(row)
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	result, err := d.store.Transact(ctx, keeper.Transaction{
		Conditions: []keeper.Condition{{Key: ownerKey, Revision: owner.revision}},
		Writes:     []keeper.Write{{Key: ownerKey, Value: value}},
	})
	if err != nil {
		d.log.Warn().Str("Event", "claim").Int64("Epoch", row.Epoch).Err(err).Msg("claim got no answer")
		return row, 0, false
	}
	revision := result.Revision
	if !result.Committed {
		current, mine := conflictAt(result, ownerKey, value)
		d.takeRow(Change{Row: current})
		if !mine {
			return row, 0, false
		}
		revision = current.Revision
	}
	d.takeRow(Change{Row: keeper.Row{Key: ownerKey, Value: value, Revision: revision}})
	return row, revision, true
}

// conflictAt returns the row that a transaction met, and whether it is the one
// that the transaction wanted to write.
func conflictAt(result keeper.TransactResult, key string, value []byte) (keeper.Row, bool) {
	for _, row := range result.Conflicts {
		if row.Key == key {
			return row, row.Revision != 0 && string(row.Value) == string(value)
		}
	}
	return keeper.Row{Key: key}, false
}

// linkOwner keeps a link to the owner, over which it spreads questions.
func (d *Dispatcher) linkOwner(owner ownerView) {
	if !owner.known || owner.row.Holder == d.dialed {
		return
	}
	if d.dialed != "" {
		d.linker.StopDialing(d.dialed)
		d.linker.Disconnect(d.dialed)
	}
	d.dialed = owner.row.Holder
	if d.dialed != d.options.Self {
		d.linker.Dial([]encoder.PeerInfo{{EntryID: owner.row.Holder, Address: owner.row.Address}})
	}
}

// PeerUp implements linker.Handler.
func (d *Dispatcher) PeerUp(peer encoder.PeerInfo, _ int64) {
	d.log.Info().Str("Event", "link up").Str("Peer", string(peer.EntryID)).Send()
	d.mu.Lock()
	d.linked[peer.EntryID] = linkedEntry{near: peer.DataCentre == d.options.DataCentre}
	d.mu.Unlock()
	if d.board.ownerView().row.Holder == peer.EntryID {
		// The linker calls this while it holds its lock.
		d.group.Go(func() { d.linker.Send(peer.EntryID, &encoder.EntryCapacity{Cores: d.options.Cores}) })
	}
	d.toSession(func(s *session) { s.advisers.add(peer.EntryID) })
}

// PeerDown implements linker.Handler.
func (d *Dispatcher) PeerDown(id requester.EntryID) {
	d.log.Info().Str("Event", "link down").Str("Peer", string(id)).Send()
	d.mu.Lock()
	delete(d.linked, id)
	d.mu.Unlock()
	d.toSession(func(s *session) { s.adviserLost(id) })
}

// linkedPeers returns the entries to which a link is up.
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

// linkedEntry is an entry to which a link is up, whoever dialed.
type linkedEntry struct {
	// cores is what its host has; 0 where that isn't known.
	cores float64
	// near tells that it is in this data centre: while this entry isn't cut
	// off, that one isn't either.
	near bool
}

// before reports whether an entry goes before another one as an heir.
func (l linkedEntry) before(other linkedEntry) bool {
	if l.cores != other.cores {
		return l.cores > other.cores
	}
	return l.near && !other.near
}

// strongest returns the strongest of the linked entries and its cores.
func (d *Dispatcher) strongest() (requester.EntryID, float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best requester.EntryID
	for id, linked := range d.linked {
		if linked.cores == 0 {
			continue
		}
		if best == "" || linked.before(d.linked[best]) || !d.linked[best].before(linked) && id < best {
			best = id
		}
	}
	return best, d.linked[best].cores
}

// PeerRefused implements linker.Handler: a host that refuses connections runs
// no entry.
func (d *Dispatcher) PeerRefused(id requester.EntryID, refused bool) {
	owner := d.board.ownerView()
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
func (d *Dispatcher) PeerMessage(from requester.EntryID, message encoder.Message) {
	switch message := message.(type) {
	case *encoder.AdviceRequest:
		d.group.Go(func() { d.adviseFor(from, message) })
	case *encoder.AdviceReply:
		d.toSession(func(s *session) { s.advised(message.ID, message.Allowed, message.Failed) })
	case *encoder.JobStored:
		d.toSession(func(s *session) { s.stored(message) })
	case *encoder.EntryCapacity:
		d.mu.Lock()
		if linked, ok := d.linked[from]; ok {
			linked.cores = message.Cores
			d.linked[from] = linked
		}
		d.mu.Unlock()
	case *encoder.StatesStored:
		d.takeStates(message)
	}
}

// adviseFor asks for advice on behalf of the owner.
func (d *Dispatcher) adviseFor(owner requester.EntryID, request *encoder.AdviceRequest) {
	ctx, cancel := context.WithTimeout(d.ctx, adviceTimeout)
	defer cancel()
	allowed, err := d.platform.Ask(ctx, request.Step, request.Workers)
	if err != nil {
		d.counters.adviceFailed.Add(1)
	}
	d.linker.Send(owner, &encoder.AdviceReply{ID: request.ID, Allowed: allowed, Failed: err != nil})
}

// toSession lets the control goroutine of the present session do something.
func (d *Dispatcher) toSession(do func(*session)) {
	if s := d.session.Load(); s != nil {
		s.post(func() { do(s) })
	}
}

// Owns reports whether this entry owns the cell.
func (d *Dispatcher) Owns() bool { return d.session.Load() != nil }
