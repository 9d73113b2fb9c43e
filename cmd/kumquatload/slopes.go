package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"kumquatstall/replayer"
)

type slopesCommand struct {
	Pattern string    `arg:"" type:"existingfile" help:"Pattern file."`
	Factors []float64 `default:"0.125,0.25,0.5,1,2" help:"Factors by which the pattern's workers, entries and arrival rates are scaled, separated by commas."`
	Seed    uint64    `default:"1" help:"Seed of the random numbers."`
}

// Run replays the pattern scaled by each factor and writes the cost of decisions.
func (c *slopesCommand) Run() error {
	pattern, err := replayer.LoadPattern(c.Pattern)
	if err != nil {
		return err
	}
	for _, factor := range c.Factors {
		if factor <= 0 {
			return errors.Newf("--factors: expected numbers above 0, got %v", factor)
		}
	}
	return replayer.WriteSlopes(os.Stdout, replayer.Measure(pattern, c.Seed, c.Factors))
}
