package server

import (
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"kumquatstall/encoder"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// itemPaths maps the path of each collection of configuration items, below /v1/,
// to the kind of its items.
var itemPaths = map[string]tuner.ItemKind{
	"profiles": tuner.ItemProfile,
	"trades":   tuner.ItemTrade,
	"services": tuner.ItemService,
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	var call requester.Call
	if !s.readJSON(w, r, &call) {
		return
	}
	if !s.authorizedForTrade(r, call.Trade) {
		writeProblem(w, encoder.Problem{Code: encoder.ProblemForbidden, Field: "Trade", Expected: "a trade that the token is bound to"})
		return
	}
	answer, err := s.backend.Call(r.Context(), call)
	if err != nil {
		// The caller has disconnected or the entry has stopped. The call may
		// still run, so the response must not report that it was not run.
		writeJSON(w, http.StatusGatewayTimeout, requester.Answer{RequestID: call.RequestID, Outcome: requester.OutcomeUnknown})
		return
	}
	if answer.Reason == requester.ReasonInvalid && answer.Outcome == requester.OutcomeRefused {
		writeProblem(w, invalidProblem(answer))
		return
	}
	writeJSON(w, callStatus(answer), answer)
}

// invalidProblem returns the Problem of a call that failed validation. An
// unknown Trade or Service is reported as not found.
func invalidProblem(answer requester.Answer) encoder.Problem {
	problem := encoder.Problem{Code: encoder.ProblemInvalid, Field: answer.Field, Expected: answer.Detail}
	if answer.Field == "Trade" || answer.Field == "Service" {
		problem.Code = encoder.ProblemNotFound
	}
	return problem
}

func callStatus(answer requester.Answer) int {
	switch answer.Outcome {
	case requester.OutcomeAnswered:
		return http.StatusOK
	case requester.OutcomeRefused:
		return http.StatusTooManyRequests
	case requester.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case requester.OutcomeCancelled:
		return http.StatusConflict
	default:
		return http.StatusGatewayTimeout
	}
}

func (s *Server) serveJobSubmit(w http.ResponseWriter, r *http.Request) {
	var job requester.Job
	if !s.readJSON(w, r, &job) {
		return
	}
	if field := requester.AsFieldError(job.Validate()); field != nil {
		writeProblem(w, encoder.Problem{Code: encoder.ProblemInvalid, Field: field.Field, Expected: field.Expected})
		return
	}
	if !s.authorizedForTrade(r, job.Trade) {
		writeProblem(w, encoder.Problem{Code: encoder.ProblemForbidden, Field: "Trade", Expected: "a trade that the token is bound to"})
		return
	}
	s.replyJob(w, r, encoder.JobSubmit, job, http.StatusCreated)
}

// jobFromRequest returns a job with the ID and data centre that a request's path
// and query name.
func jobFromRequest(r *http.Request) requester.Job {
	return requester.Job{
		JobID:      requester.JobID(mux.Vars(r)["id"]),
		DataCentre: requester.DataCentre(r.URL.Query().Get("DataCentre")),
	}
}

func (s *Server) serveJobStatus(w http.ResponseWriter, r *http.Request) {
	s.replyJob(w, r, encoder.JobStatus, jobFromRequest(r), http.StatusOK)
}

func (s *Server) serveJobCancel(w http.ResponseWriter, r *http.Request) {
	s.replyJob(w, r, encoder.JobCancel, jobFromRequest(r), http.StatusOK)
}

// replyJob runs an operation on one job and responds with its status.
func (s *Server) replyJob(w http.ResponseWriter, r *http.Request, action encoder.JobAction, job requester.Job, status int) {
	reply, err := s.backend.Jobs(r.Context(), action, job)
	if err != nil {
		writeProblem(w, encoder.Problem{Code: encoder.ProblemUnknown})
		return
	}
	if reply.Problem.Code != encoder.ProblemNone {
		writeProblem(w, reply.Problem)
		return
	}
	writeJSON(w, status, reply.Jobs[0])
}

func (s *Server) serveJobList(w http.ResponseWriter, r *http.Request) {
	reply, ok := s.requestList(w, r, encoder.JobList)
	if ok {
		writeJSON(w, http.StatusOK, nonNil(reply.Jobs))
	}
}

func (s *Server) serveWorkers(w http.ResponseWriter, r *http.Request) {
	reply, ok := s.requestList(w, r, encoder.WorkerList)
	if ok {
		writeJSON(w, http.StatusOK, nonNil(reply.Workers))
	}
}

// requestList requests a list of jobs or workers. If that fails, it responds
// with a Problem and returns false.
func (s *Server) requestList(w http.ResponseWriter, r *http.Request, action encoder.JobAction) (encoder.JobReply, bool) {
	reply, err := s.backend.Jobs(r.Context(), action, jobFromRequest(r))
	if err != nil {
		reply.Problem.Code = encoder.ProblemUnavailable
	}
	if reply.Problem.Code != encoder.ProblemNone {
		writeProblem(w, reply.Problem)
		return reply, false
	}
	return reply, true
}

// nonNil returns an empty list for nil, so that it is encoded as [] and not as
// null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func (s *Server) serveItems(kind tuner.ItemKind) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, nonNil(s.backend.Items(kind)))
	}
}

