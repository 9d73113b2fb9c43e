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

// coordinatorShard is a seat held as the home of requests.
type coordinatorShard struct {
	number     int
	epoch      int64
	acquiredAt time.Time
	// first tells that nobody held the seat before.
	firstHolder bool
	// pending are the members whose witnessed intents are still to come.
	pendingReplicas map[requester.EntryID]bool
	// outage tells that intents may have been witnessed not long ago.
	tableOutage bool
	// watched tells that a member has run for long enough to know.
	windowObserved bool
	// complete tells that the home before has told all it knew.
	transferComplete bool
}

// intent is a request whose intent is being recorded.
type writeAhead struct {
	call     requester.Call
	repeated bool
	// granted counts the witnesses; wanted is how many are needed.
	acknowledged int
	required     int
	ids          []uint64
}

// writeAheadRow is the value of an intent's row.
type writeAheadRow struct {
	RequestID requester.RequestID
	Home      requester.EntryID
	At        time.Time
}

// Bounds of recording an intent.
const (
	// writeAheadTimeout bounds how long the table is waited for before
	// witnesses are asked.
	writeAheadTimeout = 250 * time.Millisecond
	// transferTimeout bounds how long a new home waits to hear from the home
	// before and from witnesses.
	transferTimeout = 300 * time.Millisecond
	// replicationTimeout bounds how long witnesses are waited for.
	replicationTimeout = 400 * time.Millisecond
	// replicaCount is how many other entries remember an intent.
	replicaCount = 2
)

func (c *Core) writeAheadKey(id requester.RequestID) string {
	number := c.seatOf(c.options.DataCentre, string(id)).Number
	return "intent/" + string(c.options.DataCentre) + "/" + strconv.Itoa(number) + "/" + string(id)
}

// updateCoordinatorShards brings the home seats in line with the seats held.
func (c *Core) updateCoordinatorShards() {
	held := make(map[int]bool)
	for _, holding := range c.leaser.Holdings(c.now) {
		number := holding.Seat.Number
		held[number] = true
		if known, ok := c.coordinatorShards[number]; ok && known.epoch == holding.Epoch {
			continue
		}
		c.stats.SeatsTaken++
		c.becomeCoordinator(number, holding.Epoch)
	}
	for number := range c.coordinatorShards {
		if !held[number] && !c.leaser.Owns(number, c.now) {
			c.stats.SeatsLost++
			c.formerShards[number] = c.coordinatorShards[number]
			delete(c.coordinatorShards, number)
		}
	}
}

// becomeCoordinator starts to be the home of a seat's requests. Every member that may
// have witnessed an intent for an earlier home is asked for it.
func (c *Core) becomeCoordinator(number int, epoch int64) {
	home := &coordinatorShard{number: number, epoch: epoch, acquiredAt: c.now, firstHolder: epoch == 1, pendingReplicas: make(map[requester.EntryID]bool)}
	c.coordinatorShards[number] = home
	if home.firstHolder || number == leaser.PlacementSeat {
		return
	}
	previous := c.leaser.Previous(number)
	for _, member := range c.leaser.Members() {
		if member.EntryID != c.options.Self && member.EntryID != previous {
			home.pendingReplicas[member.EntryID] = true
		}
	}
	for _, p := range c.peerOrder {
		if p.connected {
			c.fetchReplicas(p.info.EntryID, number)
		}
	}
}

func (c *Core) fetchReplicas(id requester.EntryID, number int) {
	c.emit(Send{To: id, Message: &encoder.WitnessPull{
		Seat:  leaser.Seat{DataCentre: c.options.DataCentre, Number: number},
		Epoch: c.coordinatorShards[number].epoch,
	}})
}

// fetchPendingReplicas asks a peer that has just been reached for the intents that
// are still wanted of it.
func (c *Core) fetchPendingReplicas(id requester.EntryID) {
	for number := range c.seatCount() {
		if home, ok := c.coordinatorShards[number]; ok && home.pendingReplicas[id] {
			c.fetchReplicas(id, number)
		}
	}
}

func (c *Core) onReplicaFetch(p *peer, message *encoder.WitnessPull) {
	ofSeat := func(id requester.RequestID) bool {
		return c.seatOf(message.Seat.DataCentre, string(id)) == message.Seat
	}
	list := &encoder.WitnessList{
		Seat:       message.Seat,
		RequestIDs: c.replicas.Select(ofSeat),
		Outage:     c.withinRetention(c.tableOutageAt),
		Watched:    !c.withinRetention(c.startedAt),
	}
	former, ok := c.formerShards[message.Seat.Number]
	if ok && message.Seat.DataCentre == c.options.DataCentre && former.epoch == message.Epoch-1 && c.registry.Pending(ofSeat) == 0 {
		list.Complete = c.canFindEarlierAttempts(former)
		list.Ended = c.registry.Select(ofSeat)
	}
	c.emit(Send{To: p.info.EntryID, Message: list})
}

