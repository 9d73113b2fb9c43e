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

// jobAsk is a question about jobs that a peer is to answer.
type jobAsk struct {
	token  uint64
	to     requester.EntryID
	action encoder.JobAction
}

// Bounds and intervals of work on jobs.
const (
	jobTimeout   = 5 * time.Second
	saveInterval = 200 * time.Millisecond
)

// updateFleet starts or ends the placement of tasks as the placement seat is
// won or lost.
func (c *Core) updateFleet() {
	epoch, held := c.leaser.Holds(leaser.PlacementShard, c.now)
	if !held {
		c.fleet = nil
		c.fleetSeat = 0
		return
	}
	if c.fleetSeat != epoch {
		c.fleet = nil
		c.fleetSeat = epoch
		c.loadFleet(epoch)
		return
	}
	if c.fleet != nil {
		c.fleet.SetLimits(c.placerLimits())
		c.setWorkers()
	}
}

// loadFleet reads the jobs of the data centre, then asks the workers.
func (c *Core) loadFleet(epoch int64) {
	request := keeper.ReadRequest{Prefixes: []string{placer.JobPrefix(c.options.DataCentre)}}
	c.read(request, c.now.Add(jobTimeout), func(result keeper.ReadResult, failed bool) {
		if c.fleetSeat != epoch || c.fleet != nil {
			return
		}
		if failed {
			c.at(c.now.Add(saveInterval), func() {
				if c.fleetSeat == epoch && c.fleet == nil {
					c.loadFleet(epoch)
				}
			})
			return
		}
		c.startFleet(epoch, result.Rows)
	})
}

func (c *Core) startFleet(epoch int64, rows []keeper.Row) {
	c.fleet = placer.New(c.options.Self, epoch, c.now, c.placerLimits())
	for _, row := range rows {
		jobRow, err := placer.DecodeJobRow(row.Value)
		if err != nil {
			c.violate("job row", row.Key+": "+err.Error())
			continue
		}
		c.fleet.Add(jobRow, row.Revision, true)
	}
	c.setWorkers()
}

