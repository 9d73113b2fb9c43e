package main

import (
	"encoding/json"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/meter"
)

// burnReport holds the burn rates of the service-level error budgets, combined
// over the entries in Entries.
type burnReport struct {
	Entries []string
	// Missing lists the entries that sent no valid response.
	Missing []string
	Burn    []meter.Burn
}

// Run requests the burn rates of every entry given and prints them combined.
func (c *burnCommand) Run() error {
	client, scheme, err := c.client()
	if err != nil {
		return err
	}
	report := burnReport{Entries: []string{}, Missing: []string{}}
	var burns [][]meter.Burn
	for _, entry := range c.Entry {
		response, _, err := c.sendTo(client, scheme+"://"+entry, http.MethodGet, "/v1/burn", nil)
		if err == nil && response.status >= http.StatusBadRequest {
			return problemError(response)
		}
		var burn []meter.Burn
		if err != nil || json.Unmarshal(response.body, &burn) != nil {
			report.Missing = append(report.Missing, entry)
			continue
		}
		report.Entries = append(report.Entries, entry)
		burns = append(burns, burn)
	}
	if len(report.Entries) == 0 {
		return errors.New("no entry sent a valid response")
	}
	report.Burn = meter.Merge(burns...)
	return c.print(report, func(w io.Writer) { printBurn(w, report) })
}

func printBurn(w io.Writer, report burnReport) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	printf(t, "trade\tkind\ttarget share\t")
	for _, window := range meter.Windows {
		printf(t, "burn %s\t", window.Truncate(time.Second))
	}
	printf(t, "mean wait ms\t\n")
	for _, burn := range report.Burn {
		printf(t, "%s\t%s\t%.3f\t", burn.Trade, burn.Kind, burn.Share)
		for _, window := range burn.Windows {
			printf(t, "%.2f\t", window.Rate)
		}
		printf(t, "%.2f\t\n", float64(burn.MeanWaitMicros)/1000)
	}
	_ = t.Flush()
	for _, entry := range report.Missing {
		printf(w, "missing: %s sent no valid response\n", entry)
	}
}
