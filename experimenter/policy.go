package experimenter

import (
	"slices"

	"github.com/cockroachdb/errors"

	"kumquatstall/tuner"
)

// Policy is a named profile under which a scenario is run.
type Policy struct {
	Name    string
	Profile tuner.Profile
	// WithoutFloods leaves the scenario's floods out, as a baseline.
	WithoutFloods bool
}

// policies lists the policies as changes to the default profile.
var policies = []struct {
	name   string
	change func(*Policy)
}{
	{"default", func(*Policy) {}},
	{"without-floods", func(p *Policy) { p.WithoutFloods = true }},
	{"fifo", func(p *Policy) { p.Profile.QueueOrder = tuner.QueueFifo }},
	{"random", func(p *Policy) { p.Profile.EndpointChoice = tuner.ChooseRandom }},
	{"first-fit", func(p *Policy) { p.Profile.Placement = tuner.PlacementFirstFit }},
	{"spread", func(p *Policy) { p.Profile.Placement = tuner.PlacementSpread }},
	{"no-breakers", func(p *Policy) { p.Profile.BreakerFailures = 0 }},
	{"no-shedding", func(p *Policy) { p.Profile.Shedding = false }},
	{"no-retries", func(p *Policy) { p.Profile.MaxAttempts = 1 }},
	{"free-retries", func(p *Policy) { p.Profile.RetryBudget = 1; p.Profile.MaxAttempts = 10 }},
	{"no-reserve", func(p *Policy) { p.Profile.ReserveShare = 0 }},
	{"no-floors", func(p *Policy) { p.Profile.FloorLow, p.Profile.FloorNormal = 0, 0 }},
}

// PolicyNames returns the names of all policies.
func PolicyNames() []string {
	names := make([]string, len(policies))
	for i, policy := range policies {
		names[i] = policy.name
	}
	return names
}

// FindPolicy returns the policy with the given name.
func FindPolicy(name string) (Policy, error) {
	i := slices.IndexFunc(policies, func(p struct {
		name   string
		change func(*Policy)
	}) bool {
		return p.name == name
	})
	if i < 0 {
		return Policy{}, errors.Newf("policy %q: expected one of %v", name, PolicyNames())
	}
	policy := Policy{Name: name, Profile: tuner.DefaultProfile()}
	policies[i].change(&policy)
	return policy, nil
}