// recently reports whether a time lies within the horizon of requests.
func (c *Core) withinRetention(at time.Time) bool {
	return !at.IsZero() && c.now.Sub(at) < c.options.RequestRetention
}

func (c *Core) onReplicaList(p *peer, message *encoder.WitnessList) {
	home, ok := c.coordinatorShards[message.Seat.Number]
	if !ok || message.Seat.DataCentre != c.options.DataCentre {
		return
	}
	delete(home.pendingReplicas, p.info.EntryID)
	home.tableOutage = home.tableOutage || message.Outage
	home.windowObserved = home.windowObserved || message.Watched
	home.transferComplete = home.transferComplete || message.Complete
	expires := c.now.Add(c.options.RequestRetention)
	for _, ended := range message.Ended {
		c.registry.Inherit(ended, expires)
	}
	for _, id := range message.RequestIDs {
		c.replicas.Record(id, p.info.EntryID, expires)
	}
}

// canFindEarlierAttempts reports whether the home can learn of every earlier attempt:
// it has been the home for longer than requests live; or nobody was before;
// or the table, and every witness there may have been, can be asked.
func (c *Core) canFindEarlierAttempts(home *coordinatorShard) bool {
	if home.firstHolder || home.transferComplete || c.now.Sub(home.acquiredAt) >= c.options.RequestRetention {
		return true
	}
	if c.leaser.StoreDown(c.now) || len(home.pendingReplicas) > 0 {
		return false
	}
	started := c.withinRetention(c.startedAt)
	outage := home.tableOutage || c.withinRetention(c.tableOutageAt) || started && !home.windowObserved
	witnessesLost := started || c.withinRetention(c.memberLostAt)
	return !outage || !witnessesLost
}

// coordinate takes in an attempt of a request at home here.
func (c *Core) coordinate(call requester.Call, origin recorder.Origin, repeated bool) {
	seat := c.coordinatorShardOf(&call)
	home, ok := c.coordinatorShards[seat.Number]
	if !ok || seat.DataCentre != c.options.DataCentre {
		c.redirectToCoordinator(call, origin, repeated)
		return
	}
	if repeated && !c.canFindEarlierAttempts(home) && c.now.Sub(home.acquiredAt) < transferTimeout {
		c.runAt(c.now.Add(routingRetryInterval), func() { c.coordinate(call, origin, repeated) })
		return
	}
	verdict, answer := c.registry.Begin(call, origin)
	switch verdict {
	case recorder.VerdictJoined:
		return
	case recorder.VerdictEnded:
		if answer.Outcome.ProvesNotRun() && c.registry.Restart(call, origin) {
			c.runCoordinated(call)
			return
		}
		c.reply(origin, answer)
		return
	case recorder.VerdictNew:
	}
	if c.replicas.Has(call.RequestID) || repeated && !c.canFindEarlierAttempts(home) {
		c.finishRequest(call.RequestID, duplicateAnswer(call.RequestID))
		return
	}
	c.storeWriteAhead(&writeAhead{call: call, repeated: repeated})
}

// duplicate answers an attempt whose earlier attempt may have run.
func duplicateAnswer(id requester.RequestID) requester.Answer {
	return requester.Answer{RequestID: id, Outcome: requester.OutcomeUnknown, Reason: requester.ReasonDuplicate}
}

// redirectToCoordinator gives back a call whose home is not here any more.
func (c *Core) redirectToCoordinator(call requester.Call, origin recorder.Origin, repeated bool) {
	if origin.Peer != "" {
		c.replyNotHere(origin)
		return
	}
	c.retryRouting(&forward{id: c.newID(), hop: encoder.HopHome, call: call, origin: origin, sent: repeated})
}

