// Command kumquatload runs load tests and experiments. Its commands run and
// compare start real entries on loopback, with stand-ins for all other services;
// replay and slopes run the scheduler's decisions alone, in virtual time.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/schollz/progressbar/v3"

	"kumquatstall/experimenter"
	"kumquatstall/reporter"
)

type commandLine struct {
	Run     runCommand     `cmd:"" help:"Run a scenario under one policy."`
	Compare compareCommand `cmd:"" help:"Run a scenario under several policies, with the same seed."`
	Slopes  slopesCommand  `cmd:"" help:"Measure how the cost of decisions grows with the size and load of a cell."`
	Replay  replayCommand  `cmd:"" help:"Replay load patterns against the scheduler's decisions alone, in virtual time."`
}

// options are the arguments and flags that run and compare have in common.
type options struct {
	Scenario string          `arg:"" type:"existingfile" help:"Scenario file."`
	Seed     uint64          `default:"1" help:"Seed of the random numbers."`
	Report   reporter.Format `enum:"text,json" default:"text" help:"Output format: ${enum}."`
	Plot     string          `placeholder:"DIR" help:"Write plots of waits and packing as SVG files into a directory."`
	LogLevel string          `enum:"debug,info,warn,error" default:"error" help:"Log level of the entries: ${enum}."`
}

type runCommand struct {
	options
	Policy string `default:"default" help:"Policy: one of ${policies}."`
}

// Run runs a scenario under one policy.
func (c *runCommand) Run() error { return c.execute([]string{c.Policy}) }

type compareCommand struct {
	options
	Policies string `default:"default,fifo" help:"Policies, separated by commas: any of ${policies}."`
}

// Run runs a scenario under several policies.
func (c *compareCommand) Run() error { return c.execute(strings.Split(c.Policies, ",")) }

// execute runs the scenario under each policy in turn and writes the report. It
// returns an error if the report is not clean.
func (o *options) execute(names []string) error {
	scenario, err := experimenter.LoadScenario(o.Scenario)
	if err != nil {
		return err
	}
	policies := make([]experimenter.Policy, len(names))
	for i, name := range names {
		if policies[i], err = experimenter.FindPolicy(name); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	level, err := zerolog.ParseLevel(o.LogLevel)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	report := &experimenter.Report{Scenario: scenario.Name, Seed: o.Seed, Scale: scenario.Scale, Seconds: scenario.Seconds}
	for _, policy := range policies {
		finish := progress(policy.Name, scenario.Seconds)
		run, err := experimenter.Execute(ctx, scenario, policy, o.Seed, log)
		finish()
		if err != nil {
			return errors.Wrapf(err, "policy %s", policy.Name)
		}
		report.Runs = append(report.Runs, run)
	}
	if o.Plot != "" {
		if err := report.Plot(o.Plot); err != nil {
			return err
		}
	}
	if err := report.Write(os.Stdout, o.Report); err != nil {
		return err
	}
	if !report.Clean() {
		return errors.New("audit failed: the report has attempts without an answer, requests that ran more often than they may, overloaded hosts or other violations")
	}
	return nil
}

// progress shows a progress bar of a run on standard error until finish is
// called.
func progress(name string, seconds int64) (finish func()) {
	bar := progressbar.NewOptions64(seconds,
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetDescription("policy "+name),
		progressbar.OptionClearOnFinish(),
	)
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				_ = bar.Add(1)
			}
		}
	}()
	return func() {
		close(done)
		_ = bar.Finish()
	}
}

func main() {
	var line commandLine
	parsed := kong.Parse(&line,
		kong.Name("kumquatload"),
		kong.Description("Load tests and experiments for kumquatstall."),
		kong.UsageOnError(),
		kong.Vars{"policies": strings.Join(experimenter.PolicyNames(), ", ")},
	)
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "kumquatload: "+err.Error())
		os.Exit(1)
	}
}
