package decider

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/leaser"
	"kumquatstall/recorder"
	"kumquatstall/requester"
)

// homeSeat is a seat held as the home of requests.
type homeSeat struct {
	number int
	epoch  int64
	since  time.Time
	// first tells that nobody held the seat before.
	first bool
	// pending are the members whose witnessed intents are still to come.
	pending map[requester.EntryID]bool
	// outage tells that intents may have been witnessed not long ago.
	outage bool
	// watched tells that a member has run for long enough to know.
	watched bool
	// complete tells that the home before has told all it knew.
	complete bool
}

// intent is a request whose intent is being recorded.
type intent struct {
	call     requester.Call
	repeated bool
	// granted counts the witnesses; wanted is how many are needed.
	granted int
	wanted  int
	ids     []uint64
}

// intentRow is the value of an intent's row.
type intentRow struct {
	RequestID requester.RequestID
	Home      requester.EntryID
	At        time.Time
}

// Bounds of recording an intent.
const (
	// intentTimeout bounds how long the table is waited for before
	// witnesses are asked.
	intentTimeout = 250 * time.Millisecond
	// handoverTimeout bounds how long a new home waits to hear from the home
	// before and from witnesses.
	handoverTimeout = 300 * time.Millisecond
	// witnessTimeout bounds how long witnesses are waited for.
	witnessTimeout = 400 * time.Millisecond
	// wantedWitnesses is how many other entries remember an intent.
	wantedWitnesses = 2
)

func (c *Core) intentKey(id requester.RequestID) string {
	number := c.seatOf(c.options.DataCentre, string(id)).Number
	return "intent/" + string(c.options.DataCentre) + "/" + strconv.Itoa(number) + "/" + string(id)
}

// updateHomes brings the home seats in line with the seats held.
func (c *Core) updateHomes() {
	held := make(map[int]bool)
	for _, holding := range c.leaser.Leases(c.now) {
		number := holding.Seat.Number
		held[number] = true
		if known, ok := c.homes[number]; ok && known.epoch == holding.Epoch {
			continue
		}
		c.stats.SeatsTaken++
		c.takeHome(number, holding.Epoch)
	}
	for number := range c.homes {
		if !held[number] && !c.leaser.Owns(number, c.now) {
			c.stats.SeatsLost++
			c.formerHomes[number] = c.homes[number]
			delete(c.homes, number)
		}
	}
}

// takeHome starts to be the home of a seat's requests. Every member that may
// have witnessed an intent for an earlier home is asked for it.
func (c *Core) takeHome(number int, epoch int64) {
	home := &homeSeat{number: number, epoch: epoch, since: c.now, first: epoch == 1, pending: make(map[requester.EntryID]bool)}
	c.homes[number] = home
	if home.first || number == leaser.PlacementShard {
		return
	}
	previous := c.leaser.PreviousHolder(number)
	for _, member := range c.leaser.Members() {
		if member.EntryID != c.options.Self && member.EntryID != previous {
			home.pending[member.EntryID] = true
		}
	}
	for _, p := range c.peerOrder {
		if p.connected {
			c.pullSeat(p.info.EntryID, number)
		}
	}
}

func (c *Core) pullSeat(id requester.EntryID, number int) {
	c.emit(Send{To: id, Message: &encoder.ReplicaFetch{
		Seat:  leaser.Shard{DataCentre: c.options.DataCentre, Number: number},
		Epoch: c.homes[number].epoch,
	}})
}

// pullWitnesses asks a peer that has just been reached for the intents that
// are still wanted of it.
func (c *Core) pullWitnesses(id requester.EntryID) {
	for number := range c.seatCount() {
		if home, ok := c.homes[number]; ok && home.pending[id] {
			c.pullSeat(id, number)
		}
	}
}

func (c *Core) onWitnessPull(p *peer, message *encoder.ReplicaFetch) {
	ofSeat := func(id requester.RequestID) bool {
		return c.seatOf(message.Seat.DataCentre, string(id)) == message.Seat
	}
	list := &encoder.ReplicaList{
		Seat:       message.Seat,
		RequestIDs: c.witnesses.Select(ofSeat),
		Outage:     c.recently(c.outageAt),
		Watched:    !c.recently(c.startedAt),
	}
	former, ok := c.formerHomes[message.Seat.Number]
	if ok && message.Seat.DataCentre == c.options.DataCentre && former.epoch == message.Epoch-1 && c.book.Pending(ofSeat) == 0 {
		list.Complete = c.mayRunRepeated(former)
		list.Ended = c.book.SelectEnded(ofSeat)
	}
	c.emit(Send{To: p.info.EntryID, Message: list})
}

