package server

import (
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"kumquatstall/encoder"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// itemPaths maps the paths of configuration to kinds of items.
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
	if !s.mayCallFor(r, call.Trade) {
		writeProblem(w, encoder.Problem{Code: encoder.ProblemForbidden, Field: "Trade", Expected: "a trade that the token is bound to"})
		return
	}
	answer, err := s.control.Call(r.Context(), call)
	if err != nil {
		// The caller has gone or the entry is ending; nobody may be told
		// that the call was not run.
		writeJSON(w, http.StatusGatewayTimeout, requester.Answer{RequestID: call.RequestID, Outcome: requester.OutcomeUnknown})
		return
	}
	if answer.Reason == requester.ReasonInvalid && answer.Outcome == requester.OutcomeRefused {
		writeProblem(w, invalidProblem(answer))
		return
	}
	writeJSON(w, callStatus(answer), answer)
}

// invalidProblem tells which field of a call was wrong; one that names
// nothing that exists was not found.
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
	if !s.mayCallFor(r, job.Trade) {
		writeProblem(w, encoder.Problem{Code: encoder.ProblemForbidden, Field: "Trade", Expected: "a trade that the token is bound to"})
		return
	}
	s.replyJob(w, r, encoder.JobSubmit, job, http.StatusCreated)
}

// namedJob is the job that a request's path and query name.
func namedJob(r *http.Request) requester.Job {
	return requester.Job{
		JobID:      requester.JobID(mux.Vars(r)["id"]),
		DataCentre: requester.DataCentre(r.URL.Query().Get("DataCentre")),
	}
}

func (s *Server) serveJobStatus(w http.ResponseWriter, r *http.Request) {
	s.replyJob(w, r, encoder.JobStatus, namedJob(r), http.StatusOK)
}

func (s *Server) serveJobCancel(w http.ResponseWriter, r *http.Request) {
	s.replyJob(w, r, encoder.JobCancel, namedJob(r), http.StatusOK)
}

// replyJob answers with the one job asked about.
func (s *Server) replyJob(w http.ResponseWriter, r *http.Request, action encoder.JobAction, job requester.Job, status int) {
	reply, err := s.control.Jobs(r.Context(), action, job)
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
	reply, ok := s.listed(w, r, encoder.JobList)
	if ok {
		writeJSON(w, http.StatusOK, nonNil(reply.Jobs))
	}
}

func (s *Server) serveWorkers(w http.ResponseWriter, r *http.Request) {
	reply, ok := s.listed(w, r, encoder.WorkerList)
	if ok {
		writeJSON(w, http.StatusOK, nonNil(reply.Workers))
	}
}

func (s *Server) listed(w http.ResponseWriter, r *http.Request, action encoder.JobAction) (encoder.JobReply, bool) {
	reply, err := s.control.Jobs(r.Context(), action, namedJob(r))
	if err != nil {
		reply.Problem.Code = encoder.ProblemUnavailable
	}
	if reply.Problem.Code != encoder.ProblemNone {
		writeProblem(w, reply.Problem)
		return reply, false
	}
	return reply, true
}

// nonNil makes an empty list of none, so that it is encoded as [].
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func (s *Server) serveItems(kind tuner.ItemKind) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, nonNil(s.control.Items(kind)))
	}
}

func (s *Server) serveItem(kind tuner.ItemKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for _, item := range s.control.Items(kind) {
			if item.Name == mux.Vars(r)["name"] {
				writeJSON(w, http.StatusOK, item)
				return
			}
		}
		writeProblem(w, encoder.Problem{Code: encoder.ProblemNotFound, Field: "Name", Expected: "the name of an item"})
	}
}

// servePutItem changes an item. The query's Revision is the one that the
// operator read; without it, whatever is in force is replaced.
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
			s.change(w, r, item)
		}
	}
}

func (s *Server) serveDeleteItem(kind tuner.ItemKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.change(w, r, tuner.Item{ItemID: tuner.ItemID{Kind: kind, Name: mux.Vars(r)["name"]}, Deleted: true})
	}
}

// serveMark marks a host as leaving or takes the mark back.
func (s *Server) serveMark(leaving bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := requester.HostID(mux.Vars(r)["id"])
		mark := &tuner.DrainMark{HostID: id, Leaving: leaving, By: s.operator(r)}
		s.change(w, r, tuner.Item{ItemID: tuner.ItemID{Kind: tuner.ItemDrainMark, Name: string(id)}, Mark: mark})
	}
}

func (s *Server) change(w http.ResponseWriter, r *http.Request, item tuner.Item) {
	expected := int64(tuner.AnyRevision)
	if text := r.URL.Query().Get("Revision"); text != "" {
		revision, err := strconv.ParseInt(text, 10, 64)
		if err != nil || revision < 0 {
			writeProblem(w, encoder.Problem{Code: encoder.ProblemInvalid, Field: "Revision", Expected: "a revision number of at least 0"})
			return
		}
		expected = revision
	}
	reply, err := s.control.ChangeConfig(r.Context(), item, expected, s.operator(r))
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
	changes, err := s.control.History(r.Context())
	if err != nil {
		writeProblem(w, encoder.Problem{Code: encoder.ProblemUnavailable, Expected: "a reachable table service"})
		return
	}
	writeJSON(w, http.StatusOK, changes)
}

func (s *Server) serveHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, nonNil(s.control.View().Hosts))
}