// storeWriteAhead records the intent in the table or, while that can't be
// reached, with witnesses.
func (c *Core) storeWriteAhead(in *writeAhead) {
	id := in.call.RequestID
	c.writeAheads[id] = in
	if c.tableRequestFailed || c.leaser.StoreDown(c.now) {
		c.continueWithoutTable(in)
		return
	}
	row, err := json.Marshal(writeAheadRow{RequestID: id, Home: c.options.Self, At: c.now})
	if err != nil {
		c.reportViolation("intent", err.Error())
		return
	}
	key := c.writeAheadKey(id)
	transaction := keeper.Transaction{
		Conditions: []keeper.Condition{{Key: key}},
		Writes:     []keeper.Write{{Key: key, Value: row}},
	}
	c.transact(transaction, earlier(in.call.Deadline, c.now.Add(writeAheadTimeout)), func(result keeper.TransactResult, failure TableFailure) {
		c.onWriteAheadRow(in, result, failure)
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *Core) onWriteAheadRow(in *writeAhead, result keeper.TransactResult, failure TableFailure) {
	id := in.call.RequestID
	if c.writeAheads[id] != in {
		return
	}
	switch {
	case failure != TableOK:
		// The row may still appear; it names this home and does no harm.
		c.tableOutageAt = c.now
		c.tableRequestFailed = true
		c.continueWithoutTable(in)
	case !result.Committed:
		c.failWriteAhead(in, duplicateAnswer(id))
	default:
		c.stats.IntentsTable++
		c.registry.SetIntent(id, result.Revision)
		c.onWriteAheadRecorded(in)
	}
}

// continueWithoutTable goes on without the table. An earlier attempt may have left its
// intent there, unless this home knows of all there were.
func (c *Core) continueWithoutTable(in *writeAhead) {
	if in.repeated && !c.registryComplete(in) {
		c.failWriteAhead(in, duplicateAnswer(in.call.RequestID))
		return
	}
	c.replicateWriteAhead(in)
}

// registryComplete reports whether this entry has been the request's home for longer
// than requests live, so that its book is all there is to know.
func (c *Core) registryComplete(in *writeAhead) bool {
	home, ok := c.coordinatorShards[c.coordinatorShardOf(&in.call).Number]
	return ok && (home.firstHolder || home.transferComplete || c.now.Sub(home.acquiredAt) >= c.options.RequestRetention)
}

// replicateWriteAhead asks other entries to remember an intent. Those of the own
// data centre come first: a later home asks them.
func (c *Core) replicateWriteAhead(in *writeAhead) {
	candidates, living := c.replicaCandidates()
	in.required = min(replicaCount, living)
	if len(candidates) < in.required {
		c.failWriteAhead(in, c.notRecordedAnswer(in))
		return
	}
	if in.required == 0 {
		c.registry.SetWitnessed(in.call.RequestID)
		c.onWriteAheadRecorded(in)
		return
	}
	for _, p := range candidates[:in.required] {
		id := c.newID()
		c.replications[id] = in
		in.ids = append(in.ids, id)
		c.emit(Send{To: p.info.EntryID, Message: &encoder.WitnessRequest{ID: id, RequestID: in.call.RequestID}})
	}
	c.runAt(c.now.Add(replicationTimeout), func() {
		if c.writeAheads[in.call.RequestID] == in {
			c.failWriteAhead(in, c.notRecordedAnswer(in))
		}
	})
}

// replicaCandidates returns the entries of the data centre that can be asked,
// and how many there are that are not proven dead.
func (c *Core) replicaCandidates() (candidates []*peer, living int) {
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

// notRecordedAnswer is the answer where an intent could not be recorded.
func (c *Core) notRecordedAnswer(in *writeAhead) requester.Answer {
	answer := requester.Answer{RequestID: in.call.RequestID, Outcome: requester.OutcomeNotRun, Reason: requester.ReasonNoIntent}
	if in.repeated {
		answer.Outcome = requester.OutcomeUnknown
	}
	return answer
}

func (c *Core) onReplicateRequest(p *peer, message *encoder.WitnessRequest) {
	expires := c.now.Add(c.options.RequestRetention)
	granted := c.replicas.Record(message.RequestID, p.info.EntryID, expires)
	c.tableOutageAt = c.now
	c.emit(Send{To: p.info.EntryID, Message: &encoder.WitnessReply{ID: message.ID, Granted: granted}})
}

func (c *Core) onReplicateReply(_ *peer, message *encoder.WitnessReply) {
	in, ok := c.replications[message.ID]
	if !ok {
		return
	}
	delete(c.replications, message.ID)
	if c.writeAheads[in.call.RequestID] != in {
		return
	}
	if !message.Granted {
		c.failWriteAhead(in, duplicateAnswer(in.call.RequestID))
		return
	}
	in.acknowledged++
	if in.acknowledged == in.required {
		c.stats.IntentsWitness++
		c.registry.SetWitnessed(in.call.RequestID)
		c.onWriteAheadRecorded(in)
	}
}

// dropWriteAhead ends the recording of an intent.
func (c *Core) dropWriteAhead(in *writeAhead) {
	delete(c.writeAheads, in.call.RequestID)
	for _, id := range in.ids {
		delete(c.replications, id)
	}
}

func (c *Core) failWriteAhead(in *writeAhead, answer requester.Answer) {
	c.dropWriteAhead(in)
	c.finishRequest(in.call.RequestID, answer)
}

func (c *Core) onWriteAheadRecorded(in *writeAhead) {
	c.dropWriteAhead(in)
	c.runCoordinated(in.call)
}

// runCoordinated sends a call whose intent is recorded to an endpoint. The seat
// must still be held: a later home may already have been asked.
func (c *Core) runCoordinated(call requester.Call) {
	if !c.leaser.Owns(c.coordinatorShardOf(&call).Number, c.now) {
		c.finishRequest(call.RequestID, requester.Answer{
			RequestID: call.RequestID,
			Outcome:   requester.OutcomeNotRun,
			Reason:    requester.ReasonNoHome,
		})
		return
	}
	origin := recorder.Origin{Home: call.RequestID}
	c.routeToOwner(&forward{id: c.newID(), hop: encoder.HopRun, call: call, origin: origin})
}

// transferUnstarted gives up the requests at home under a seat that is being
// released and that nobody has begun to run. Their intents stand; the next home
// learns that they did not run, and runs them.
func (c *Core) transferUnstarted(number int) {
	var waiting []recorder.Origin
	for origin := range c.byOrigin {
		if origin.Home != "" && c.seatOf(c.options.DataCentre, string(origin.Home)).Number == number {
			waiting = append(waiting, origin)
		}
	}
	slices.SortFunc(waiting, func(a, b recorder.Origin) int { return cmp.Compare(a.Home, b.Home) })
	for _, origin := range waiting {
		key := c.byOrigin[origin]
		if f, ok := c.forwards[key]; ok && f.to == "" && !f.sent {
			c.dropForward(f)
			c.transferRequest(f.call)
		}
		if e, ok := c.executions[key]; ok && !e.sent && c.pool(e.call.Service).queue.Remove(e.id) {
			c.forgetExecution(e)
			c.transferRequest(e.call)
		}
	}
}

// transferRequest sends the attempts of a request on to its next home.
func (c *Core) transferRequest(call requester.Call) {
	answer := requester.Answer{RequestID: call.RequestID, Outcome: requester.OutcomeNotRun, Reason: requester.ReasonDraining}
	for _, origin := range c.registry.Finish(call.RequestID, answer, c.now.Add(c.options.RequestRetention)) {
		c.redirectToCoordinator(call, origin, call.Attempt > 1)
	}
}

// finishRequest ends a request and answers all its attempts.
func (c *Core) finishRequest(id requester.RequestID, answer requester.Answer) {
	expires := c.now.Add(c.options.RequestRetention)
	for _, origin := range c.registry.Finish(id, answer, expires) {
		c.reply(origin, answer)
	}
}

// storeReplicated writes the intents that were recorded with witnesses to the
// table once it can be reached again: a later home then finds them there, even
// when the witnesses are gone.
func (c *Core) storeReplicated() {
	if c.storingWriteAheads || c.leaser.StoreDown(c.now) {
		return
	}
	ids := c.registry.Witnessed(maxRowsPerTransaction)
	if len(ids) == 0 {
		return
	}
	var transaction keeper.Transaction
	for _, id := range ids {
		row, err := json.Marshal(writeAheadRow{RequestID: id, Home: c.options.Self, At: c.now})
		if err != nil {
			c.reportViolation("intent", err.Error())
			return
		}
		key := c.writeAheadKey(id)
		transaction.Conditions = append(transaction.Conditions, keeper.Condition{Key: key})
		transaction.Writes = append(transaction.Writes, keeper.Write{Key: key, Value: row})
	}
	c.storingWriteAheads = true
	c.transact(transaction, c.now.Add(c.options.ShardLeaseTerm), func(result keeper.TransactResult, failure TableFailure) {
		c.storingWriteAheads = false
		if failure != TableOK {
			return
		}
		if !result.Committed {
			c.recordExistingRows(result.Conflicts)
			return
		}
		for _, id := range ids {
			c.registry.SetStored(id, result.Revision)
		}
	})
}

// recordExistingRows notes the intents whose rows stand in the table already.
func (c *Core) recordExistingRows(rows []keeper.Row) {
	for _, row := range rows {
		var known writeAheadRow
		if row.Revision > 0 && json.Unmarshal(row.Value, &known) == nil {
			c.registry.SetStored(known.RequestID, row.Revision)
		}
	}
}

// maxRowsPerTransaction bounds the intent rows deleted or written at once.
const maxRowsPerTransaction = 256

// deleteWriteAheads deletes the rows of intents that have served their time.
func (c *Core) deleteWriteAheads(rows []recorder.IntentRow) {
	for len(rows) > 0 {
		batch := rows[:min(maxRowsPerTransaction, len(rows))]
		rows = rows[len(batch):]
		var transaction keeper.Transaction
		for _, row := range batch {
			key := c.writeAheadKey(row.RequestID)
			transaction.Conditions = append(transaction.Conditions, keeper.Condition{Key: key, Revision: row.Revision})
			transaction.Writes = append(transaction.Writes, keeper.Write{Key: key, Delete: true})
		}
		c.transact(transaction, c.now.Add(c.options.ShardLeaseTerm), nil)
	}
}
