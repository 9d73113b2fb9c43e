package decider

import (
	"time"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/leaser"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// An entry reads and writes the table by commands, whose results come back as events
// and are passed to the function that was given with the request. While an entry can't
// reach the table and a peer can, the peer runs the renewals of the entry's leases for
// it: they are relayed.

// transact issues a transaction on the table; done may be nil.
func (c *Core) transact(transaction keeper.Transaction, deadline time.Time, done func(keeper.TransactResult, TableFailure)) {
	id := c.newID()
	if done != nil {
		c.transactCallbacks[id] = done
	}
	c.emit(Transact{ID: id, Transaction: transaction, Deadline: deadline})
}

// read issues a read of the table; done must not be nil.
func (c *Core) read(request keeper.ReadRequest, deadline time.Time, done func(keeper.ReadResult, bool)) {
	id := c.newID()
	c.readCallbacks[id] = done
	c.emit(Read{ID: id, Request: request, Deadline: deadline})
}

// readsPerTerm is how many times per lease term the shard rows are read.
const readsPerTerm = 4

// readTable reads the shard rows of the data centre, the member rows of all data
// centres and the head of the configuration, when a read is due.
func (c *Core) readTable() {
	if c.readInFlight || c.now.Sub(c.readSentAt) < c.options.ShardLeaseTerm/readsPerTerm {
		return
	}
	c.readInFlight = true
	c.readSentAt = c.now
	request := c.leaser.ReadRequest()
	request.Keys = []string{tuner.HeadKey}
	request.Prefixes = []string{leaser.RowPrefix(c.options.DataCentre), "member/"}
	c.read(request, c.now.Add(c.options.ShardLeaseTerm), func(result keeper.ReadResult, failed bool) {
		c.readInFlight = false
		c.tableRequestFailed = failed
		if failed {
			c.tableOutageAt = c.now
			return
		}
		c.onTableRead(result)
	})
}

// onTableRead passes the rows to the leaser, adds newly registered entries as
// peers and reads the configuration if its head has advanced. It records the
// time if the data centre lost a member, since the replicas of write-ahead
// records held there are lost with it.
func (c *Core) onTableRead(result keeper.ReadResult) {
	members := len(c.leaser.Members())
	if err := c.leaser.OnRows(c.now, result); err != nil {
		c.reportViolation("table row", err.Error())
		return
	}
	if len(c.leaser.Members()) < members {
		c.memberLostAt = c.now
	}
	c.hasReadTable = true
	c.applyMemberRows(result.Rows)
	c.checkConfigHead(result.Rows)
}

// relay is a table transaction that was sent to a peer, which runs it on behalf
// of this entry and returns the result.
type relay struct {
	peer requester.EntryID
	done func(keeper.TransactResult, TableFailure)
}

// relayOperation sends a renewal to the first connected peer that reports the table
// as available. If the peer has no result, the outcome of the direct transaction
// decides.
func (c *Core) relayOperation(operation leaser.TableOperation) {
	for _, p := range c.peerOrder {
		if !p.connected || p.storeDown {
			continue
		}
		id := c.newID()
		c.relays[id] = &relay{peer: p.info.EntryID, done: func(result keeper.TransactResult, failure TableFailure) {
			if failure == TableOK {
				c.leaser.OnResult(c.now, operation, result, nil, true)
			}
		}}
		c.emit(Send{To: p.info.EntryID, Message: &encoder.RelayRequest{
			ID:             id,
			Transaction:    operation.Transaction,
			DeadlineMicros: operation.Deadline.Sub(c.now).Microseconds(),
		}})
		return
	}
}

// onRelayRequest runs a peer's transaction and returns the result. The message carries
// the remaining time and not a deadline, since clocks differ; it is limited to one
// lease term.
func (c *Core) onRelayRequest(p *peer, message *encoder.RelayRequest) {
	to := p.info.EntryID
	deadline := c.now.Add(min(time.Duration(message.DeadlineMicros)*time.Microsecond, c.options.ShardLeaseTerm))
	c.transact(message.Transaction, deadline, func(result keeper.TransactResult, failure TableFailure) {
		c.emit(Send{To: to, Message: &encoder.RelayReply{ID: message.ID, Result: result, Failed: failure != TableOK}})
	})
}

func (c *Core) onRelayReply(message *encoder.RelayReply) {
	known, ok := c.relays[message.ID]
	if !ok {
		return
	}
	delete(c.relays, message.ID)
	failure := TableOK
	if message.Failed {
		failure = TableUnresolved
	}
	known.done(message.Result, failure)
}

// dropRelays discards the relays through a peer that has disconnected; their
// results stay unknown.
func (c *Core) dropRelays(id requester.EntryID) {
	for relayID, known := range c.relays {
		if known.peer == id {
			delete(c.relays, relayID)
		}
	}
}
