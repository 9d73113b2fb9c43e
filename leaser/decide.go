package leaser

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatstall/keeper"
	"kumquatstall/requester"
)

// Peer is what the leaser has to know of another entry of the data centre.
type Peer struct {
	EntryID requester.EntryID
	// Connected tells that a link is up and heartbeats arrive.
	Connected bool
	// Refused tells that the peer's address refuses connections: no process
	// listens there.
	Refused bool
	// Incarnation is the newest known incarnation.
	Incarnation int64
	// Leaving tells that the peer is shutting down.
	Leaving bool
	// MayClaim tells that the peer could take a vacant seat.
	MayClaim bool
	// Met tells that the peer has sent a heartbeat to this entry: it knows
	// of it.
	Met bool
}

// Purpose tells what a transaction of the leaser is for.
type Purpose int

// The purposes.
const (
	PurposeRegister Purpose = iota
	PurposeRenew
	PurposeClaim
	PurposeRelease
	PurposeUnregister
)

// Step is a transaction that the leaser wants sent. The result is handed back
// to OnResult.
type Step struct {
	Purpose     Purpose
	Transaction keeper.Transaction
	// Seats are the seats that the transaction writes.
	Seats  []int
	SentAt time.Time
	// Deadline is when the transaction becomes useless.
	Deadline time.Time
	epochs   []int64
}

// PromiseRequest asks a peer not to claim seats for one term.
type PromiseRequest struct {
	Holder      requester.EntryID
	Incarnation int64
	Round       int64
	Seats       []Holding
	// Adopt tells that the seats are held by an entry thought dead.
	Adopt bool
}

// PromiseReply names the seats that the peer promised.
type PromiseReply struct {
	Round   int64
	Granted []int
}

// Decision is what Tick wants done.
type Decision struct {
	Steps []Step
	// Promises, where not nil, go to Ask.
	Promises []PromiseRequest
	Ask      []requester.EntryID
}

// Tick decides what to do at now. peers are the other entries known.
func (l *Leaser) Tick(now time.Time, peers []Peer) Decision {
	var decision Decision
	l.lapse(now)
	if l.registered == 0 {
		if !l.leaving && !l.registerOpen && !l.readOKAt.IsZero() && !l.StoreDown(now) {
			decision.Steps = append(decision.Steps, l.register(now))
		}
		return decision
	}
	if step, ok := l.renew(now); ok {
		decision.Steps = append(decision.Steps, step)
	}
	l.introduce(now, peers)
	if !l.leaving && !l.StoreDown(now) && !l.introducedAt.IsZero() {
		decision.Steps = append(decision.Steps, l.claims(now, peers)...)
	}
	l.extend(now, peers, &decision)
	return decision
}

// introduce notes when every member has been met. Where no seat has ever been
// held there was nothing to adopt, and no need to wait.
func (l *Leaser) introduce(now time.Time, peers []Peer) {
	if !l.introducedAt.IsZero() || !l.metAll(peers) {
		return
	}
	l.introducedAt = now
	for _, seat := range l.seats {
		if seat.rowRevision > 0 {
			return
		}
	}
	l.introducedAt = now.Add(-l.options.Term - l.options.Margin)
}

// MayClaim reports whether the entry could take a vacant seat now. Others
// count on it only if so.
func (l *Leaser) MayClaim(now time.Time) bool {
	introduced := !l.introducedAt.IsZero() && !now.Before(l.introducedAt.Add(l.options.Term+l.options.Margin))
	return introduced && l.registered > 0 && !l.leaving && !l.StoreDown(now)
}

// metAll reports whether every member listed has been met or is dead.
func (l *Leaser) metAll(peers []Peer) bool {
	met := make(map[requester.EntryID]bool, len(peers))
	for _, peer := range peers {
		met[peer.EntryID] = peer.Met
	}
	for id, member := range l.members {
		if id == l.options.Self || met[id] {
			continue
		}
		if !l.provenDead(SeatRow{Holder: id, Incarnation: member.Incarnation}, peers) {
			return false
		}
	}
	return true
}

// lapse gives up the seats whose lease has ended.
func (l *Leaser) lapse(now time.Time) {
	for _, seat := range l.seats {
		if seat.machine.In("Held", "Extended", "Releasing") && !now.Before(seat.deadline) {
			_ = seat.machine.Fire("Lapse")
			seat.deadline = time.Time{}
			seat.granted = nil
			seat.adopted = false
		}
	}
}

