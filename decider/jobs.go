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