// recently reports whether a time lies within the horizon of requests.
func (c *Core) recently(at time.Time) bool {
	return !at.IsZero() && c.now.Sub(at) < c.options.RequestHorizon
}

func (c *Core) onWitnessList(p *peer, message *encoder.ReplicaList) {
	home, ok := c.homes[message.Seat.Number]
	if !ok || message.Seat.DataCentre != c.options.DataCentre {
		return
	}
	delete(home.pending, p.info.EntryID)
	home.outage = home.outage || message.Outage
	home.watched = home.watched || message.Watched
	home.complete = home.complete || message.Complete
	expires := c.now.Add(c.options.RequestHorizon)
	for _, ended := range message.Ended {
		c.book.Import(ended, expires)
	}
	for _, id := range message.RequestIDs {
		c.witnesses.Record(id, p.info.EntryID, expires)
	}
}

// mayRunRepeated reports whether the home can learn of every earlier attempt:
// it has been the home for longer than requests live; or nobody was before;
// or the table, and every witness there may have been, can be asked.
func (c *Core) mayRunRepeated(home *homeSeat) bool {
	if home.first || home.complete || c.now.Sub(home.since) >= c.options.RequestHorizon {
		return true
	}
	if c.leaser.StoreDown(c.now) || len(home.pending) > 0 {
		return false
	}
	started := c.recently(c.startedAt)
	outage := home.outage || c.recently(c.outageAt) || started && !home.watched
	witnessesLost := started || c.recently(c.memberLostAt)
	return !outage || !witnessesLost
}

// beginHome takes in an attempt of a request at home here.
func (c *Core) beginHome(call requester.Call, origin recorder.Origin, repeated bool) {
	seat := c.homeOf(&call)
	home, ok := c.homes[seat.Number]
	if !ok || seat.DataCentre != c.options.DataCentre {
		c.homeElsewhere(call, origin, repeated)
		return
	}
	if repeated && !c.mayRunRepeated(home) && c.now.Sub(home.since) < handoverTimeout {
		c.at(c.now.Add(searchInterval), func() { c.beginHome(call, origin, repeated) })
		return
	}
	verdict, answer := c.book.Register(call, origin)
	switch verdict {
	case recorder.VerdictJoined:
		return
	case recorder.VerdictEnded:
		if answer.Outcome.ProvesNotRun() && c.book.Reopen(call, origin) {
			c.startHome(call)
			return
		}
		c.reply(origin, answer)
		return
	case recorder.VerdictNew:
	}
	if c.witnesses.Has(call.RequestID) || repeated && !c.mayRunRepeated(home) {
		c.finishHome(call.RequestID, duplicate(call.RequestID))
		return
	}
	c.recordIntent(&intent{call: call, repeated: repeated})
}

// duplicate answers an attempt whose earlier attempt may have run.
func duplicate(id requester.RequestID) requester.Answer {
	return requester.Answer{RequestID: id, Outcome: requester.OutcomeUnknown, Reason: requester.ReasonDuplicate}
}

// homeElsewhere gives back a call whose home is not here any more.
func (c *Core) homeElsewhere(call requester.Call, origin recorder.Origin, repeated bool) {
	if origin.Peer != "" {
		c.notHere(origin)
		return
	}
	c.search(&forward{id: c.id(), hop: encoder.HopCoordinator, call: call, origin: origin, sent: repeated})
}

