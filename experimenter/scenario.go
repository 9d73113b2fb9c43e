// Package experimenter runs scenarios under policies and compares them.
//
// A scenario names a deployment, its size, the work that arrives and the
// faults that occur. Each policy gets a fresh deployment of real entries over
// loopback and the same draws of the same seed, so that differences between
// runs come from the policy and from chance in timing alone.
package experimenter

import (
	"fmt"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"kumquatstall/loader"
	"kumquatstall/stager"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultStoreDown takes the table service away.
	FaultStoreDown FaultKind = "StoreDown"
	// FaultStoreSlow delays each request to the table by Value ms.
	FaultStoreSlow FaultKind = "StoreSlow"
	// FaultLostAnswers loses every Value-th answer of the table.
	FaultLostAnswers FaultKind = "LostAnswers"
	// FaultBlackHoleWorkers makes Value workers fail every task at once.
	FaultBlackHoleWorkers FaultKind = "BlackHoleWorkers"
	// FaultFailingEndpoints makes Value endpoints fail every call.
	FaultFailingEndpoints FaultKind = "FailingEndpoints"
	// FaultSlowEndpoints makes Value endpoints ten times as slow.
	FaultSlowEndpoints FaultKind = "SlowEndpoints"
	// FaultKillEntries ends Value entries at once, without graceful shutdown.
	FaultKillEntries FaultKind = "KillEntries"
	// FaultReplaceEntries replaces Value entries, one after the other, gracefully.
	FaultReplaceEntries FaultKind = "ReplaceEntries"
	// FaultCancelJobs cancels all jobs.
	FaultCancelJobs FaultKind = "CancelJobs"
)

var faultKinds = []FaultKind{
	FaultStoreDown, FaultStoreSlow, FaultLostAnswers, FaultBlackHoleWorkers, FaultFailingEndpoints, FaultSlowEndpoints, FaultKillEntries,
	FaultReplaceEntries, FaultCancelJobs,
}

// Fault is one fault of a scenario.
type Fault struct {
	Kind FaultKind `yaml:"Kind"`
	// AtMillis is when it starts, from the start of the run; ForMillis how
	// long it lasts.
	AtMillis  int64 `yaml:"AtMillis"`
	ForMillis int64 `yaml:"ForMillis"`
	Value     int64 `yaml:"Value"`
}

// Scenario is what is run.
type Scenario struct {
	Name string `yaml:"Name"`
	// Deployment is chikugo or brennan.
	Deployment string `yaml:"Deployment"`
	// Scale is the share of today's endpoints and workers.
	Scale float64 `yaml:"Scale"`
	// Seconds is how long work arrives.
	Seconds int64 `yaml:"Seconds"`
	// LoadScale is the share of the deployment's usual mixed work, relative
	// to Scale; 0 leaves it out.
	LoadScale float64            `yaml:"LoadScale"`
	Streams   []loader.Stream    `yaml:"Streams"`
	Floods    []loader.Stream    `yaml:"Floods"`
	Jobs      []loader.JobStream `yaml:"Jobs"`
	Faults    []Fault            `yaml:"Faults"`
}

// LoadScenario reads and checks a scenario.
func LoadScenario(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read scenario")
	}
	scenario := &Scenario{}
	if err := yaml.UnmarshalWithOptions(data, scenario, yaml.Strict()); err != nil {
		return nil, errors.Newf("%s: %s", path, yaml.FormatError(err, false, false))
	}
	return scenario, errors.Wrap(scenario.check(), path)
}

func (s *Scenario) check() error {
	checks := []struct {
		key      string
		expected string
		ok       bool
	}{
		{"Name", "a name", s.Name != ""},
		{"Deployment", "chikugo or brennan", s.Deployment == "chikugo" || s.Deployment == "brennan"},
		{"Scale", "a share above 0 and at most 1", s.Scale > 0 && s.Scale <= 1},
		{"Seconds", "a count between 1 and 600", s.Seconds >= 1 && s.Seconds <= 600},
		{"LoadScale", "a share between 0 and 10", s.LoadScale >= 0 && s.LoadScale <= 10},
	}
	for i, fault := range s.Faults {
		key := fmt.Sprintf("Faults[%d].", i)
		checks = append(checks, []struct {
			key      string
			expected string
			ok       bool
		}{
			{key + "Kind", fmt.Sprintf("one of %v", faultKinds), slices.Contains(faultKinds, fault.Kind)},
			{key + "AtMillis", "a time within the run", fault.AtMillis >= 0 && fault.AtMillis < s.Seconds*1000},
			{key + "Value", "a count of at least 0", fault.Value >= 0},
		}...)
	}
	for _, check := range checks {
		if !check.ok {
			return errors.Newf("%s: expected %s", check.key, check.expected)
		}
	}
	return nil
}

// plan returns the deployment to run on.
func (s *Scenario) plan() stager.Plan {
	plan := stager.Brennan(s.Scale)
	if s.Deployment == "chikugo" {
		plan = stager.Chikugo(s.Scale)
	}
	plan.Timing.NoticeMillis = 500
	return plan
}

// workload returns what arrives, with or without floods.
func (s *Scenario) workload(floods bool) loader.Workload {
	var workload loader.Workload
	if s.LoadScale > 0 {
		workload = loader.Brennan(s.Scale * s.LoadScale)
		if s.Deployment == "chikugo" {
			workload = loader.Chikugo(s.Scale * s.LoadScale)
		}
	}
	workload.Streams = append(workload.Streams, s.Streams...)
	workload.Jobs = append(workload.Jobs, s.Jobs...)
	if floods {
		workload.Streams = append(workload.Streams, s.Floods...)
	}
	return workload
}
