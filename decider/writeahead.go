package decider

import (
	"encoding/json"
	"strconv"
	"time"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/recorder"
	"kumquatstall/requester"
)

// writeAhead is a request whose write-ahead record is being stored.
type writeAhead struct {
	call     requester.Call
	repeated bool
	// acknowledged counts the replicas stored; required is how many are needed.
	acknowledged int
	required     int
	// ids are those of the replicate requests.
	ids []uint64
}

// writeAheadRow is the value of the row of a write-ahead record, encoded as
// JSON. Home is the coordinator.
type writeAheadRow struct {
	RequestID requester.RequestID
	Home      requester.EntryID
	At        time.Time
}

const (
	// writeAheadTimeout is the timeout of a write to the table, after which
	// the write-ahead record is replicated instead.
	writeAheadTimeout = 250 * time.Millisecond
	// replicationTimeout bounds how long a coordinator waits for the replicas
	// to be acknowledged. The call is not dispatched if it expires.
	replicationTimeout = 400 * time.Millisecond
	// replicaCount is the number of other entries that hold a replica.
	replicaCount = 2
)

func (c *Core) writeAheadKey(id requester.RequestID) string {
	number := c.shardOf(c.options.DataCentre, string(id)).Number
	return "intent/" + string(c.options.DataCentre) + "/" + strconv.Itoa(number) + "/" + string(id)
}

// storeWriteAhead stores a write-ahead record in the table or, while the table
// is unavailable, as replicas at other entries.
func (c *Core) storeWriteAhead(record *writeAhead) {
	id := record.call.RequestID
	c.writeAheads[id] = record
	if c.tableRequestFailed || c.leaser.StoreDown(c.now) {
		c.continueWithoutTable(record)
		return
	}
	var transaction keeper.Transaction
	if !c.addWriteAheadRow(&transaction, id) {
		return
	}
	c.transact(transaction, earlier(record.call.Deadline, c.now.Add(writeAheadTimeout)), func(result keeper.TransactResult, failure TableFailure) {
		c.onWriteAheadRow(record, result, failure)
	})
}

// addWriteAheadRow adds to a transaction that it writes the row of a write-ahead
// record, which must not exist. It reports false, after a violation, if the row
// can't be encoded.
func (c *Core) addWriteAheadRow(transaction *keeper.Transaction, id requester.RequestID) bool {
	row, err := json.Marshal(writeAheadRow{RequestID: id, Home: c.options.Self, At: c.now})
	if err != nil {
		c.reportViolation("write-ahead record", err.Error())
		return false
	}
	key := c.writeAheadKey(id)
	transaction.Conditions = append(transaction.Conditions, keeper.Condition{Key: key})
	transaction.Writes = append(transaction.Writes, keeper.Write{Key: key, Value: row})
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *Core) onWriteAheadRow(record *writeAhead, result keeper.TransactResult, failure TableFailure) {
	id := record.call.RequestID
	if c.writeAheads[id] != record {
		return
	}
	switch {
	case failure != TableOK:
		// The transaction may still commit. The row names this coordinator
		// and does no harm.
		c.tableOutageAt = c.now
		c.tableRequestFailed = true
		c.continueWithoutTable(record)
	case !result.Committed:
		c.failWriteAhead(record, recorder.DuplicateAnswer(id))
	default:
		c.stats.IntentsTable++
		c.registry.SetWriteAhead(id, result.Revision)
		c.onWriteAheadRecorded(record)
	}
}

// continueWithoutTable replicates a record while the table is unavailable. A
// repeated attempt ends as a duplicate unless the registry is complete, because
// the record of an earlier attempt may be in the table.
func (c *Core) continueWithoutTable(record *writeAhead) {
	if record.repeated && !c.registryComplete(record) {
		c.failWriteAhead(record, recorder.DuplicateAnswer(record.call.RequestID))
		return
	}
	c.replicateWriteAhead(record)
}

// registryComplete reports whether the registry covers every earlier attempt
// of the request: this entry has held the shard for longer than requests are
// retained, no entry held it before, or the previous holder transferred all its
// records.
func (c *Core) registryComplete(record *writeAhead) bool {
	shard, ok := c.coordinatorShards[c.coordinatorShardOf(&record.call).Number]
	return ok && (shard.firstHolder || shard.transferComplete || c.now.Sub(shard.acquiredAt) >= c.options.RequestRetention)
}

