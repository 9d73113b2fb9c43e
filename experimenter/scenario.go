// Package experimenter runs scenarios under policies and compares the results.
//
// A Scenario specifies a deployment, its size, the load and the faults to
// inject. A Policy is a profile to put in force. Execute starts a new deployment
// of real entries over loopback, with stand-ins for the table service, endpoints
// and workers, generates the load, shuts the deployment down, audits it and
// returns the result as a Run. A Report holds the runs of a scenario under
// several policies.
//
// All runs of a report draw the load from the same seed. Their results therefore
// differ only because of the policies and of variation in timing.
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

// Kinds of faults, with the meaning of Fault.Value for each.
const (
	// FaultStoreDown makes the table service unavailable.
	FaultStoreDown FaultKind = "StoreDown"
	// FaultStoreSlow delays each request to the table by Value ms.
	FaultStoreSlow FaultKind = "StoreSlow"
	// FaultLostAnswers drops the response to every Value-th transaction after
	// the table has applied it.
	FaultLostAnswers FaultKind = "LostAnswers"
	// FaultBlackHoleWorkers makes Value workers fail every task as soon as it
	// starts.
	FaultBlackHoleWorkers FaultKind = "BlackHoleWorkers"
	// FaultFailingEndpoints makes Value endpoints fail every call.
	FaultFailingEndpoints FaultKind = "FailingEndpoints"
	// FaultSlowEndpoints makes calls take ten times as long at Value endpoints.
	FaultSlowEndpoints FaultKind = "SlowEndpoints"
	// FaultKillEntries stops Value entries without graceful shutdown.
	FaultKillEntries FaultKind = "KillEntries"
	// FaultReplaceEntries shuts Value entries down gracefully, one after the
	// other, and starts a new entry for each.
	FaultReplaceEntries FaultKind = "ReplaceEntries"
	// FaultCancelJobs cancels all jobs accepted so far.
	FaultCancelJobs FaultKind = "CancelJobs"
)

var faultKinds = []FaultKind{
	FaultStoreDown, FaultStoreSlow, FaultLostAnswers, FaultBlackHoleWorkers, FaultFailingEndpoints, FaultSlowEndpoints, FaultKillEntries,
	FaultReplaceEntries, FaultCancelJobs,
}

// Fault is a fault that a scenario injects.
type Fault struct {
	Kind FaultKind `yaml:"Kind"`
	// The fault begins AtMillis after the start of the run and lasts for
	// ForMillis. Faults that stop or replace entries or cancel jobs ignore
	// ForMillis.
	AtMillis  int64 `yaml:"AtMillis"`
	ForMillis int64 `yaml:"ForMillis"`
	Value     int64 `yaml:"Value"`
}

// Scenario specifies a run.
type Scenario struct {
	Name string `yaml:"Name"`
	// Deployment is chikugo or brennan.
	Deployment string `yaml:"Deployment"`
	// Scale is the number of endpoints and workers of the deployment as a share
	// of those at full size, above 0 and at most 1.
	Scale float64 `yaml:"Scale"`
	// Seconds is how long load is generated.
	Seconds int64 `yaml:"Seconds"`
	// LoadScale is the load of the deployment's mixed workload, relative to the
	// load that is proportional to Scale. 0 leaves that workload out.
	LoadScale float64 `yaml:"LoadScale"`
	// Streams, Floods and Jobs are added to the mixed workload.
	Streams []loader.Stream `yaml:"Streams"`
	// Floods are overload streams, which the policy without-floods leaves out.
	Floods []loader.Stream    `yaml:"Floods"`
	Jobs   []loader.JobStream `yaml:"Jobs"`
	Faults []Fault            `yaml:"Faults"`
}

// LoadScenario reads a scenario from a YAML file and checks it.
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
		{"Seconds", "a number between 1 and 600", s.Seconds >= 1 && s.Seconds <= 600},
		{"LoadScale", "a factor between 0 and 10", s.LoadScale >= 0 && s.LoadScale <= 10},
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
			{key + "Value", "a number of at least 0", fault.Value >= 0},
		}...)
	}
	for _, check := range checks {
		if !check.ok {
			return errors.Newf("%s: expected %s", check.key, check.expected)
		}
	}
	return nil
}

// plan returns the plan of the deployment that the scenario runs on.
func (s *Scenario) plan() stager.Plan {
	plan := stager.Brennan(s.Scale)
	if s.Deployment == "chikugo" {
		plan = stager.Chikugo(s.Scale)
	}
	plan.Timing.NoticeMillis = 500
	return plan
}

// workload returns the scenario's workload, with or without floods.
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