func (c *Core) placerLimits() placer.Limits {
	profile := c.config.ServiceProfile("")
	return placer.Limits{
		LeaseTerm:    c.options.TaskTerm,
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

// setWorkers gives the fleet the workers on the host list.
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

// hostsKnown reports whether the host list has ever been read.
func (c *Core) hostsKnown() bool { return len(c.hosts) > 0 }

// tickFleet places tasks, syncs workers and writes what changed.
func (c *Core) tickFleet() {
	if c.fleet == nil {
		return
	}
	if _, held := c.leaser.Holds(leaser.PlacementShard, c.now); !held {
		c.ownedKey = ""
		return
	}
	c.stats.TasksLapsed += int64(c.fleet.ExpireLeases(c.now))
	c.stats.TasksPlaced += int64(c.fleet.Place(c.now))
	if violation := c.fleet.Violation(); violation != "" {
		c.violate("placement", violation)
	}
	for _, sync := range c.fleet.Syncs(c.now) {
		c.emit(SyncWorker{Sync: sync})
	}
	c.saveJobs()
}

func (c *Core) onSync(event SyncDone) {
	if c.fleet == nil || event.Sync.Request.Epoch != c.fleetSeat {
		return
	}
	if event.Failed {
		c.fleet.OnSyncFailed(c.now, event.Sync)
		return
	}
	c.fleet.OnReport(c.now, event.Sync, event.Report)
	c.tickFleet()
}

// saveJobs writes the rows of changed jobs, many in one transaction.
func (c *Core) saveJobs() {
	if c.saveOpen || c.now.Sub(c.savedAt) < saveInterval {
		return
	}
	saves := c.fleet.RowWrites()
	if len(saves) == 0 {
		return
	}
	c.saveOpen = true
	c.savedAt = c.now
	var transaction keeper.Transaction
	for _, save := range saves {
		key := c.jobKey(save.JobID)
		transaction.Conditions = append(transaction.Conditions, keeper.Condition{Key: key, Revision: save.RowRevision})
		transaction.Writes = append(transaction.Writes, keeper.Write{Key: key, Value: save.Value})
	}
	fleet := c.fleet
	c.transact(transaction, c.now.Add(jobTimeout), func(result keeper.TransactResult, failure TableFailure) {
		c.saveOpen = false
		c.onSaved(fleet, saves, result, failure)
	})
}

func (c *Core) jobKey(id requester.JobID) string {
	return placer.JobPrefix(c.options.DataCentre) + string(id)
}

func (c *Core) onSaved(fleet *placer.Fleet, saves []placer.RowWrite, result keeper.TransactResult, failure TableFailure) {
	conflicts := make(map[string]keeper.Row, len(result.Conflicts))
	for _, row := range result.Conflicts {
		conflicts[row.Key] = row
	}
	for _, save := range saves {
		row, conflicted := conflicts[c.jobKey(save.JobID)]
		switch {
		case failure == TableOK && result.Committed:
			fleet.WriteCommitted(save, result.Revision)
		case failure == TableOK && conflicted:
			jobRow, err := placer.DecodeJobRow(row.Value)
			if err != nil {
				c.violate("job row", row.Key+": "+err.Error())
				continue
			}
			fleet.WriteConflicted(save, jobRow, row.Revision)
		default:
			fleet.WriteFailed(save)
		}
	}
}

// forgetJobs drops the jobs that ended long ago, and their rows.
func (c *Core) forgetJobs() {
	if c.fleet == nil || c.leaser.StoreDown(c.now) {
		return
	}
	for _, forgotten := range c.fleet.RemoveEnded(c.now.Add(-c.options.JobRetention)) {
		key := c.jobKey(forgotten.JobID)
		c.transact(keeper.Transaction{
			Conditions: []keeper.Condition{{Key: key, Revision: forgotten.RowRevision}},
			Writes:     []keeper.Write{{Key: key, Delete: true}},
		}, c.now.Add(jobTimeout), nil)
	}
}

// onJobAsked takes in a question from a caller or operator.
func (c *Core) onJobAsked(event JobAsked) {
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
		c.emit(ReplyJob{Token: event.Token, Reply: unavailable()})
		return
	}
	if to == c.options.Self {
		c.answerJob(event.Action, job, func(reply encoder.JobReply) {
			c.emit(ReplyJob{Token: event.Token, Reply: reply})
		})
		return
	}
	id := c.id()
	c.jobAsks[id] = &jobAsk{token: event.Token, to: to, action: event.Action}
	c.emit(Send{To: to, Message: &encoder.JobRequest{ID: id, Action: event.Action, Job: job}})
	c.at(c.now.Add(jobTimeout+replyGrace), func() { c.endJobAsk(id) })
}

func unavailable() encoder.JobReply {
	return encoder.JobReply{Problem: encoder.Problem{Code: encoder.ProblemUnavailable, Expected: "a reachable placement seat"}}
}

// endJobAsk ends a question that got no answer. A change may have been made.
func (c *Core) endJobAsk(id uint64) {
	ask, ok := c.jobAsks[id]
	if !ok {
		return
	}
	delete(c.jobAsks, id)
	reply := unavailable()
	if ask.action == encoder.JobSubmit || ask.action == encoder.JobCancel {
		reply.Problem.Code = encoder.ProblemUnknown
	}
	c.emit(ReplyJob{Token: ask.token, Reply: reply})
}

func (c *Core) jobAsksLost(id requester.EntryID) {
	var lost []uint64
	for askID, ask := range c.jobAsks {
		if ask.to == id {
			lost = append(lost, askID)
		}
	}
	slices.Sort(lost)
	for _, askID := range lost {
		c.endJobAsk(askID)
	}
}

func (c *Core) onJobRequest(p *peer, message *encoder.JobRequest) {
	to := p.info.EntryID
	c.answerJob(message.Action, message.Job, func(reply encoder.JobReply) {
		reply.ID = message.ID
		c.emit(Send{To: to, Message: &reply})
	})
}

func (c *Core) onJobReply(message *encoder.JobReply) {
	ask, ok := c.jobAsks[message.ID]
	if !ok {
		return
	}
	delete(c.jobAsks, message.ID)
	c.emit(ReplyJob{Token: ask.token, Reply: *message})
}

// answerJob answers a question as the holder of the placement seat.
func (c *Core) answerJob(action encoder.JobAction, job requester.Job, reply func(encoder.JobReply)) {
	if c.fleet == nil || job.DataCentre != c.options.DataCentre {
		reply(unavailable())
		return
	}
	switch action {
	case encoder.JobSubmit:
		c.submit(job, reply)
	case encoder.JobCancel:
		if status, ok := c.fleet.Status(job.JobID); !ok || status.Trade != job.Trade && job.Trade != "" {
			reply(notFound())
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

func notFound() encoder.JobReply {
	return encoder.JobReply{Problem: encoder.Problem{Code: encoder.ProblemNotFound, Field: "JobID", Expected: "the name of a known job"}}
}

func (c *Core) replyStatus(id requester.JobID, reply func(encoder.JobReply)) {
	status, ok := c.fleet.Status(id)
	if !ok {
		reply(notFound())
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

// submit accepts a job once its row is known to stand in the table. The same
// job submitted twice is accepted once.
func (c *Core) submit(job requester.Job, reply func(encoder.JobReply)) {
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
		case failure == TableNotTried:
			reply(unavailable())
		case failure == TableUnresolved || fleet != c.fleet:
			reply(encoder.JobReply{Problem: encoder.Problem{Code: encoder.ProblemUnknown}})
		case result.Committed:
			c.fleet.Add(placer.JobRow{Job: job, Version: 1}, result.Revision, false)
			c.replyStatus(job.JobID, reply)
		default:
			c.adoptSubmitted(job, result.Conflicts, reply)
		}
	})
}

// adoptSubmitted takes in the row that another submission has written.
func (c *Core) adoptSubmitted(job requester.Job, conflicts []keeper.Row, reply func(encoder.JobReply)) {
	for _, row := range conflicts {
		jobRow, err := placer.DecodeJobRow(row.Value)
		if err != nil {
			c.violate("job row", row.Key+": "+err.Error())
			break
		}
		c.fleet.Add(jobRow, row.Revision, false)
		if status, ok := c.fleet.Status(job.JobID); ok {
			c.replyResubmitted(status, job, reply)
			return
		}
	}
	reply(unavailable())
}

// replyResubmitted answers a submission of a job known already.
func (c *Core) replyResubmitted(status requester.JobStatus, job requester.Job, reply func(encoder.JobReply)) {
	if sameJob(status.Job, job) {
		reply(encoder.JobReply{Jobs: []requester.JobStatus{status}})
		return
	}
	problem := encoder.Problem{Code: encoder.ProblemConflict, Field: "JobID", Expected: "a name that no other job has"}
	reply(encoder.JobReply{Problem: problem, Jobs: []requester.JobStatus{status}})
}

func sameJob(a, b requester.Job) bool {
	a.SubmittedAt = b.SubmittedAt
	left, errLeft := json.Marshal(a)
	right, errRight := json.Marshal(b)
	return errLeft == nil && errRight == nil && bytes.Equal(left, right)
}

// jobProblem returns why a job can't be accepted.
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
