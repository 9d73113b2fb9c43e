package decider

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/leaser"
	"kumquatstall/placer"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// pendingJobRequest is a job request that was forwarded to the holder of the
// placement shard and awaits the reply.
type pendingJobRequest struct {
	token  uint64
	to     requester.EntryID
	action encoder.JobAction
}

const (
	// jobTimeout bounds each read and write of job rows, and the processing of
	// a forwarded job request.
	jobTimeout = 5 * time.Second
	// jobWriteInterval separates writes of job rows, and attempts to read them.
	jobWriteInterval = 200 * time.Millisecond
)

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

// onClientJobRequest serves a job request of a caller or operator if this entry
// holds the placement shard of the job's data centre, and otherwise forwards it to
// the holder.
func (c *Core) onClientJobRequest(event JobActionRequested) {
	job := event.Job
	if job.DataCentre == "" {
		job.DataCentre = c.options.DataCentre
	}
	if !c.knowsDataCentre(job.DataCentre) {
		c.emit(ReplyJob{Token: event.Token, Reply: encoder.JobReply{Problem: encoder.Problem{
			Code: encoder.ProblemInvalid, Field: "DataCentre", Expected: "the name of a data centre",
		}}})
		return
	}
	to, ok := c.holderOf(leaser.Shard{DataCentre: job.DataCentre, Number: leaser.PlacementShard})
	if !ok {
		c.emit(ReplyJob{Token: event.Token, Reply: placementUnavailable()})
		return
	}
	if to == c.options.Self {
		c.serveJobRequest(event.Action, job, func(reply encoder.JobReply) {
			c.emit(ReplyJob{Token: event.Token, Reply: reply})
		})
		return
	}
	id := c.newID()
	c.jobRequests[id] = &pendingJobRequest{token: event.Token, to: to, action: event.Action}
	c.emit(Send{To: to, Message: &encoder.JobRequest{ID: id, Action: event.Action, Job: job}})
	c.runAt(c.now.Add(jobTimeout+replyGrace), func() { c.failJobRequest(id) })
}

func placementUnavailable() encoder.JobReply {
	return encoder.JobReply{Problem: encoder.Problem{Code: encoder.ProblemUnavailable, Expected: "a reachable holder of the placement shard"}}
}

// failJobRequest ends a forwarded request that received no reply. The outcome of a
// submission or cancellation is unknown, since it may have taken effect.
func (c *Core) failJobRequest(id uint64) {
	request, ok := c.jobRequests[id]
	if !ok {
		return
	}
	delete(c.jobRequests, id)
	reply := placementUnavailable()
	if request.action == encoder.JobSubmit || request.action == encoder.JobCancel {
		reply.Problem.Code = encoder.ProblemUnknown
	}
	c.emit(ReplyJob{Token: request.token, Reply: reply})
}

// failJobRequests ends the requests forwarded to a peer that has disconnected, in
// the order in which they were sent.
func (c *Core) failJobRequests(id requester.EntryID) {
	var lost []uint64
	for requestID, request := range c.jobRequests {
		if request.to == id {
			lost = append(lost, requestID)
		}
	}
	slices.Sort(lost)
	for _, requestID := range lost {
		c.failJobRequest(requestID)
	}
}

// onJobRequest serves a job request that a peer forwarded.
func (c *Core) onJobRequest(p *peer, message *encoder.JobRequest) {
	to := p.info.EntryID
	c.serveJobRequest(message.Action, message.Job, func(reply encoder.JobReply) {
		reply.ID = message.ID
		c.emit(Send{To: to, Message: &reply})
	})
}

func (c *Core) onJobReply(message *encoder.JobReply) {
	request, ok := c.jobRequests[message.ID]
	if !ok {
		return
	}
	delete(c.jobRequests, message.ID)
	c.emit(ReplyJob{Token: request.token, Reply: *message})
}

// serveJobRequest executes a job request as the holder of the placement shard and
// passes the result to reply, which may be called later.
func (c *Core) serveJobRequest(action encoder.JobAction, job requester.Job, reply func(encoder.JobReply)) {
	if c.fleet == nil || job.DataCentre != c.options.DataCentre {
		reply(placementUnavailable())
		return
	}
	switch action {
	case encoder.JobSubmit:
		c.submitJob(job, reply)
	case encoder.JobCancel:
		if status, ok := c.fleet.Status(job.JobID); !ok || status.Trade != job.Trade && job.Trade != "" {
			reply(jobNotFound())
			return
		}
		c.fleet.Cancel(job.JobID, c.now)
		c.replyStatus(job.JobID, reply)
	case encoder.JobStatus:
		c.replyStatus(job.JobID, reply)
	case encoder.JobList:
		statuses := c.fleet.Statuses()
		slices.SortFunc(statuses, func(a, b requester.JobStatus) int { return strings.Compare(string(a.JobID), string(b.JobID)) })
		reply(encoder.JobReply{Jobs: statuses})
	case encoder.WorkerList:
		reply(encoder.JobReply{Workers: c.workerViews()})
	}
}