func (l *Leaser) register(now time.Time) Step {
	l.registerOpen = true
	known := l.members[l.options.Self]
	row := MemberRow{EntryID: l.options.Self, Incarnation: l.options.Incarnation, Address: l.options.Address}
	key := l.memberKey(l.options.Self)
	return Step{
		Purpose: PurposeRegister,
		Transaction: keeper.Transaction{
			Conditions: []keeper.Condition{{Key: key, Revision: known.Revision}},
			Writes:     []keeper.Write{{Key: key, Value: mustMarshal(row)}},
		},
		SentAt:   now,
		Deadline: now.Add(l.options.Term),
	}
}

// renewals per term.
const renewalsPerTerm = 3

// renew renews all held seats in one transaction. The lease counts from now.
func (l *Leaser) renew(now time.Time) (Step, bool) {
	if l.renewalOpen || now.Sub(l.renewSentAt) < l.options.Term/renewalsPerTerm {
		return Step{}, false
	}
	step := Step{Purpose: PurposeRenew, SentAt: now, Deadline: now.Add(l.options.Term)}
	for number, seat := range l.seats {
		if !seat.machine.In("Held", "Extended", "Releasing") {
			continue
		}
		row := SeatRow{
			Holder:          l.options.Self,
			Incarnation:     l.options.Incarnation,
			Address:         l.options.Address,
			Epoch:           seat.ownEpoch,
			Deadline:        now.Add(l.options.Term),
			MembersRevision: l.membersRevision,
		}
		key := l.seatKey(number)
		step.Transaction.Conditions = append(step.Transaction.Conditions, keeper.Condition{Key: key, Revision: seat.rowRevision})
		step.Transaction.Writes = append(step.Transaction.Writes, keeper.Write{Key: key, Value: mustMarshal(row)})
		step.Seats = append(step.Seats, number)
		step.epochs = append(step.epochs, seat.ownEpoch)
	}
	if len(step.Seats) == 0 {
		return Step{}, false
	}
	l.renewalOpen = true
	l.renewSentAt = now
	return step, true
}

// claims returns claims on seats that nobody holds and that fall to this
// entry.
func (l *Leaser) claims(now time.Time, peers []Peer) []Step {
	candidates := l.candidates(peers)
	fair := (len(l.seats) + len(candidates) - 1) / len(candidates)
	held := l.heldOrClaimed()
	var steps []Step
	for number, seat := range l.seats {
		if !seat.machine.In("Vacant") || !l.claimable(now, seat, peers) {
			continue
		}
		place := placeOf(l.options.Self, number, candidates)
		patience := time.Duration(place) * l.options.Term / 4
		vacantAt := l.vacantAt(seat)
		if held >= fair {
			patience += l.options.Term
		}
		if now.Before(vacantAt.Add(patience)) {
			continue
		}
		held++
		steps = append(steps, l.claim(now, number))
	}
	return steps
}

func (l *Leaser) heldOrClaimed() int {
	held := 0
	for _, seat := range l.seats {
		if !seat.machine.In("Vacant") {
			held++
		}
	}
	return held
}

// candidates returns the entries that may take seats, this one included.
func (l *Leaser) candidates(peers []Peer) []requester.EntryID {
	candidates := []requester.EntryID{l.options.Self}
	for _, peer := range peers {
		_, member := l.members[peer.EntryID]
		if member && peer.Connected && peer.MayClaim {
			candidates = append(candidates, peer.EntryID)
		}
	}
	return candidates
}

// placeOf returns self's place, from 0, in the order in which entries take a
// vacant seat.
func placeOf(self requester.EntryID, number int, candidates []requester.EntryID) int {
	own := seatScore(self, number)
	place := 0
	for _, candidate := range candidates {
		if candidate != self && seatScore(candidate, number) > own {
			place++
		}
	}
	return place
}

func seatScore(id requester.EntryID, number int) uint64 {
	return mix(xxhash.Sum64String(string(id)), uint64(number))
}

// vacantAt returns when the seat's last lease had surely ended.
func (l *Leaser) vacantAt(seat *seatState) time.Time {
	if seat.rowRevision == 0 || seat.row.Holder == "" {
		return later(seat.seenAt, l.startedAt.Add(l.options.Term/2))
	}
	return seat.seenAt.Add(l.options.Term + l.options.Margin)
}

