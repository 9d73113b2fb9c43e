package replayer

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// Pattern is a load to replay.
type Pattern struct {
	Name string `yaml:"Name"`
	// Seconds is how long jobs arrive; what was accepted may end within
	// SettleSeconds more.
	Seconds       float64 `yaml:"Seconds"`
	SettleSeconds float64 `yaml:"SettleSeconds"`
	Workers       int     `yaml:"Workers"`
	MilliCores    int64   `yaml:"MilliCores"`
	MemoryMB      int64   `yaml:"MemoryMB"`
	Kinds         []Kind  `yaml:"Kinds"`
	Surges        []Surge `yaml:"Surges"`
	Troubles      Faults  `yaml:"Troubles"`
	// Entries is how many hosts may ask for advice, each one question at a
	// time.
	Entries int `yaml:"Entries"`
}

// Kind is a kind of job.
type Kind struct {
	Name      string  `yaml:"Name"`
	PerSecond float64 `yaml:"PerSecond"`
	Priority  int     `yaml:"Priority"`
	Attempts  int     `yaml:"Attempts"`
	// Stretch times the chain of work, and SlackMillis more, is the time in
	// which a job is worth Worth; until three times that it is worth Late.
	Stretch     float64 `yaml:"Stretch"`
	SlackMillis int64   `yaml:"SlackMillis"`
	Worth       float64 `yaml:"Worth"`
	Late        float64 `yaml:"Late"`
	// Steps is the mean number of steps, one after the other.
	Steps        float64   `yaml:"Steps"`
	Width        LogNormal `yaml:"Width"`
	MilliCores   LogNormal `yaml:"MilliCores"`
	MemoryMB     LogNormal `yaml:"MemoryMB"`
	WorkMillis   LogNormal `yaml:"WorkMillis"`
	EstimateOff  float64   `yaml:"EstimateOff"`
	GangShare    float64   `yaml:"GangShare"`
	AdviceMillis float64   `yaml:"AdviceMillis"`
	// AdviceWorkerMillis is the time for each worker that a question names.
	AdviceWorkerMillis float64 `yaml:"AdviceWorkerMillis"`
	TicketMillis       int64   `yaml:"TicketMillis"`
	// AllowedShare is the share of workers that may run a step.
	AllowedShare float64 `yaml:"AllowedShare"`
	// HopelessShare is the share of jobs that always fail.
	HopelessShare float64 `yaml:"HopelessShare"`
	// CancelledShare is the share of jobs cancelled within two seconds.
	CancelledShare float64 `yaml:"CancelledShare"`
}

// Spread is a log-normal draw with a mean, cut off at Most.
type LogNormal struct {
	Mean   float64 `yaml:"Mean"`
	Spread float64 `yaml:"Spread"`
	Most   float64 `yaml:"Most"`
}

// Surge multiplies the arrivals of a kind for a while.
type Surge struct {
	Kind       string  `yaml:"Kind"`
	AtSeconds  float64 `yaml:"AtSeconds"`
	ForSeconds float64 `yaml:"ForSeconds"`
	Factor     float64 `yaml:"Factor"`
}

// Troubles are what befalls the workers, once, at a time.
type Faults struct {
	AtSeconds  float64 `yaml:"AtSeconds"`
	ForSeconds float64 `yaml:"ForSeconds"`
	// SlowShare of the workers work SlowFactor times as long.
	SlowShare  float64 `yaml:"SlowShare"`
	SlowFactor float64 `yaml:"SlowFactor"`
	// StandingShare of the workers make no progress.
	StandingShare float64 `yaml:"StandingShare"`
	// FailingShare of the workers fail what they start.
	FailingShare float64 `yaml:"FailingShare"`
	// LeavingShare of the workers tell that they leave and are gone
	// NoticeSeconds later, for good.
	LeavingShare  float64 `yaml:"LeavingShare"`
	NoticeSeconds float64 `yaml:"NoticeSeconds"`
	// SilentShare of the workers can't be reached and work on.
	SilentShare float64 `yaml:"SilentShare"`
}

// LoadPattern reads and checks a pattern.
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
	checks = append(checks, fieldCheck{"Troubles.SlowFactor", "above 1 where workers are slow", p.Troubles.SlowShare == 0 || p.Troubles.SlowFactor > 1})
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
		{prefix + "AllowedShare", "above 0 where advice is asked", k.AdviceMillis == 0 || k.AllowedShare > 0},
		shareCheck(prefix+"GangShare", k.GangShare),
		shareCheck(prefix+"AllowedShare", k.AllowedShare),
		shareCheck(prefix+"HopelessShare", k.HopelessShare),
		shareCheck(prefix+"CancelledShare", k.CancelledShare),
	}
}

func shareCheck(key string, value float64) fieldCheck {
	return fieldCheck{key, "a share between 0 and 1", value >= 0 && value <= 1}
}