func jobNotFound() encoder.JobReply {
	return encoder.JobReply{Problem: encoder.Problem{Code: encoder.ProblemNotFound, Field: "JobID", Expected: "the name of a known job"}}
}

func (c *Core) replyStatus(id requester.JobID, reply func(encoder.JobReply)) {
	status, ok := c.fleet.Status(id)
	if !ok {
		reply(jobNotFound())
		return
	}
	reply(encoder.JobReply{Jobs: []requester.JobStatus{status}})
}

func (c *Core) workerViews() []encoder.WorkerView {
	var views []encoder.WorkerView
	for _, view := range c.fleet.Workers() {
		views = append(views, encoder.WorkerView{
			HostID:  view.HostID,
			Rack:    view.Rack,
			Total:   view.Total,
			Taken:   view.Allocated,
			Tasks:   view.Tasks,
			Breaker: view.Breaker,
			Leaving: view.Leaving,
		})
	}
	return views
}

// submitJob accepts a valid job once its row has been committed. If the same job is
// submitted again, the reply is the status of the accepted one.
func (c *Core) submitJob(job requester.Job, reply func(encoder.JobReply)) {
	if problem, ok := c.jobProblem(&job); ok {
		reply(encoder.JobReply{Problem: problem})
		return
	}
	if status, ok := c.fleet.Status(job.JobID); ok {
		c.replyResubmitted(status, job, reply)
		return
	}
	job.SubmittedAt = c.now
	fleet := c.fleet
	key := c.jobKey(job.JobID)
	transaction := keeper.Transaction{
		Conditions: []keeper.Condition{{Key: key}},
		Writes:     []keeper.Write{{Key: key, Value: placer.NewJobRow(job)}},
	}
	c.transact(transaction, c.now.Add(jobTimeout), func(result keeper.TransactResult, failure TableFailure) {
		switch {
		case failure == TableNotApplied:
			reply(placementUnavailable())
		case failure == TableUnresolved || fleet != c.fleet:
			reply(encoder.JobReply{Problem: encoder.Problem{Code: encoder.ProblemUnknown}})
		case result.Committed:
			c.fleet.Add(placer.JobRow{Job: job, Version: 1}, result.Revision, false)
			c.replyStatus(job.JobID, reply)
		default:
			c.onSubmitConflict(job, result.Conflicts, reply)
		}
	})
}

// onSubmitConflict adds the job whose row a concurrent submission of the same JobID
// has written, and answers this submission as a repeated one.
func (c *Core) onSubmitConflict(job requester.Job, conflicts []keeper.Row, reply func(encoder.JobReply)) {
	for _, row := range conflicts {
		jobRow, ok := c.decodeJobRow(row)
		if !ok {
			break
		}
		c.fleet.Add(jobRow, row.Revision, false)
		if status, ok := c.fleet.Status(job.JobID); ok {
			c.replyResubmitted(status, job, reply)
			return
		}
	}
	reply(placementUnavailable())
}

// replyResubmitted answers the submission of a JobID that exists: with the job's
// status if both jobs are equal, else with a conflict.
func (c *Core) replyResubmitted(status requester.JobStatus, job requester.Job, reply func(encoder.JobReply)) {
	if sameJob(status.Job, job) {
		reply(encoder.JobReply{Jobs: []requester.JobStatus{status}})
		return
	}
	problem := encoder.Problem{Code: encoder.ProblemConflict, Field: "JobID", Expected: "a name that no other job has"}
	reply(encoder.JobReply{Problem: problem, Jobs: []requester.JobStatus{status}})
}

// sameJob reports whether two jobs are equal apart from SubmittedAt.
func sameJob(a, b requester.Job) bool {
	a.SubmittedAt = b.SubmittedAt
	left, errLeft := json.Marshal(a)
	right, errRight := json.Marshal(b)
	return errLeft == nil && errRight == nil && bytes.Equal(left, right)
}

// jobProblem returns why a job can't be accepted; it reports false if it can.
func (c *Core) jobProblem(job *requester.Job) (encoder.Problem, bool) {
	if field := requester.AsFieldError(job.Validate()); field != nil {
		return encoder.Problem{Code: encoder.ProblemInvalid, Field: field.Field, Expected: field.Expected}, true
	}
	if !c.config.AcceptsTrade(job.Trade) {
		return encoder.Problem{Code: encoder.ProblemInvalid, Field: "Trade", Expected: "the name of a configured trade"}, true
	}
	if !c.fleet.Feasible(*job) {
		return encoder.Problem{Code: encoder.ProblemInvalid, Field: "Need", Expected: "no more than the largest worker has"}, true
	}
	return encoder.Problem{}, false
}
