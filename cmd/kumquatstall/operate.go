package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/google/uuid"

	"kumquatstall/decider"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// isDialError reports whether a request failed before a connection was
// established.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// itemCommands are the commands for configuration items of one kind.
type itemCommands struct {
	// path is the kind's part of the URL path, such as "profiles".
	path string

	List    itemListCommand    `cmd:"" help:"List all items and their revisions."`
	Get     itemGetCommand     `cmd:"" help:"Print an item."`
	Put     itemPutCommand     `cmd:"" help:"Create or replace an item from a YAML or JSON file."`
	Delete  itemDeleteCommand  `cmd:"" help:"Delete an item."`
	History itemHistoryCommand `cmd:"" help:"List the accepted changes of the whole configuration."`
}

// AfterApply sets the path of the commands that need it. kong calls it after
// parsing.
func (c *itemCommands) AfterApply() error {
	c.List.path, c.Get.path, c.Put.path, c.Delete.path = c.path, c.path, c.path, c.path
	return nil
}

type itemListCommand struct {
	remote
	path string
}

// Run lists the items of a kind.
func (c *itemListCommand) Run() error {
	var items []tuner.Item
	if err := c.fetch(http.MethodGet, "/v1/"+c.path, nil, &items); err != nil {
		return err
	}
	return c.print(items, func(w io.Writer) {
		for _, item := range items {
			printf(w, "%s\trevision %d\n", item.Name, item.Revision)
		}
	})
}

type itemGetCommand struct {
	remote
	path string
	Name string `arg:"" help:"Name of the item."`
}

// Run prints an item.
func (c *itemGetCommand) Run() error {
	var item tuner.Item
	if err := c.fetch(http.MethodGet, "/v1/"+c.path+"/"+url.PathEscape(c.Name), nil, &item); err != nil {
		return err
	}
	return c.print(item, func(w io.Writer) {
		printf(w, "# revision %d\n", item.Revision)
		data, err := json.Marshal(itemBody(item))
		if err != nil {
			return
		}
		text, err := yaml.JSONToYAML(data)
		if err == nil {
			printf(w, "%s", text)
		}
	})
}

// itemBody returns the field of an item that is set for its kind.
func itemBody(item tuner.Item) any {
	switch item.Kind {
	case tuner.ItemProfile:
		return item.Profile
	case tuner.ItemTrade:
		return item.Trade
	case tuner.ItemService:
		return item.Service
	default:
		return item.Mark
	}
}

type itemPutCommand struct {
	remote
	path     string
	Name     string `arg:"" help:"Name of the item."`
	File     string `arg:"" type:"existingfile" help:"YAML or JSON file."`
	Revision int64  `default:"-1" help:"Revision of the item to replace, 0 if it never existed; any other is a conflict. -1 replaces any revision."`
}

// Run creates or replaces an item from a file.
func (c *itemPutCommand) Run() error {
	body, err := readBody(c.File)
	if err != nil {
		return err
	}
	return changeItem(&c.remote, http.MethodPut, "/v1/"+c.path+"/"+url.PathEscape(c.Name), c.Revision, body)
}

// readBody reads a YAML or JSON file as the JSON body of a request.
func readBody(file string) (json.RawMessage, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read file")
	}
	data, err := yaml.YAMLToJSON(text)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: expected YAML", file)
	}
	return data, nil
}

// changeItem sends a change of an item and prints the item as accepted. If
// revision is at least 0, the change is a conflict unless that is the item's
// current revision.
func changeItem(r *remote, method, path string, revision int64, body any) error {
	if revision >= 0 {
		path += "?Revision=" + strconv.FormatInt(revision, 10)
	}
	var item tuner.Item
	if err := r.fetch(method, path, body, &item); err != nil {
		return err
	}
	return r.print(item, func(w io.Writer) { printf(w, "%s: change accepted as revision %d\n", item.Name, item.Revision) })
}

type itemDeleteCommand struct {
	remote
	path     string
	Name     string `arg:"" help:"Name of the item."`
	Revision int64  `default:"-1" help:"Revision of the item to delete; any other is a conflict. -1 deletes any revision."`
}

// Run deletes an item.
func (c *itemDeleteCommand) Run() error {
	return changeItem(&c.remote, http.MethodDelete, "/v1/"+c.path+"/"+url.PathEscape(c.Name), c.Revision, nil)
}

type itemHistoryCommand struct {
	remote
}

// Run lists the accepted changes of all kinds of items, oldest first.
func (c *itemHistoryCommand) Run() error {
	var changes []tuner.Change
	if err := c.fetch(http.MethodGet, "/v1/history", nil, &changes); err != nil {
		return err
	}
	return c.print(changes, func(w io.Writer) {
		for _, change := range changes {
			printf(w, "%d\t%s\t%s\t%s\t%s\n", change.Revision, change.At.Format(time.RFC3339), change.Item.Kind, change.Item.Name, change.By)
		}
	})
}

type hostCommands struct {
	List   hostListCommand   `cmd:"" help:"List the hosts of the entry's data centre."`
	Leave  hostLeaveCommand  `cmd:"" help:"Drain a host: it gets no new work."`
	Return hostReturnCommand `cmd:"" help:"Return a drained host to service."`
}

type hostListCommand struct {
	remote
}

