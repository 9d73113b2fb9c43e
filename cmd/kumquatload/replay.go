package main

import (
	"os"

	"kumquatstall/replayer"
	"kumquatstall/reporter"
)

type replayCommand struct {
	Patterns []string        `arg:"" type:"existingfile" help:"Pattern files."`
	Seeds    uint64          `default:"1" help:"Number of seeds to replay each pattern with."`
	First    uint64          `default:"1" help:"First seed."`
	Report   reporter.Format `enum:"text,json" default:"text" help:"Output format: ${enum}."`
}

// Run replays each pattern with each seed and writes the results.
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
