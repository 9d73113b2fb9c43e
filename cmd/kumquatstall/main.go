// Command kumquatstall runs and operates a cluster scheduler for heterogeneous
// workloads. Its commands entry and serve each run one entry, which is a
// scheduler process; dev runs whole deployments in one process; config checks
// settings files; all others are clients of running entries.
// "kumquatstall --help" lists them.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// Exit statuses.
const (
	exitFailed = 1
	// exitConflict means that an item has changed since the given revision, or
	// that another job has the ID of a submitted one.
	exitConflict = 3
	// exitUnknown means that it is unknown whether a change or call took effect.
	exitUnknown = 4
	// exitNotRun means that a call was refused, cancelled or not run.
	exitNotRun = 5
)

// exitError is an error with an exit status of its own.
type exitError struct {
	status int
	cause  error
}

func (e *exitError) Error() string { return e.cause.Error() }

func (e *exitError) Unwrap() error { return e.cause }

type commandLine struct {
	Entry   entryCommand   `cmd:"" help:"Run an entry that schedules calls and jobs."`
	Serve   serveCommand   `cmd:"" help:"Run an entry that schedules jobs on the users' platform, through its store, workers and advice service."`
	Dev     devCommand     `cmd:"" help:"Run whole deployments in one process, with stand-ins for the platform and the hosts, under a mixed workload, and report."`
	Config  configCommand  `cmd:"" help:"Check settings files."`
	Profile itemCommands   `cmd:"" help:"Read and change profiles."`
	Trade   itemCommands   `cmd:"" help:"Read and change the weights and quotas of trades."`
	Service itemCommands   `cmd:"" help:"Read and change which profile a service uses."`
	Host    hostCommands   `cmd:"" help:"List hosts, drain them and return them to service."`
	Job     jobCommands    `cmd:"" help:"Submit, list, inspect and cancel jobs."`
	Call    callCommand    `cmd:"" help:"Send one call and print the answer."`
	Status  statusCommand  `cmd:"" help:"Show the state of an entry."`
	Report  reportCommands `cmd:"" help:"Report on service levels."`
}

func main() {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	var line commandLine
	line.Profile.path, line.Trade.path, line.Service.path = "profiles", "trades", "services"
	context := kong.Parse(&line,
		kong.Name("kumquatstall"),
		kong.Description("A cluster scheduler for heterogeneous workloads."),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	err := context.Run()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "kumquatstall: "+err.Error())
	var exit *exitError
	if errors.As(err, &exit) {
		os.Exit(exit.status)
	}
	os.Exit(exitFailed)
}
