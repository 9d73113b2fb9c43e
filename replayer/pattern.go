package replayer

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// Pattern is a load to replay: a cell, the jobs that arrive and the faults of the
// workers.
type Pattern struct {
	Name string `yaml:"Name"`
	// Jobs arrive for Seconds. The replay ends SettleSeconds later, so that
	// accepted jobs can complete.
	Seconds       float64 `yaml:"Seconds"`
	SettleSeconds float64 `yaml:"SettleSeconds"`
	Workers       int     `yaml:"Workers"`
	MilliCores    int64   `yaml:"MilliCores"`
	MemoryMB      int64   `yaml:"MemoryMB"`
	Kinds         []Kind  `yaml:"Kinds"`
	Surges        []Surge `yaml:"Surges"`
	Troubles      Faults  `yaml:"Troubles"`
	// Entries is the number of entries that request advice. Each processes one
	// request at a time.
	Entries int `yaml:"Entries"`
}

// Kind is a kind of job.
type Kind struct {
	Name      string  `yaml:"Name"`
	PerSecond float64 `yaml:"PerSecond"`
	Priority  int     `yaml:"Priority"`
	Attempts  int     `yaml:"Attempts"`
	// A job is on time if it completes within SlackMillis plus Stretch times the
	// duration of its steps, including the time for their advice. It then earns
	// Worth; if it completes later, but within three times that time, it earns
	// Late. Both are scaled by the job's processor time; see scaleValues.
	Stretch     float64 `yaml:"Stretch"`
	SlackMillis int64   `yaml:"SlackMillis"`
	Worth       float64 `yaml:"Worth"`
	Late        float64 `yaml:"Late"`
	// Steps is the mean number of steps. Each step depends on the one before.
	Steps float64 `yaml:"Steps"`
	// Width is the number of tasks of a step.
	Width LogNormal `yaml:"Width"`
	// MilliCores and MemoryMB are the resources of a task, WorkMillis its run
	// time at normal speed.
	MilliCores LogNormal `yaml:"MilliCores"`
	MemoryMB   LogNormal `yaml:"MemoryMB"`
	WorkMillis LogNormal `yaml:"WorkMillis"`
	// EstimateOff is the standard deviation of the logarithm of the ratio of the
	// estimated to the actual run time.
	EstimateOff float64 `yaml:"EstimateOff"`
	// GangShare is the share of jobs whose steps are gangs.
	GangShare float64 `yaml:"GangShare"`
	// AdviceMillis is the fixed time for an advice request; 0 if the jobs need
	// no advice.
	AdviceMillis float64 `yaml:"AdviceMillis"`
	// AdviceWorkerMillis is the additional time for each worker in an advice
	// request.
	AdviceWorkerMillis float64 `yaml:"AdviceWorkerMillis"`
	// TicketMillis is how long a ticket is valid.
	TicketMillis int64 `yaml:"TicketMillis"`
	// AllowedShare is the mean share of workers that advice allows to run a step.
	AllowedShare float64 `yaml:"AllowedShare"`
	// HopelessShare is the share of jobs whose tasks always fail.
	HopelessShare float64 `yaml:"HopelessShare"`
	// CancelledShare is the share of jobs cancelled within two seconds.
	CancelledShare float64 `yaml:"CancelledShare"`
}

// LogNormal is a log-normal distribution with the mean Mean. Spread is the
// standard deviation of the logarithm. Samples above Most are set to Most; 0
// means no limit.
type LogNormal struct {
	Mean   float64 `yaml:"Mean"`
	Spread float64 `yaml:"Spread"`
	Most   float64 `yaml:"Most"`
}

// Surge multiplies the arrival rate of a kind by Factor for a period.
type Surge struct {
	Kind       string  `yaml:"Kind"`
	AtSeconds  float64 `yaml:"AtSeconds"`
	ForSeconds float64 `yaml:"ForSeconds"`
	Factor     float64 `yaml:"Factor"`
}

// Faults are the faults of the workers. They begin together at AtSeconds, and
// all but removals end ForSeconds later.
type Faults struct {
	AtSeconds  float64 `yaml:"AtSeconds"`
	ForSeconds float64 `yaml:"ForSeconds"`
	// Tasks take SlowFactor times as long on SlowShare of the workers.
	SlowShare  float64 `yaml:"SlowShare"`
	SlowFactor float64 `yaml:"SlowFactor"`
	// StandingShare is the share of workers whose tasks make no progress.
	StandingShare float64 `yaml:"StandingShare"`
	// FailingShare is the share of workers on which each task that starts fails.
	FailingShare float64 `yaml:"FailingShare"`
	// LeavingShare is the share of workers that are listed as leaving and are
	// removed permanently NoticeSeconds later.
	LeavingShare  float64 `yaml:"LeavingShare"`
	NoticeSeconds float64 `yaml:"NoticeSeconds"`
	// SilentShare is the share of workers that are unresponsive but continue
	// their runs.
	SilentShare float64 `yaml:"SilentShare"`
}

