// Command kumquatstall runs and operates a cluster scheduler for heterogeneous
// workloads. "kumquatstall --help" lists its commands.
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
	// exitConflict means that a change conflicts with one that was made since the
	// given revision.
	exitConflict = 3
	// exitUnknown means that a change or call may have taken effect.
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
	Entry   entryCommand   `cmd:"" help:"Run an entry."`
	Serve   serveCommand   `cmd:"" help:"Run an entry that schedules jobs on the users' platform."`
	Dev     devCommand     `cmd:"" help:"Run whole deployments in one process, with stand-ins, under a mixed workload, and report."`
	Config  configCommand  `cmd:"" help:"Check settings files."`
	Profile itemCommands   `cmd:"" help:"Read and change profiles."`
	Trade   itemCommands   `cmd:"" help:"Read and change trades."`
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