func (s *Server) serveItem(kind tuner.ItemKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for _, item := range s.backend.Items(kind) {
			if item.Name == mux.Vars(r)["name"] {
				writeJSON(w, http.StatusOK, item)
				return
			}
		}
		writeProblem(w, encoder.Problem{Code: encoder.ProblemNotFound, Field: "Name", Expected: "the name of an item"})
	}
}

// servePutItem creates or replaces an item. Fields of a profile that the body does
// not contain get the values of tuner.DefaultProfile.
func (s *Server) servePutItem(kind tuner.ItemKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		item := tuner.Item{ItemID: tuner.ItemID{Kind: kind, Name: mux.Vars(r)["name"]}}
		var body any
		switch kind {
		case tuner.ItemProfile:
			profile := tuner.DefaultProfile()
			item.Profile, body = &profile, &profile
		case tuner.ItemTrade:
			item.Trade = &tuner.TradeConfig{}
			body = item.Trade
		case tuner.ItemService:
			item.Service = &tuner.ServiceConfig{}
			body = item.Service
		case tuner.ItemDrainMark:
			item.Mark = &tuner.DrainMark{}
			body = item.Mark
		}
		if s.readJSON(w, r, body) {
			s.changeItem(w, r, item)
		}
	}
}

func (s *Server) serveDeleteItem(kind tuner.ItemKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.changeItem(w, r, tuner.Item{ItemID: tuner.ItemID{Kind: kind, Name: mux.Vars(r)["name"]}, Deleted: true})
	}
}

// serveDrainMark sets the drain mark of a host if leaving is true, and clears it
// otherwise.
func (s *Server) serveDrainMark(leaving bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := requester.HostID(mux.Vars(r)["id"])
		mark := &tuner.DrainMark{HostID: id, Leaving: leaving, By: s.operatorName(r)}
		s.changeItem(w, r, tuner.Item{ItemID: tuner.ItemID{Kind: tuner.ItemDrainMark, Name: string(id)}, Mark: mark})
	}
}

// changeItem changes an item and responds with the accepted item or a Problem.
// The query's Revision is the revision of the item that the operator read, 0 if
// the item did not exist. If the item has a different revision by now, the change
// fails with a conflict. Without Revision, any revision is replaced.
func (s *Server) changeItem(w http.ResponseWriter, r *http.Request, item tuner.Item) {
	expected := int64(tuner.AnyRevision)
	if text := r.URL.Query().Get("Revision"); text != "" {
		revision, err := strconv.ParseInt(text, 10, 64)
		if err != nil || revision < 0 {
			writeProblem(w, encoder.Problem{Code: encoder.ProblemInvalid, Field: "Revision", Expected: "a revision number of at least 0"})
			return
		}
		expected = revision
	}
	reply, err := s.backend.ChangeConfig(r.Context(), item, expected, s.operatorName(r))
	switch {
	case err != nil:
		writeProblem(w, encoder.Problem{Code: encoder.ProblemUnknown})
	case reply.Problem.Code == encoder.ProblemConflict:
		writeProblemWith(w, reply.Problem, reply.Item)
	case reply.Problem.Code != encoder.ProblemNone:
		writeProblem(w, reply.Problem)
	default:
		writeJSON(w, http.StatusOK, reply.Item)
	}
}

func (s *Server) serveHistory(w http.ResponseWriter, r *http.Request) {
	changes, err := s.backend.History(r.Context())
	if err != nil {
		writeProblem(w, encoder.Problem{Code: encoder.ProblemUnavailable, Expected: "a reachable table service"})
		return
	}
	writeJSON(w, http.StatusOK, changes)
}

func (s *Server) serveHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, nonNil(s.backend.View().Hosts))
}