// LoadPattern reads a pattern from a YAML file and validates it.
func LoadPattern(path string) (*Pattern, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read pattern")
	}
	pattern := &Pattern{}
	if err := yaml.UnmarshalWithOptions(data, pattern, yaml.Strict()); err != nil {
		return nil, errors.Newf("%s: %s", path, yaml.FormatError(err, false, false))
	}
	return pattern, errors.Wrap(pattern.check(), path)
}

// fieldCheck is the result of validating one field.
type fieldCheck struct {
	key      string
	expected string
	ok       bool
}

func (p *Pattern) check() error {
	checks := []fieldCheck{
		{"Name", "a name", p.Name != ""},
		{"Seconds", "between 1 and 600", p.Seconds >= 1 && p.Seconds <= 600},
		{"SettleSeconds", "between 0 and 600", p.SettleSeconds >= 0 && p.SettleSeconds <= 600},
		{"Workers", "between 1 and 5000", p.Workers >= 1 && p.Workers <= 5000},
		{"MilliCores", "above 0", p.MilliCores > 0},
		{"MemoryMB", "above 0", p.MemoryMB > 0},
		{"Entries", "above 0", p.Entries > 0},
		{"Kinds", "at least one", len(p.Kinds) > 0},
	}
	names := make(map[string]bool)
	for i, kind := range p.Kinds {
		checks = append(checks, kind.checks(fmt.Sprintf("Kinds[%d].", i))...)
		names[kind.Name] = true
	}
	for i, surge := range p.Surges {
		key := fmt.Sprintf("Surges[%d].", i)
		checks = append(checks,
			fieldCheck{key + "Kind", "the name of a kind", names[surge.Kind]},
			fieldCheck{key + "Factor", "at least 0", surge.Factor >= 0},
		)
	}
	for _, share := range []struct {
		key   string
		value float64
	}{
		{"SlowShare", p.Troubles.SlowShare}, {"StandingShare", p.Troubles.StandingShare},
		{"FailingShare", p.Troubles.FailingShare}, {"LeavingShare", p.Troubles.LeavingShare}, {"SilentShare", p.Troubles.SilentShare},
	} {
		checks = append(checks, shareCheck("Troubles."+share.key, share.value))
	}
	checks = append(checks, fieldCheck{"Troubles.NoticeSeconds", "at least 0", p.Troubles.NoticeSeconds >= 0})
	checks = append(checks, fieldCheck{"Troubles.SlowFactor", "above 1 if SlowShare is above 0", p.Troubles.SlowShare == 0 || p.Troubles.SlowFactor > 1})
	for _, check := range checks {
		if !check.ok {
			return errors.Newf("%s: expected %s", check.key, check.expected)
		}
	}
	return nil
}

func (k *Kind) checks(prefix string) []fieldCheck {
	return []fieldCheck{
		{prefix + "Name", "a name", k.Name != ""},
		{prefix + "PerSecond", "at least 0", k.PerSecond >= 0},
		{prefix + "Attempts", "above 0", k.Attempts > 0},
		{prefix + "Stretch", "above 0", k.Stretch > 0},
		{prefix + "Worth", "above 0", k.Worth > 0},
		{prefix + "Steps", "at least 1", k.Steps >= 1},
		{prefix + "Width.Mean", "above 0", k.Width.Mean > 0},
		{prefix + "MilliCores.Mean", "above 0", k.MilliCores.Mean > 0},
		{prefix + "MemoryMB.Mean", "above 0", k.MemoryMB.Mean > 0},
		{prefix + "WorkMillis.Mean", "above 0", k.WorkMillis.Mean > 0},
		{prefix + "AllowedShare", "above 0 if AdviceMillis is above 0", k.AdviceMillis == 0 || k.AllowedShare > 0},
		shareCheck(prefix+"GangShare", k.GangShare),
		shareCheck(prefix+"AllowedShare", k.AllowedShare),
		shareCheck(prefix+"HopelessShare", k.HopelessShare),
		shareCheck(prefix+"CancelledShare", k.CancelledShare),
	}
}

func shareCheck(key string, value float64) fieldCheck {
	return fieldCheck{key, "a share between 0 and 1", value >= 0 && value <= 1}
}