// claimable reports whether nobody else can hold the seat at now.
func (l *Leaser) claimable(now time.Time, seat *seatState, peers []Peer) bool {
	if now.Before(seat.promise.until) {
		return false
	}
	if seat.rowRevision == 0 {
		return true
	}
	if !l.MayClaim(now) {
		return false
	}
	if seat.row.Holder == "" {
		return true
	}
	if now.Before(l.vacantAt(seat)) {
		return false
	}
	if l.registered <= seat.row.MembersRevision {
		return true
	}
	return l.provenDead(seat.row, peers)
}

// provenDead reports whether the process that a row names can't be running.
func (l *Leaser) provenDead(row SeatRow, peers []Peer) bool {
	if row.Holder == l.options.Self {
		return row.Incarnation != l.options.Incarnation
	}
	if member, ok := l.members[row.Holder]; ok && member.Incarnation > row.Incarnation {
		return true
	}
	if l.gone(row.Holder) {
		return true
	}
	for _, peer := range peers {
		if peer.EntryID == row.Holder {
			return peer.Refused || peer.Incarnation > row.Incarnation
		}
	}
	return false
}

// claim makes the transaction that takes a seat. It holds only while the own
// registration stands unchanged.
func (l *Leaser) claim(now time.Time, number int) Step {
	seat := l.seats[number]
	_ = seat.machine.Fire("Claim")
	seat.claimOpen = true
	seat.previous = seat.row.Holder
	row := SeatRow{
		Holder:          l.options.Self,
		Incarnation:     l.options.Incarnation,
		Address:         l.options.Address,
		Epoch:           max(seat.row.Epoch, seat.promise.epoch) + 1,
		Deadline:        now.Add(l.options.Term),
		MembersRevision: l.membersRevision,
	}
	key := l.seatKey(number)
	return Step{
		Purpose: PurposeClaim,
		Transaction: keeper.Transaction{
			Conditions: []keeper.Condition{
				{Key: key, Revision: seat.rowRevision},
				{Key: l.memberKey(l.options.Self), Revision: l.registered},
			},
			Writes: []keeper.Write{{Key: key, Value: mustMarshal(row)}},
		},
		Seats:    []int{number},
		SentAt:   now,
		Deadline: now.Add(l.options.Term),
		epochs:   []int64{row.Epoch},
	}
}

// Leave starts a graceful departure: no seat is claimed any more.
func (l *Leaser) Leave() { l.leaving = true }

// Release starts to give up a seat. Nothing new is begun under it; Vacate ends
// the release once what was begun has ended.
func (l *Leaser) Release(number int, now time.Time) bool {
	seat := l.seats[number]
	if !seat.machine.Can("Release") || seat.claimOpen {
		return false
	}
	_ = seat.machine.Fire("Release")
	seat.releaseAt = now
	return true
}

// Releasing reports whether the seat is being given up, and since when.
func (l *Leaser) Releasing(number int) (time.Time, bool) {
	seat := l.seats[number]
	return seat.releaseAt, seat.machine.In("Releasing")
}

// Vacate returns the transaction that leaves a released seat without holder,
// so that it can be claimed at once.
func (l *Leaser) Vacate(number int, now time.Time) Step {
	seat := l.seats[number]
	row := SeatRow{Epoch: seat.ownEpoch, MembersRevision: l.membersRevision}
	key := l.seatKey(number)
	step := Step{
		Purpose: PurposeRelease,
		Transaction: keeper.Transaction{
			Conditions: []keeper.Condition{{Key: key, Revision: seat.rowRevision}},
			Writes:     []keeper.Write{{Key: key, Value: mustMarshal(row)}},
		},
		Seats:    []int{number},
		SentAt:   now,
		Deadline: now.Add(l.options.Term),
		epochs:   []int64{seat.ownEpoch},
	}
	_ = seat.machine.Fire("Released")
	seat.deadline = time.Time{}
	return step
}

