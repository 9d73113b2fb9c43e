package decider

import (
	"time"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// Bounds of a change of configuration.
const (
	configTimeout = 5 * time.Second
	// configTries bounds how often a change is proposed anew because other
	// items changed at the same time.
	configTries = 8
)

// checkHead reads the configuration where the head read from the table is
// higher than the one known.
func (c *Core) checkHead(rows []keeper.Row) {
	for _, row := range rows {
		if row.Key == tuner.HeadKey && row.Revision > c.config.HeadRowRevision() {
			c.readConfig(nil)
			return
		}
	}
}

// readConfig reads all of the configuration; then may be nil.
func (c *Core) readConfig(then func(failed bool)) {
	c.read(tuner.ReadRequest(), c.now.Add(configTimeout), func(result keeper.ReadResult, failed bool) {
		if !failed {
			before := c.config.Head()
			if _, err := c.config.ApplyRows(result.Rows); err != nil {
				c.violate("configuration row", err.Error())
			}
			c.configApplied(before)
		}
		if then != nil {
			then(failed)
		}
	})
}

// configApplied checks that the head did not go back and puts changes in
// force.
func (c *Core) configApplied(before int64) {
	if c.config.Head() < before {
		c.violate("configuration went back", "")
	}
	c.stats.ConfigApplied++
	c.ownedKey = ""
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

// onConfigAsked carries out an operator's change.
func (c *Core) onConfigAsked(event ConfigAsked) { c.propose(event, configTries) }

func (c *Core) propose(event ConfigAsked, tries int) {
	transaction, change, err := c.config.Propose(event.Item, event.Expected, event.ChangeID, event.By, c.now)
	if err != nil {
		c.replyConfigError(event.Token, err)
		return
	}
	c.transact(transaction, c.now.Add(configTimeout), func(result keeper.TransactResult, failure TableFailure) {
		switch {
		case failure == TableNotTried:
			c.emit(ReplyConfig{Token: event.Token, Problem: encoder.Problem{Code: encoder.ProblemUnavailable}})
		case failure == TableUnresolved:
			c.emit(ReplyConfig{Token: event.Token, Problem: encoder.Problem{Code: encoder.ProblemUnknown}})
		case result.Committed:
			c.accepted(event, change.Committed(result.Revision))
		case tries > 1:
			c.readConfig(func(failed bool) {
				if failed {
					c.emit(ReplyConfig{Token: event.Token, Problem: encoder.Problem{Code: encoder.ProblemUnavailable}})
					return
				}
				c.propose(event, tries-1)
			})
		default:
			c.emit(ReplyConfig{Token: event.Token, Problem: encoder.Problem{Code: encoder.ProblemUnavailable}})
		}
	})
}

// accepted puts a committed change in force and tells every peer.
func (c *Core) accepted(event ConfigAsked, update tuner.Update) {
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