// recordIntent records the intent in the table or, while that can't be
// reached, with witnesses.
func (c *Core) recordIntent(in *intent) {
	id := in.call.RequestID
	c.intents[id] = in
	if c.tableDoubtful || c.leaser.StoreDown(c.now) {
		c.afterTable(in)
		return
	}
	row, err := json.Marshal(intentRow{RequestID: id, Home: c.options.Self, At: c.now})
	if err != nil {
		c.violate("intent", err.Error())
		return
	}
	key := c.intentKey(id)
	transaction := keeper.Transaction{
		Conditions: []keeper.Condition{{Key: key}},
		Writes:     []keeper.Write{{Key: key, Value: row}},
	}
	c.transact(transaction, earlier(in.call.Deadline, c.now.Add(intentTimeout)), func(result keeper.TransactResult, failure TableFailure) {
		c.onIntentRow(in, result, failure)
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *Core) onIntentRow(in *intent, result keeper.TransactResult, failure TableFailure) {
	id := in.call.RequestID
	if c.intents[id] != in {
		return
	}
	switch {
	case failure != TableOK:
		// The row may still appear; it names this home and does no harm.
		c.outageAt = c.now
		c.tableDoubtful = true
		c.afterTable(in)
	case !result.Committed:
		c.endIntent(in, duplicate(id))
	default:
		c.stats.IntentsTable++
		c.book.SetWriteAhead(id, result.Revision)
		c.intentRecorded(in)
	}
}

// afterTable goes on without the table. An earlier attempt may have left its
// intent there, unless this home knows of all there were.
func (c *Core) afterTable(in *intent) {
	if in.repeated && !c.homeOld(in) {
		c.endIntent(in, duplicate(in.call.RequestID))
		return
	}
	c.askWitnesses(in)
}

// homeOld reports whether this entry has been the request's home for longer
// than requests live, so that its book is all there is to know.
func (c *Core) homeOld(in *intent) bool {
	home, ok := c.homes[c.homeOf(&in.call).Number]
	return ok && (home.first || home.complete || c.now.Sub(home.since) >= c.options.RequestHorizon)
}

// askWitnesses asks other entries to remember an intent. Those of the own
// data centre come first: a later home asks them.
func (c *Core) askWitnesses(in *intent) {
	candidates, living := c.witnessCandidates()
	in.wanted = min(wantedWitnesses, living)
	if len(candidates) < in.wanted {
		c.endIntent(in, c.noIntent(in))
		return
	}
	if in.wanted == 0 {
		c.book.SetReplicated(in.call.RequestID)
		c.intentRecorded(in)
		return
	}
	for _, p := range candidates[:in.wanted] {
		id := c.id()
		c.witnessing[id] = in
		in.ids = append(in.ids, id)
		c.emit(Send{To: p.info.EntryID, Message: &encoder.ReplicateRequest{ID: id, RequestID: in.call.RequestID}})
	}
	c.at(c.now.Add(witnessTimeout), func() {
		if c.intents[in.call.RequestID] == in {
			c.endIntent(in, c.noIntent(in))
		}
	})
}

// witnessCandidates returns the entries of the data centre that can be asked,
// and how many there are that are not proven dead.
func (c *Core) witnessCandidates() (candidates []*peer, living int) {
	for _, p := range c.peerOrder {
		if p.info.DataCentre != c.options.DataCentre || p.refused {
			continue
		}
		living++
		if p.connected && !p.leaving {
			candidates = append(candidates, p)
		}
	}
	return candidates, living
}

// noIntent is the answer where an intent could not be recorded.
func (c *Core) noIntent(in *intent) requester.Answer {
	answer := requester.Answer{RequestID: in.call.RequestID, Outcome: requester.OutcomeNotRun, Reason: requester.ReasonNoWriteAhead}
	if in.repeated {
		answer.Outcome = requester.OutcomeUnknown
	}
	return answer
}

func (c *Core) onWitnessRequest(p *peer, message *encoder.ReplicateRequest) {
	expires := c.now.Add(c.options.RequestHorizon)
	granted := c.witnesses.Record(message.RequestID, p.info.EntryID, expires)
	c.outageAt = c.now
	c.emit(Send{To: p.info.EntryID, Message: &encoder.ReplicateReply{ID: message.ID, Granted: granted}})
}

func (c *Core) onWitnessReply(_ *peer, message *encoder.ReplicateReply) {
	in, ok := c.witnessing[message.ID]
	if !ok {
		return
	}
	delete(c.witnessing, message.ID)
	if c.intents[in.call.RequestID] != in {
		return
	}
	if !message.Granted {
		c.endIntent(in, duplicate(in.call.RequestID))
		return
	}
	in.granted++
	if in.granted == in.wanted {
		c.stats.IntentsWitness++
		c.book.SetReplicated(in.call.RequestID)
		c.intentRecorded(in)
	}
}

// forgetIntent ends the recording of an intent.
func (c *Core) forgetIntent(in *intent) {
	delete(c.intents, in.call.RequestID)
	for _, id := range in.ids {
		delete(c.witnessing, id)
	}
}

func (c *Core) endIntent(in *intent, answer requester.Answer) {
	c.forgetIntent(in)
	c.finishHome(in.call.RequestID, answer)
}

func (c *Core) intentRecorded(in *intent) {
	c.forgetIntent(in)
	c.startHome(in.call)
}

// startHome sends a call whose intent is recorded to an endpoint. The seat
// must still be held: a later home may already have been asked.
func (c *Core) startHome(call requester.Call) {
	if !c.leaser.Owns(c.homeOf(&call).Number, c.now) {
		c.finishHome(call.RequestID, requester.Answer{
			RequestID: call.RequestID,
			Outcome:   requester.OutcomeNotRun,
			Reason:    requester.ReasonNoCoordinator,
		})
		return
	}
	origin := recorder.Origin{CoordinatedRequest: call.RequestID}
	c.routeRun(&forward{id: c.id(), hop: encoder.HopExecutor, call: call, origin: origin})
}

// handBackHomes gives up the requests at home under a seat that is being
// released and that nobody has begun to run. Their intents stand; the next home
// learns that they did not run, and runs them.
func (c *Core) handBackHomes(number int) {
	var waiting []recorder.Origin
	for origin := range c.byOrigin {
		if origin.CoordinatedRequest != "" && c.seatOf(c.options.DataCentre, string(origin.CoordinatedRequest)).Number == number {
			waiting = append(waiting, origin)
		}
	}
	slices.SortFunc(waiting, func(a, b recorder.Origin) int { return cmp.Compare(a.CoordinatedRequest, b.CoordinatedRequest) })
	for _, origin := range waiting {
		key := c.byOrigin[origin]
		if f, ok := c.forwards[key]; ok && f.to == "" && !f.sent {
			c.dropForward(f)
			c.handBackHome(f.call)
		}
		if e, ok := c.executions[key]; ok && !e.sent && c.pool(e.call.Service).queue.Remove(e.id) {
			c.forgetExecution(e)
			c.handBackHome(e.call)
		}
	}
}

// handBackHome sends the attempts of a request on to its next home.
func (c *Core) handBackHome(call requester.Call) {
	answer := requester.Answer{RequestID: call.RequestID, Outcome: requester.OutcomeNotRun, Reason: requester.ReasonDraining}
	for _, origin := range c.book.Finish(call.RequestID, answer, c.now.Add(c.options.RequestHorizon)) {
		c.homeElsewhere(call, origin, call.Attempt > 1)
	}
}

// finishHome ends a request and answers all its attempts.
func (c *Core) finishHome(id requester.RequestID, answer requester.Answer) {
	expires := c.now.Add(c.options.RequestHorizon)
	for _, origin := range c.book.Finish(id, answer, expires) {
		c.reply(origin, answer)
	}
}

// storeWitnessed writes the intents that were recorded with witnesses to the
// table once it can be reached again: a later home then finds them there, even
// when the witnesses are gone.
func (c *Core) storeWitnessed() {
	if c.storingIntents || c.leaser.StoreDown(c.now) {
		return
	}
	ids := c.book.ReplicatedOnly(maxDeletes)
	if len(ids) == 0 {
		return
	}
	var transaction keeper.Transaction
	for _, id := range ids {
		row, err := json.Marshal(intentRow{RequestID: id, Home: c.options.Self, At: c.now})
		if err != nil {
			c.violate("intent", err.Error())
			return
		}
		key := c.intentKey(id)
		transaction.Conditions = append(transaction.Conditions, keeper.Condition{Key: key})
		transaction.Writes = append(transaction.Writes, keeper.Write{Key: key, Value: row})
	}
	c.storingIntents = true
	c.transact(transaction, c.now.Add(c.options.SeatTerm), func(result keeper.TransactResult, failure TableFailure) {
		c.storingIntents = false
		if failure != TableOK {
			return
		}
		if !result.Committed {
			c.intentsStand(result.Conflicts)
			return
		}
		for _, id := range ids {
			c.book.SetStored(id, result.Revision)
		}
	})
}

// intentsStand notes the intents whose rows stand in the table already.
func (c *Core) intentsStand(rows []keeper.Row) {
	for _, row := range rows {
		var known intentRow
		if row.Revision > 0 && json.Unmarshal(row.Value, &known) == nil {
			c.book.SetStored(known.RequestID, row.Revision)
		}
	}
}

// maxDeletes bounds the intent rows deleted or written at once.
const maxDeletes = 256

// deleteIntents deletes the rows of intents that have served their time.
func (c *Core) deleteIntents(rows []recorder.WriteAheadRow) {
	for len(rows) > 0 {
		batch := rows[:min(maxDeletes, len(rows))]
		rows = rows[len(batch):]
		var transaction keeper.Transaction
		for _, row := range batch {
			key := c.intentKey(row.RequestID)
			transaction.Conditions = append(transaction.Conditions, keeper.Condition{Key: key, Revision: row.Revision})
			transaction.Writes = append(transaction.Writes, keeper.Write{Key: key, Delete: true})
		}
		c.transact(transaction, c.now.Add(c.options.SeatTerm), nil)
	}
}