// Unregister returns the transaction that takes the entry off the member list.
func (l *Leaser) Unregister(now time.Time) (Step, bool) {
	if l.registered == 0 {
		return Step{}, false
	}
	key := l.memberKey(l.options.Self)
	step := Step{
		Purpose: PurposeUnregister,
		Transaction: keeper.Transaction{
			Conditions: []keeper.Condition{{Key: key, Revision: l.registered}},
			Writes:     []keeper.Write{{Key: key, Delete: true}},
		},
		SentAt:   now,
		Deadline: now.Add(l.options.Term),
	}
	l.registered = 0
	return step, true
}

// Surplus returns a held seat that another entry should have, or -1. It is
// one that would bring the entry back to its fair share.
func (l *Leaser) Surplus(now time.Time, peers []Peer) int {
	candidates := l.candidates(peers)
	fair := (len(l.seats) + len(candidates) - 1) / len(candidates)
	held := 0
	worst, worstPlace := -1, 0
	for number := range l.seats {
		if _, ok := l.Holds(number, now); !ok {
			continue
		}
		held++
		place := placeOf(l.options.Self, number, candidates)
		if place > worstPlace {
			worst, worstPlace = number, place
		}
	}
	if held <= fair || l.StoreDown(now) {
		return -1
	}
	return worst
}

// OnResult takes in the result of a step. err tells that the transaction's
// fate is not known, or that it was not tried where resolved is true.
func (l *Leaser) OnResult(now time.Time, step Step, result keeper.TransactResult, err error, resolved bool) {
	switch step.Purpose {
	case PurposeRegister:
		l.registerOpen = false
		if err == nil && result.Committed {
			l.registered = result.Revision
		}
	case PurposeRenew:
		l.renewalOpen = false
		if err == nil {
			l.onRenewed(now, step, result)
		}
	case PurposeClaim:
		l.onClaimed(now, step, result, err, resolved)
	case PurposeRelease, PurposeUnregister:
	}
	if err == nil && !result.Committed {
		l.onConflicts(now, step, result.Conflicts)
	}
}

func (l *Leaser) onRenewed(now time.Time, step Step, result keeper.TransactResult) {
	if !result.Committed {
		// Seats that are still ours are renewed again at the next tick.
		l.renewSentAt = time.Time{}
		return
	}
	for i, number := range step.Seats {
		seat := l.seats[number]
		if seat.rowRevision < result.Revision {
			l.ownRow(now, seat, step, i, result.Revision)
		}
		if seat.ownEpoch != step.epochs[i] || !seat.machine.Can("Renewed") {
			continue
		}
		_ = seat.machine.Fire("Renewed")
		seat.adopted = false
		seat.deadline = later(seat.deadline, step.SentAt.Add(l.options.Term))
		seat.granted = nil
	}
}

func (l *Leaser) onClaimed(now time.Time, step Step, result keeper.TransactResult, err error, resolved bool) {
	number := step.Seats[0]
	seat := l.seats[number]
	if err != nil && !resolved {
		// The claim may still commit. claimOpen stays set: nothing is
		// promised to others until the row has been read again.
		if seat.machine.Can("Lost") {
			_ = seat.machine.Fire("Lost")
		}
		return
	}
	seat.claimOpen = false
	if err != nil || !result.Committed {
		l.lose(seat)
		return
	}
	l.ownRow(now, seat, step, 0, result.Revision)
	if !seat.machine.In("Claiming") {
		return
	}
	_ = seat.machine.Fire("Granted")
	seat.ownEpoch = step.epochs[0]
	seat.deadline = step.SentAt.Add(l.options.Term)
	if !now.Before(seat.deadline) {
		_ = seat.machine.Fire("Lapse")
	}
}

// ownRow notes that a row now holds what the step wrote.
func (l *Leaser) ownRow(now time.Time, seat *seatState, step Step, index int, revision int64) {
	var row SeatRow
	if err := json.Unmarshal(step.Transaction.Writes[index].Value, &row); err != nil {
		panic(err)
	}
	seat.row = row
	seat.rowRevision = revision
	seat.seenAt = now
}

// onConflicts takes in the rows that a failed transaction met.
func (l *Leaser) onConflicts(now time.Time, step Step, conflicts []keeper.Row) {
	for _, row := range conflicts {
		for _, number := range step.Seats {
			if row.Key == l.seatKey(number) && row.Revision > 0 {
				_ = l.onSeatRow(now, number, row)
			}
		}
		if row.Key == l.memberKey(l.options.Self) {
			l.registered = 0
		}
	}
}

