package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"kumquatstall/configurer"
	"kumquatstall/runner"
)

// shutdownTimeout is the timeout of the graceful shutdown, at which the entry is
// closed and the command fails.
const shutdownTimeout = 90 * time.Second

type entryCommand struct {
	Config string `required:"" type:"path" help:"Settings file."`
}

// Run runs an entry until it receives SIGTERM or SIGINT, then shuts it down
// gracefully.
func (c *entryCommand) Run() error {
	settings, err := configurer.Load(c.Config)
	if err != nil {
		return err
	}
	setMemoryLimit(settings.Limits.MemoryMB)
	entry, err := runner.Start(settings, newLog(settings.Log.Level))
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-entry.Done():
		return errors.New("entry stopped without a signal")
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return entry.Shutdown(ctx)
}

// newLog returns a logger to standard error. A level that is empty or unknown
// means info.
func newLog(level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(parsed).With().Timestamp().Logger()
}

type configCommand struct {
	Check configCheckCommand `cmd:"" help:"Check a settings file of the command entry and report all problems."`
}

type configCheckCommand struct {
	File string `arg:"" type:"path" help:"Settings file."`
}

// Run checks a settings file of the command entry, not of serve.
func (c *configCheckCommand) Run() error {
	if _, err := configurer.Load(c.File); err != nil {
		return err
	}
	fmt.Println(c.File + ": settings are valid")
	return nil
}
