package decider

import (
	"time"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

const (
	// configTimeout bounds each read and transaction on the configuration.
	configTimeout = 5 * time.Second
	// configAttempts bounds how often a change is proposed when its
	// transaction conflicts, for example because other items change at the
	// same time.
	configAttempts = 8
)

// checkConfigHead reads the configuration if the head row read from the table
// has a higher revision than the one known here.
func (c *Core) checkConfigHead(rows []keeper.Row) {
	for _, row := range rows {
		if row.Key == tuner.HeadKey && row.Revision > c.config.HeadRowRevision() {
			c.readConfig(nil)
			return
		}
	}
}

// readConfig reads and applies the whole configuration. It calls then, which
// may be nil, afterwards.
func (c *Core) readConfig(then func(failed bool)) {
	c.read(tuner.ReadRequest(), c.now.Add(configTimeout), func(result keeper.ReadResult, failed bool) {
		if !failed {
			before := c.config.Head()
			if _, err := c.config.ApplyRows(result.Rows); err != nil {
				c.reportViolation("configuration row", err.Error())
			}
			c.configApplied(before)
		}
		if then != nil {
			then(failed)
		}
	})
}

// configApplied checks that the head has not decreased since before, and
// adapts the fleet, the coordinators and the pools to the configuration.
func (c *Core) configApplied(before int64) {
	if c.config.Head() < before {
		c.reportViolation("configuration head decreased", "")
	}
	c.stats.ConfigApplied++
	c.appliedOwnership = ""
	c.setWorkers()
	c.reconcileOwnership()
}

func (c *Core) onConfigUpdate(p *peer, message *encoder.ConfigUpdate) {
	before := c.config.Head()
	if c.config.Apply(message.Update) {
		c.configApplied(before)
	}
	if message.Update.Head > c.config.Head() {
		c.emit(Send{To: p.info.EntryID, Message: &encoder.ConfigRequest{Since: c.config.Head()}})
	}
}

func (c *Core) onConfigChangeRequested(event ConfigChangeRequested) {
	c.proposeChange(event, configAttempts)
}

// proposeChange writes an operator's change to the table. After a conflict it
// reads the configuration and proposes the change again, up to attempts times
// in all.
func (c *Core) proposeChange(event ConfigChangeRequested, attempts int) {
	transaction, change, err := c.config.Propose(event.Item, event.Expected, event.ChangeID, event.By, c.now)
	if err != nil {
		c.replyConfigError(event.Token, err)
		return
	}
	c.transact(transaction, c.now.Add(configTimeout), func(result keeper.TransactResult, failure TableFailure) {
		switch {
		case failure == TableNotApplied:
			c.emit(ReplyConfig{Token: event.Token, Problem: encoder.Problem{Code: encoder.ProblemUnavailable}})
		case failure == TableUnresolved:
			c.emit(ReplyConfig{Token: event.Token, Problem: encoder.Problem{Code: encoder.ProblemUnknown}})
		case result.Committed:
			c.applyCommitted(event, change.Committed(result.Revision))
		case attempts > 1:
			c.readConfig(func(failed bool) {
				if failed {
					c.emit(ReplyConfig{Token: event.Token, Problem: encoder.Problem{Code: encoder.ProblemUnavailable}})
					return
				}
				c.proposeChange(event, attempts-1)
			})
		default:
			c.emit(ReplyConfig{Token: event.Token, Problem: encoder.Problem{Code: encoder.ProblemUnavailable}})
		}
	})
}

// applyCommitted applies a committed change, sends it to every connected peer
// and answers the operator.
func (c *Core) applyCommitted(event ConfigChangeRequested, update tuner.Update) {
	before := c.config.Head()
	if c.config.Apply(update) {
		c.configApplied(before)
	}
	for _, p := range c.peerOrder {
		if p.connected {
			c.emit(Send{To: p.info.EntryID, Message: &encoder.ConfigUpdate{Update: update}})
		}
	}
	c.emit(ReplyConfig{Token: event.Token, Item: update.Items[0]})
}

func (c *Core) replyConfigError(token uint64, err error) {
	if field := requester.AsFieldError(err); field != nil {
		problem := encoder.Problem{Code: encoder.ProblemInvalid, Field: field.Field, Expected: field.Expected}
		c.emit(ReplyConfig{Token: token, Problem: problem})
		return
	}
	if stale, ok := err.(*tuner.StaleError); ok {
		problem := encoder.Problem{Code: encoder.ProblemConflict, Field: "Revision", Expected: "the item's current revision"}
		c.emit(ReplyConfig{Token: token, Problem: problem, Item: stale.Current})
		return
	}
	c.emit(ReplyConfig{Token: token, Problem: encoder.Problem{Code: encoder.ProblemUnavailable}})
}