// Run lists hosts.
func (c *hostListCommand) Run() error {
	var hosts []decider.HostView
	if err := c.fetch(http.MethodGet, "/v1/hosts", nil, &hosts); err != nil {
		return err
	}
	return c.print(hosts, func(w io.Writer) {
		for _, host := range hosts {
			state := "active"
			if host.Leaving {
				state = "leaving"
			}
			printf(w, "%s\t%s\t%s\t%s%s\n", host.HostID, host.Role, state, host.Rack, host.Service)
		}
	})
}

type hostLeaveCommand struct {
	remote
	HostID string `arg:"" help:"ID of the host."`
}

// Run sets the drain mark of a host.
func (c *hostLeaveCommand) Run() error {
	return changeItem(&c.remote, http.MethodPost, "/v1/hosts/"+url.PathEscape(c.HostID)+"/leave", -1, nil)
}

type hostReturnCommand struct {
	remote
	HostID string `arg:"" help:"ID of the host."`
}

// Run clears the drain mark of a host.
func (c *hostReturnCommand) Run() error {
	return changeItem(&c.remote, http.MethodPost, "/v1/hosts/"+url.PathEscape(c.HostID)+"/return", -1, nil)
}

type jobCommands struct {
	Submit jobSubmitCommand `cmd:"" help:"Submit a job from a YAML or JSON file."`
	Status jobStatusCommand `cmd:"" help:"Show a job."`
	List   jobListCommand   `cmd:"" help:"List the jobs of a data centre."`
	Cancel jobCancelCommand `cmd:"" help:"Cancel a job."`
}

type jobSubmitCommand struct {
	remote
	File string `arg:"" type:"existingfile" help:"YAML or JSON file."`
}

// Run submits a job.
func (c *jobSubmitCommand) Run() error {
	body, err := readBody(c.File)
	if err != nil {
		return err
	}
	return c.requestJob(http.MethodPost, "/v1/jobs", body)
}

// requestJob sends a request about one job and prints the status of the job from
// the response.
func (r *remote) requestJob(method, path string, body any) error {
	var status requester.JobStatus
	if err := r.fetch(method, path, body, &status); err != nil {
		return err
	}
	return r.print(status, func(w io.Writer) { printJob(w, status) })
}

// printJob writes the status of a job as one line.
func printJob(w io.Writer, status requester.JobStatus) {
	printf(w, "%s\t%s\t%s\t%s\twaiting %d, running %d, succeeded %d, failed %d", status.JobID, status.Trade, status.Shape, status.State,
		status.Waiting, status.Running, status.Succeeded, status.Failed)
	if status.Reason != requester.ReasonNone {
		printf(w, " (%s)", status.Reason)
	}
	printf(w, "\n")
}

// jobArguments holds the arguments of commands about one job.
type jobArguments struct {
	remote
	JobID      string `arg:"" help:"ID of the job."`
	DataCentre string `help:"Data centre of the job; the entry's own if unset."`
}

// jobPath returns the URL path and query of the job.
func (c *jobArguments) jobPath() string {
	return "/v1/jobs/" + url.PathEscape(c.JobID) + "?DataCentre=" + url.QueryEscape(c.DataCentre)
}

type jobStatusCommand struct{ jobArguments }

// Run shows a job.
func (c *jobStatusCommand) Run() error { return c.requestJob(http.MethodGet, c.jobPath(), nil) }

type jobCancelCommand struct{ jobArguments }

// Run cancels a job.
func (c *jobCancelCommand) Run() error { return c.requestJob(http.MethodDelete, c.jobPath(), nil) }

type jobListCommand struct {
	remote
	DataCentre string `help:"Data centre; the entry's own if unset."`
}

// Run lists jobs.
func (c *jobListCommand) Run() error {
	var statuses []requester.JobStatus
	if err := c.fetch(http.MethodGet, "/v1/jobs?DataCentre="+url.QueryEscape(c.DataCentre), nil, &statuses); err != nil {
		return err
	}
	return c.print(statuses, func(w io.Writer) {
		for _, status := range statuses {
			printJob(w, status)
		}
	})
}

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

type statusCommand struct {
	remote
}

// Run prints the state of an entry.
func (c *statusCommand) Run() error {
	var view decider.View
	if err := c.fetch(http.MethodGet, "/v1/status", nil, &view); err != nil {
		return err
	}
	return c.print(view, func(w io.Writer) {
		printf(w, "%s in %s: ready %t, draining %t, store down %t, configuration revision %d\n",
			view.EntryID, view.DataCentre, view.Ready, view.Draining, view.StoreDown, view.ConfigRevision)
		for _, shard := range view.Seats {
			printf(w, "shard %d\tepoch %d\tlease extended %t\n", shard.Number, shard.Epoch, shard.Extended)
		}
		for _, peer := range view.Peers {
			printf(w, "peer %s\t%s\tconnected %t\tround trip %d us\trevision %d\n",
				peer.EntryID, peer.DataCentre, peer.Connected, peer.RoundTripMicros, peer.ConfigRevision)
		}
		for _, service := range view.Services {
			printf(w, "service %s\tprofile %s\t%d endpoints\t%d calls waiting\n", service.Service, service.Profile, len(service.Endpoints), service.Waiting)
		}
	})
}

type reportCommands struct {
	Burn burnCommand `cmd:"" help:"Report the burn rates of service-level error budgets."`
}

type burnCommand struct {
	remote
}