// replicateWriteAhead stores replicas of a write-ahead record in the memory of
// other entries of the data centre, where a later coordinator fetches them.
// The required number is replicaCount, or as many as there are live entries;
// if there is none, the record exists here only. If too few of them can store a
// replica or acknowledge it in time, the request ends without being dispatched.
func (c *Core) replicateWriteAhead(record *writeAhead) {
	candidates, alive := c.replicaCandidates()
	record.required = min(replicaCount, alive)
	if len(candidates) < record.required {
		c.failWriteAhead(record, c.notRecordedAnswer(record))
		return
	}
	if record.required == 0 {
		c.registry.SetReplicated(record.call.RequestID)
		c.onWriteAheadRecorded(record)
		return
	}
	for _, p := range candidates[:record.required] {
		id := c.newID()
		c.replications[id] = record
		record.ids = append(record.ids, id)
		c.emit(Send{To: p.info.EntryID, Message: &encoder.ReplicateRequest{ID: id, RequestID: record.call.RequestID}})
	}
	c.runAt(c.now.Add(replicationTimeout), func() {
		if c.writeAheads[record.call.RequestID] == record {
			c.failWriteAhead(record, c.notRecordedAnswer(record))
		}
	})
}

// replicaCandidates returns the entries of the data centre that can store a
// replica, and the number of entries that are not proven dead: those whose
// address does not refuse connections.
func (c *Core) replicaCandidates() (candidates []*peer, alive int) {
	for _, p := range c.peerOrder {
		if p.info.DataCentre != c.options.DataCentre || p.refused {
			continue
		}
		alive++
		if p.connected && !p.draining {
			candidates = append(candidates, p)
		}
	}
	return candidates, alive
}

// notRecordedAnswer is the answer to an attempt whose write-ahead record could
// not be stored.
func (c *Core) notRecordedAnswer(record *writeAhead) requester.Answer {
	answer := requester.Answer{RequestID: record.call.RequestID, Outcome: requester.OutcomeNotRun, Reason: requester.ReasonNoWriteAhead}
	if record.repeated {
		answer.Outcome = requester.OutcomeUnknown
	}
	return answer
}

func (c *Core) onReplicateRequest(p *peer, message *encoder.ReplicateRequest) {
	expires := c.now.Add(c.options.RequestRetention)
	stored := c.replicas.Record(message.RequestID, p.coordinator(), expires)
	c.tableOutageAt = c.now
	c.emit(Send{To: p.info.EntryID, Message: &encoder.ReplicateReply{ID: message.ID, Granted: stored}})
}

func (c *Core) onReplicateReply(_ *peer, message *encoder.ReplicateReply) {
	record, ok := c.replications[message.ID]
	if !ok {
		return
	}
	delete(c.replications, message.ID)
	if c.writeAheads[record.call.RequestID] != record {
		return
	}
	if !message.Granted {
		c.failWriteAhead(record, recorder.DuplicateAnswer(record.call.RequestID))
		return
	}
	record.acknowledged++
	if record.acknowledged == record.required {
		c.stats.IntentsWitness++
		c.registry.SetReplicated(record.call.RequestID)
		c.onWriteAheadRecorded(record)
	}
}

// dropWriteAhead removes a write-ahead record from those being stored.
func (c *Core) dropWriteAhead(record *writeAhead) {
	delete(c.writeAheads, record.call.RequestID)
	for _, id := range record.ids {
		delete(c.replications, id)
	}
}

// failWriteAhead ends a request whose write-ahead record could not be stored,
// or that may have run before.
func (c *Core) failWriteAhead(record *writeAhead, answer requester.Answer) {
	c.dropWriteAhead(record)
	c.finishRequest(record.call.RequestID, answer)
}

func (c *Core) onWriteAheadRecorded(record *writeAhead) {
	c.dropWriteAhead(record)
	c.runCoordinated(record.call)
}

// storeReplicated writes the write-ahead records that exist as replicas only to
// the table once it is available again. A later coordinator then finds them
// there even if the replicas are lost.
func (c *Core) storeReplicated() {
	if c.storingWriteAheads || c.leaser.StoreDown(c.now) {
		return
	}
	ids := c.registry.ReplicatedOnly(maxRowsPerTransaction)
	if len(ids) == 0 {
		return
	}
	var transaction keeper.Transaction
	for _, id := range ids {
		if !c.addWriteAheadRow(&transaction, id) {
			return
		}
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

// recordExistingRows marks write-ahead records whose rows are already in the
// table as stored.
func (c *Core) recordExistingRows(rows []keeper.Row) {
	for _, row := range rows {
		var known writeAheadRow
		if row.Revision > 0 && json.Unmarshal(row.Value, &known) == nil {
			c.registry.SetStored(known.RequestID, row.Revision)
		}
	}
}

// maxRowsPerTransaction bounds the write-ahead rows written or deleted in one
// transaction.
const maxRowsPerTransaction = 256

// deleteWriteAheads deletes the rows of expired write-ahead records.
func (c *Core) deleteWriteAheads(rows []recorder.WriteAheadRow) {
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
