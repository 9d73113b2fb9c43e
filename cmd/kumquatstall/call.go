package main

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"kumquatstall/requester"
)

type callCommand struct {
	remote
	Service    string        `arg:"" help:"Service to call."`
	Trade      string        `required:"" help:"Trade that sends the call."`
	Kind       string        `required:"" help:"Kind of call."`
	RequestID  string        `help:"ID of the request; generated if unset."`
	Urgency    string        `enum:"Low,Normal,Urgent" default:"Normal" help:"Urgency: ${enum}."`
	Idempotent bool          `help:"The call may safely run more than once."`
	Exclusive  bool          `help:"The call must never run in two places at once."`
	Within     time.Duration `default:"5s" help:"Time from now until the deadline."`
	Attempt    int           `default:"1" help:"Number of this attempt of the request, from 1."`
	DataCentre string        `help:"Data centre that coordinates the request; must be the same for every attempt."`
	Payload    string        `help:"Payload of the call."`
}

// Run sends a call and prints the answer.
func (c *callCommand) Run() error {
	var urgency requester.Urgency
	if err := urgency.UnmarshalText([]byte(c.Urgency)); err != nil {
		return err
	}
	if c.RequestID == "" {
		c.RequestID = uuid.NewString()
	}
	call := requester.Call{
		RequestID:  requester.RequestID(c.RequestID),
		Trade:      requester.Trade(c.Trade),
		Service:    requester.Service(c.Service),
		Kind:       requester.Kind(c.Kind),
		Urgency:    urgency,
		Idempotent: c.Idempotent,
		Exclusive:  c.Exclusive,
		Deadline:   time.Now().Add(c.Within),
		Attempt:    c.Attempt,
		DataCentre: requester.DataCentre(c.DataCentre),
		Payload:    []byte(c.Payload),
	}
	response, err := c.send(http.MethodPost, "/v1/calls", call)
	if err != nil {
		return err
	}
	var answer requester.Answer
	if err := json.Unmarshal(response.body, &answer); err != nil || answer.Outcome == requester.OutcomePending {
		return problemError(response)
	}
	if err := c.print(answer, func(w io.Writer) {
		printf(w, "%s %s %s\n%s\n", answer.RequestID, answer.Outcome, answer.Reason, answer.Payload)
	}); err != nil {
		return err
	}
	return outcomeError(answer)
}

// outcomeError returns nil for a call that was answered and otherwise an error
// with the exit status for its outcome.
func outcomeError(answer requester.Answer) error {
	switch {
	case answer.Outcome == requester.OutcomeAnswered:
		return nil
	case answer.Outcome.ProvesNotRun():
		return &exitError{status: exitNotRun, cause: errors.Newf("the call was not run: %s", answer.Reason)}
	default:
		return &exitError{status: exitUnknown, cause: errors.Newf("the call may have run: %s", answer.Reason)}
	}
}