// extend asks for promises on the seats that could not be renewed, and on the
// seats of entries that died while the table is down.
func (l *Leaser) extend(now time.Time, peers []Peer, decision *Decision) {
	request := PromiseRequest{Holder: l.options.Self, Incarnation: l.options.Incarnation}
	adoption := request
	adoption.Adopt = true
	for number, seat := range l.seats {
		switch {
		case seat.machine.In("Held", "Extended") && l.needsExtension(now, seat):
			request.Seats = append(request.Seats, l.beginRound(now, number, seat.ownEpoch))
		case l.adoptable(now, number, seat, peers):
			adoption.Seats = append(adoption.Seats, l.beginRound(now, number, seat.row.Epoch+1))
		}
	}
	for _, ask := range []PromiseRequest{request, adoption} {
		if len(ask.Seats) > 0 {
			l.roundNumber++
			ask.Round = l.roundNumber
			for _, wanted := range ask.Seats {
				l.seats[wanted.Seat.Number].round = ask.Round
			}
			decision.Promises = append(decision.Promises, ask)
			l.completeRounds(now, ask, peers)
		}
	}
	if len(decision.Promises) == 0 {
		return
	}
	for _, peer := range peers {
		if peer.Connected {
			decision.Ask = append(decision.Ask, peer.EntryID)
		}
	}
}

// needsExtension reports whether the lease has run for half a term without a
// renewal.
func (l *Leaser) needsExtension(now time.Time, seat *seatState) bool {
	return seat.deadline.Sub(now) < l.options.Term/2 && now.Sub(seat.roundAt) >= l.options.Term/6
}

// adoptable reports whether the seat's holder is dead, its lease over, and
// this entry first in line, while the table is down.
func (l *Leaser) adoptable(now time.Time, number int, seat *seatState, peers []Peer) bool {
	if number == PlacementSeat || l.introducedAt.IsZero() {
		return false
	}
	if !seat.machine.In("Vacant") || seat.claimOpen || l.leaving || !l.StoreDown(now) || seat.rowRevision == 0 {
		return false
	}
	if now.Before(l.vacantAt(seat)) || now.Before(seat.promise.until) || now.Sub(seat.roundAt) < l.options.Term/6 {
		return false
	}
	if seat.row.Holder != "" && !l.provenDead(seat.row, peers) {
		return false
	}
	if l.registered > l.membersRevision || l.membersRevision < seat.row.MembersRevision {
		return false
	}
	return placeOf(l.options.Self, number, l.candidates(peers)) == 0
}

func (l *Leaser) beginRound(now time.Time, number int, epoch int64) Holding {
	seat := l.seats[number]
	seat.roundAt = now
	seat.granted = make(map[requester.EntryID]bool)
	return Holding{Seat: Seat{DataCentre: l.options.DataCentre, Number: number}, Epoch: epoch}
}

// OnPromiseRequest decides which seats to promise to a peer. connected tells
// which entries this one has links to.
func (l *Leaser) OnPromiseRequest(now time.Time, request PromiseRequest, peers []Peer) PromiseReply {
	reply := PromiseReply{Round: request.Round}
	for _, wanted := range request.Seats {
		number := wanted.Seat.Number
		if wanted.Seat.DataCentre != l.options.DataCentre || number < 0 || number >= len(l.seats) {
			continue
		}
		if l.mayPromise(now, number, wanted.Epoch, request, peers) {
			l.seats[number].promise = promise{
				holder:      request.Holder,
				incarnation: request.Incarnation,
				epoch:       wanted.Epoch,
				until:       now.Add(l.options.Term + l.options.Margin),
			}
			reply.Granted = append(reply.Granted, number)
		}
	}
	return reply
}

func (l *Leaser) mayPromise(now time.Time, number int, epoch int64, request PromiseRequest, peers []Peer) bool {
	seat := l.seats[number]
	if seat.claimOpen || !seat.machine.In("Vacant") {
		return false
	}
	taken := seat.promise
	if now.Before(taken.until) && (taken.holder != request.Holder || taken.incarnation != request.Incarnation) {
		return false
	}
	if epoch < max(seat.row.Epoch, taken.epoch) {
		return false
	}
	if !request.Adopt {
		// The row must still name the holder, or be older than its claim.
		return epoch > seat.row.Epoch || seat.row.Holder == request.Holder && seat.row.Incarnation == request.Incarnation
	}
	if !l.StoreDown(now) || epoch != seat.row.Epoch+1 || now.Before(l.vacantAt(seat)) {
		return false
	}
	return seat.row.Holder == "" || l.provenDead(seat.row, peers)
}

