package main

import (
	"io"
	"net/http"
	"net/url"

	"kumquatstall/requester"
)

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
	return fetchAndPrint(r, method, path, body, printJob)
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
	path := "/v1/jobs?DataCentre=" + url.QueryEscape(c.DataCentre)
	return fetchAndPrint(&c.remote, http.MethodGet, path, nil, func(w io.Writer, statuses []requester.JobStatus) {
		for _, status := range statuses {
			printJob(w, status)
		}
	})
}
