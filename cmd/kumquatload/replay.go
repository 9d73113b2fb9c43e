package main

import (
	"os"

	"kumquatstall/replayer"
	"kumquatstall/reporter"
)

type replayCommand struct {
	Patterns []string        `arg:"" type:"existingfile" help:"Pattern files."`
	Seeds    uint64          `default:"1" help:"How many seeds to replay each with."`
	First    uint64          `default:"1" help:"The first seed."`
	Report   reporter.Format `enum:"text,json" default:"text" help:"How to report: ${enum}."`
}

// Run replays each pattern with each seed.
func (c *replayCommand) Run() error {
	for _, path := range c.Patterns {
		pattern, err := replayer.LoadPattern(path)
		if err != nil {
			return err
		}
		for seed := c.First; seed < c.First+c.Seeds; seed++ {
			if err := replayer.Run(pattern, seed).Write(os.Stdout, c.Report == reporter.FormatJSON); err != nil {
				return err
			}
		}
	}
	return nil
}