// OnPromiseReply takes in a peer's promises in answer to sent. A reply to an
// earlier round is worth nothing: its promise may end before this round's.
func (l *Leaser) OnPromiseReply(now time.Time, from requester.EntryID, reply PromiseReply, sent PromiseRequest, peers []Peer) {
	for _, number := range reply.Granted {
		if number < 0 || number >= len(l.seats) {
			continue
		}
		if seat := l.seats[number]; seat.granted != nil && seat.round == reply.Round {
			seat.granted[from] = true
		}
	}
	l.completeRounds(now, sent, peers)
}

// completeRounds extends the seats for which every member that could claim
// has promised or is dead.
func (l *Leaser) completeRounds(now time.Time, sent PromiseRequest, peers []Peer) {
	for _, wanted := range sent.Seats {
		seat := l.seats[wanted.Seat.Number]
		if seat.granted == nil || seat.round != sent.Round || !l.allPromised(seat, sent.Adopt || seat.adopted, peers) {
			continue
		}
		deadline := seat.roundAt.Add(l.options.Term)
		if !now.Before(deadline) || seat.claimOpen {
			continue
		}
		if !sent.Adopt {
			if seat.machine.In("Held", "Extended") && seat.ownEpoch == wanted.Epoch {
				_ = seat.machine.Fire("Extend")
				seat.deadline = later(seat.deadline, deadline)
			}
			continue
		}
		if seat.machine.In("Vacant") && !now.Before(seat.promise.until) {
			_ = seat.machine.Fire("Adopt")
			seat.adopted = true
			seat.previous = seat.row.Holder
			seat.ownEpoch = wanted.Epoch
			seat.deadline = deadline
		}
	}
}

// allPromised reports whether everybody who could claim the seat has promised
// or is dead. Towards its own seat a holder need not ask a member that has
// started anew: that one is a newcomer. An adopter has to ask it, and every
// peer it knows of.
func (l *Leaser) allPromised(seat *seatState, adopt bool, peers []Peer) bool {
	for id, member := range l.members {
		if id == l.options.Self || seat.granted[id] {
			continue
		}
		row := SeatRow{Holder: id, Incarnation: member.Incarnation}
		if adopt && !l.absent(id, peers) || !adopt && !l.provenDead(row, peers) {
			return false
		}
	}
	if !adopt {
		return true
	}
	for _, peer := range peers {
		if !seat.granted[peer.EntryID] && !l.absent(peer.EntryID, peers) {
			return false
		}
	}
	return true
}

// absent reports whether no process of an entry, of any incarnation, runs.
func (l *Leaser) absent(id requester.EntryID, peers []Peer) bool {
	if l.gone(id) {
		return true
	}
	for _, peer := range peers {
		if peer.EntryID == id {
			return peer.Refused && !peer.Connected
		}
	}
	return false
}

// StaleMembers returns registered entries that are proven dead, so that their
// registrations can be removed. A removed entry that lives after all can't
// claim before it has registered again.
func (l *Leaser) StaleMembers(peers []Peer) []Member {
	var stale []Member
	for _, member := range l.members {
		if member.EntryID != l.options.Self && l.provenDead(SeatRow{Holder: member.EntryID, Incarnation: member.Incarnation}, peers) {
			stale = append(stale, member)
		}
	}
	sort.Slice(stale, func(i, j int) bool { return stale[i].EntryID < stale[j].EntryID })
	return stale
}

// RemoveMember returns the transaction that takes a dead entry off the list.
func (l *Leaser) RemoveMember(member Member, now time.Time) Step {
	key := l.memberKey(member.EntryID)
	return Step{
		Purpose: PurposeUnregister,
		Transaction: keeper.Transaction{
			Conditions: []keeper.Condition{{Key: key, Revision: member.Revision}},
			Writes:     []keeper.Write{{Key: key, Delete: true}},
		},
		SentAt:   now,
		Deadline: now.Add(l.options.Term),
	}
}

func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
