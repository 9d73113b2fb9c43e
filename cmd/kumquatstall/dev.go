package main

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/schollz/progressbar/v3"

	"kumquatstall/limiter"
	"kumquatstall/loader"
	"kumquatstall/reporter"
	"kumquatstall/stager"
)

type devCommand struct {
	For        time.Duration   `default:"15s" help:"How long load is generated."`
	Seed       uint64          `default:"1" help:"Seed of the random numbers of the load."`
	Deployment string          `enum:"chikugo,brennan,both" default:"both" help:"Which deployment to run: ${enum}."`
	Report     reporter.Format `enum:"text,json" default:"text" help:"Output format: ${enum}."`
	Scale      float64         `default:"0.25" help:"Size of the deployments and rate of the load, as a share of the full size, above 0 and at most 1."`
	LogLevel   string          `enum:"debug,info,warn,error" default:"error" help:"Log level of the entries: ${enum}."`
	Hold       bool            `help:"Keep the deployments running after the load, until interrupted, and print their addresses."`
}

// Run runs the deployments at the same time and writes the report. It returns an
// error if the report is not clean.
func (c *devCommand) Run() error {
	if c.For <= 0 {
		return errors.New("--for: expected a duration above 0")
	}
	if !(c.Scale > 0 && c.Scale <= 1) {
		return errors.New("--scale: expected a share above 0 and at most 1")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	log := zerolog.New(os.Stderr).Level(parseLevel(c.LogLevel)).With().Timestamp().Logger()
	report := &reporter.DevReport{Seed: c.Seed, Seconds: c.For.Seconds()}
	var mu sync.Mutex
	bar := c.progress()
	runs := c.deploymentRuns(log)
	if err := shareGuard(runs); err != nil {
		return err
	}
	var group sync.WaitGroup
	var firstErr error
	for _, run := range runs {
		group.Go(func() {
			verdict, deployment, err := run.execute(ctx, c.Seed, c.For)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && firstErr == nil {
				firstErr = err
			}
			report.Add(verdict)
			report.Overloaded += run.capacityViolations
			report.Violations += run.invariantViolations
			report.Deployments = append(report.Deployments, deployment)
		})
	}
	group.Wait()
	_ = bar.Finish()
	if firstErr != nil {
		return firstErr
	}
	if err := report.Write(os.Stdout, c.Report); err != nil {
		return err
	}
	if !report.Clean() {
		return errors.New("audit failed: the report has attempts without an answer, requests that ran more often than they may, overloaded hosts or other violations")
	}
	return nil
}

// shareGuard lets the entries of all deployments share the guard of the process.
func shareGuard(runs []*deploymentRun) error {
	entries := 0
	for _, run := range runs {
		entries += run.plan.EntryCount()
	}
	guard, err := limiter.New(limiter.Options{Entries: entries})
	if err != nil {
		return err
	}
	for _, run := range runs {
		run.plan.Guard = guard
	}
	return nil
}

// parseLevel returns the log level of that name, or info if there is none.
func parseLevel(name string) zerolog.Level {
	level, err := zerolog.ParseLevel(name)
	if err != nil {
		return zerolog.InfoLevel
	}
	return level
}

// progress starts a progress bar on standard error that fills up over the
// duration of the load.
func (c *devCommand) progress() *progressbar.ProgressBar {
	steps := int(c.For / (100 * time.Millisecond))
	bar := progressbar.NewOptions(steps,
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetDescription("generating load"),
		progressbar.OptionClearOnFinish(),
	)
	go func() {
		for range steps {
			time.Sleep(100 * time.Millisecond)
			_ = bar.Add(1)
		}
	}()
	return bar
}

// deploymentRuns returns a run for each deployment that the flags select.
func (c *devCommand) deploymentRuns(log zerolog.Logger) []*deploymentRun {
	var runs []*deploymentRun
	if c.Deployment != "brennan" {
		runs = append(runs, &deploymentRun{plan: stager.Chikugo(c.Scale), workload: loader.Chikugo(c.Scale), log: log, hold: c.Hold})
	}
	if c.Deployment != "chikugo" {
		runs = append(runs, &deploymentRun{plan: stager.Brennan(c.Scale), workload: loader.Brennan(c.Scale), log: log, hold: c.Hold})
	}
	return runs
}
