package decider

import (
	"strings"

	"kumquatstall/keeper"
	"kumquatstall/leaser"
	"kumquatstall/placer"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// The holder of the placement shard keeps the fleet: the workers of the data centre and
// the tasks on them. The fleet starts from the job rows in the table and ends with the
// lease. It changes in memory first; the rows of changed jobs are written soon after,
// many at once, and workers keep the results of runs until then. Only a new job waits
// for its row before it is accepted.

// updateFleet starts or ends the placement of tasks when the placement shard is
// acquired or lost. While it is held, it applies the limits and workers in force.
func (c *Core) updateFleet() {
	epoch, held := c.leaser.Holds(leaser.PlacementShard, c.now)
	if !held {
		c.fleet = nil
		c.fleetEpoch = 0
		return
	}
	if c.fleetEpoch != epoch {
		c.fleet = nil
		c.fleetEpoch = epoch
		c.loadFleet(epoch)
		return
	}
	if c.fleet != nil {
		c.fleet.SetLimits(c.placerLimits())
		c.setWorkers()
	}
}

// loadFleet reads the job rows of the data centre and starts the fleet with them.
// A failed read is retried for as long as the epoch is held.
func (c *Core) loadFleet(epoch int64) {
	request := keeper.ReadRequest{Prefixes: []string{placer.JobPrefix(c.options.DataCentre)}}
	c.read(request, c.now.Add(jobTimeout), func(result keeper.ReadResult, failed bool) {
		if c.fleetEpoch != epoch || c.fleet != nil {
			return
		}
		if failed {
			c.runAt(c.now.Add(jobWriteInterval), func() {
				if c.fleetEpoch == epoch && c.fleet == nil {
					c.loadFleet(epoch)
				}
			})
			return
		}
		c.startFleet(epoch, result.Rows)
	})
}

// startFleet creates the fleet under an epoch with the stored jobs and the known
// workers, whose syncs then report the tasks that run. A row that can't be decoded
// is reported and its job excluded.
func (c *Core) startFleet(epoch int64, rows []keeper.Row) {
	c.fleet = placer.New(c.options.Self, epoch, c.now, c.placerLimits())
	for _, row := range rows {
		jobRow, ok := c.decodeJobRow(row)
		if !ok {
			c.fleet.Exclude(requester.JobID(strings.TrimPrefix(row.Key, c.jobKey(""))))
			continue
		}
		c.fleet.Add(jobRow, row.Revision, true)
	}
	c.setWorkers()
}

// decodeJobRow decodes a job row. It reports false, after a violation, if the row
// can't be decoded.
func (c *Core) decodeJobRow(row keeper.Row) (placer.JobRow, bool) {
	jobRow, err := placer.DecodeJobRow(row.Value)
	if err != nil {
		c.reportViolation("job row", row.Key+": "+err.Error())
		return placer.JobRow{}, false
	}
	return jobRow, true
}

// placerLimits returns the limits of placement under the default profile and the
// configured trades.
func (c *Core) placerLimits() placer.Limits {
	profile := c.config.ServiceProfile("")
	return placer.Limits{
		LeaseTerm:    c.options.WorkerLeaseTerm,
		Margin:       c.options.Margin,
		SyncInterval: c.options.SyncInterval,
		Breaker:      breakerLimits(profile),
		TaskAttempts: profile.TaskAttempts,
		Headroom:     profile.Headroom,
		Spread:       profile.Placement == tuner.PlacementSpread,
		FirstFit:     profile.Placement == tuner.PlacementFirstFit,
		Weight:       c.config.TradeWeight,
		Quota:        c.config.TradeQuota,
	}
}

// setWorkers passes the workers on the host list to the fleet, once hosts are known.
func (c *Core) setWorkers() {
	if c.fleet == nil {
		return
	}
	var infos []placer.WorkerInfo
	for _, host := range c.hosts {
		if host.Role != keeper.RoleWorker {
			continue
		}
		infos = append(infos, placer.WorkerInfo{
			HostID:  host.HostID,
			Address: host.Address,
			Rack:    host.Rack,
			Total:   host.Total,
			Leaving: host.Leaving || c.config.Leaving(host.HostID),
		})
	}
	if c.hostsKnown() {
		c.fleet.SetWorkers(c.now, infos)
	}
}

// hostsKnown reports whether the host list that was read last names any host.
func (c *Core) hostsKnown() bool { return len(c.hosts) > 0 }

// tickFleet expires task leases, places tasks, syncs workers and writes changed job
// rows, while the placement shard is held.
func (c *Core) tickFleet() {
	if c.fleet == nil {
		return
	}
	if _, held := c.leaser.Holds(leaser.PlacementShard, c.now); !held {
		c.appliedOwnership = ""
		return
	}
	c.stats.TasksLapsed += int64(c.fleet.ExpireLeases(c.now))
	c.stats.TasksPlaced += int64(c.fleet.Place(c.now))
	if violation := c.fleet.Violation(); violation != "" {
		c.reportViolation("placement", violation)
	}
	for _, sync := range c.fleet.Syncs(c.now) {
		c.emit(SyncWorker{Sync: sync})
	}
	c.writeJobRows()
}

// onSync applies a worker's report. A report to an earlier epoch is ignored.
func (c *Core) onSync(event SyncDone) {
	if c.fleet == nil || event.Sync.Request.Epoch != c.fleetEpoch {
		return
	}
	if event.Failed {
		c.fleet.OnSyncFailed(c.now, event.Sync)
		return
	}
	c.fleet.OnReport(c.now, event.Sync, event.Report)
	c.tickFleet()
}

// writeJobRows writes the rows of changed jobs, many in one transaction. At most
// one such transaction is in flight.
func (c *Core) writeJobRows() {
	if c.jobWriteInFlight || c.now.Sub(c.jobsWrittenAt) < jobWriteInterval {
		return
	}
	writes := c.fleet.RowWrites()
	if len(writes) == 0 {
		return
	}
	c.jobWriteInFlight = true
	c.jobsWrittenAt = c.now
	var transaction keeper.Transaction
	for _, write := range writes {
		key := c.jobKey(write.JobID)
		transaction.Conditions = append(transaction.Conditions, keeper.Condition{Key: key, Revision: write.RowRevision})
		transaction.Writes = append(transaction.Writes, keeper.Write{Key: key, Value: write.Value})
	}
	fleet := c.fleet
	c.transact(transaction, c.now.Add(jobTimeout), func(result keeper.TransactResult, failure TableFailure) {
		c.jobWriteInFlight = false
		c.onJobRowsWritten(fleet, writes, result, failure)
	})
}

func (c *Core) jobKey(id requester.JobID) string {
	return placer.JobPrefix(c.options.DataCentre) + string(id)
}

// onJobRowsWritten reports the outcome of each row to the fleet that wrote it:
// committed, in conflict with a row of an earlier holder, or failed and to be
// written again.
func (c *Core) onJobRowsWritten(fleet *placer.Fleet, writes []placer.RowWrite, result keeper.TransactResult, failure TableFailure) {
	conflicts := make(map[string]keeper.Row, len(result.Conflicts))
	for _, row := range result.Conflicts {
		conflicts[row.Key] = row
	}
	for _, write := range writes {
		row, conflicted := conflicts[c.jobKey(write.JobID)]
		switch {
		case failure == TableOK && result.Committed:
			fleet.WriteCommitted(write, result.Revision)
		case failure == TableOK && conflicted:
			if jobRow, ok := c.decodeJobRow(row); ok {
				fleet.WriteConflicted(write, jobRow, row.Revision)
			}
		default:
			fleet.WriteFailed(write)
		}
	}
}

// expireJobs removes the jobs that ended longer ago than the retention period, and
// deletes their rows.
func (c *Core) expireJobs() {
	if c.fleet == nil || c.leaser.StoreDown(c.now) {
		return
	}
	for _, expired := range c.fleet.RemoveEnded(c.now.Add(-c.options.JobRetention)) {
		key := c.jobKey(expired.JobID)
		c.transact(keeper.Transaction{
			Conditions: []keeper.Condition{{Key: key, Revision: expired.RowRevision}},
			Writes:     []keeper.Write{{Key: key, Delete: true}},
		}, c.now.Add(jobTimeout), nil)
	}
}
