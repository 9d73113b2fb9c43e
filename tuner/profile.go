package tuner

import (
	"strings"

	"kumquatstall/requester"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Placement -trimprefix=Placement

//go:generate go tool -modfile=../tools/go.mod stringer -type=QueueOrder -trimprefix=Queue
//go:generate go tool -modfile=../tools/go.mod stringer -type=EndpointChoice -trimprefix=Choose

// QueueOrder is the order in which queued calls are dispatched.
type QueueOrder int

// The queue orders.
const (
	// QueueFair shares slot time between trades in proportion to their weights
	// and orders the calls of a trade by urgency.
	QueueFair QueueOrder = iota
	// QueueFifo dispatches calls in the order of arrival; a baseline for
	// comparison.
	QueueFifo
)

// MarshalText encodes the order as its name.
func (o QueueOrder) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText decodes the name of an order.
func (o *QueueOrder) UnmarshalText(text []byte) error {
	return unmarshalName(o, text, "QueueOrder", QueueFair, QueueFifo)
}

// EndpointChoice is the load-balancing policy that selects the endpoint of a call.
type EndpointChoice int

// The load-balancing policies.
const (
	// ChooseLeastLoaded selects the endpoint with the most free slots.
	ChooseLeastLoaded EndpointChoice = iota
	// ChooseRandom selects a random endpoint with a free slot; a baseline for
	// comparison.
	ChooseRandom
)

// MarshalText encodes the choice as its name.
func (c EndpointChoice) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText decodes the name of a choice.
func (c *EndpointChoice) UnmarshalText(text []byte) error {
	return unmarshalName(c, text, "EndpointChoice", ChooseLeastLoaded, ChooseRandom)
}

// unmarshalName sets target to the one of values whose name is text. The error is
// a *requester.FieldError that lists the names.
func unmarshalName[T interface{ String() string }](target *T, text []byte, field string, values ...T) error {
	names := make([]string, len(values))
	for i, value := range values {
		if value.String() == string(text) {
			*target = value
			return nil
		}
		names[i] = value.String()
	}
	return &requester.FieldError{Field: field, Expected: "one of " + strings.Join(names, ", ")}
}

// Placement is the strategy by which tasks are assigned to workers.
type Placement int

// The placement strategies.
const (
	// PlacementPack fills workers one after the other (best fit).
	PlacementPack Placement = iota
	// PlacementSpread balances the load over the workers.
	PlacementSpread
	// PlacementFirstFit selects the first worker on which the task fits; a
	// baseline for comparison.
	PlacementFirstFit
)

// MarshalText encodes the placement as its name.
func (p Placement) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText decodes the name of a placement.
func (p *Placement) UnmarshalText(text []byte) error {
	return unmarshalName(p, text, "Placement", PlacementPack, PlacementSpread, PlacementFirstFit)
}

// Profile is a named set of scheduling parameters that services refer to. The
// placement of tasks follows the profile named DefaultProfileName.
type Profile struct {
	Name string
	// QueueBound is the maximum number of calls of one trade that wait at one
	// entry.
	QueueBound int
	// FloorLow and FloorNormal are the minimum shares of a trade's slot time
	// that its calls of that urgency get while more urgent ones wait, 0 to 0.5.
	FloorLow    float64
	FloorNormal float64
	// ReserveShare is the maximum share of an entry's slots that is reserved
	// for more urgent calls, 0 to 0.5. The share that is reserved at a time
	// follows the recent demand of more urgent calls.
	ReserveShare float64
	// Shedding enables load shedding: calls that are not expected to end before
	// their deadline are refused on arrival, or dropped from the queue while
	// others wait.
	Shedding bool
	// MaxAttempts is the maximum number of executions of one idempotent call.
	MaxAttempts int
	// RetryBudget is the ratio of retries to first attempts that each trade is
	// allowed.
	RetryBudget float64
	// BreakerFailures is the number of consecutive failures that opens the
	// circuit breaker of an endpoint or worker, so that it gets no calls or
	// tasks; 0 disables the breaker.
	BreakerFailures int
	// BreakerMillis is the cool-down of an open breaker in milliseconds, after
	// which one request probes the endpoint or worker.
	BreakerMillis int64
	// QueueOrder is the order in which queued calls are dispatched.
	QueueOrder QueueOrder
	// EndpointChoice is the load-balancing policy for calls.
	EndpointChoice EndpointChoice
	// Placement is the strategy by which tasks are assigned to workers.
	Placement Placement
	// Headroom is the share of each worker's processor time and memory that is
	// not allocated to new tasks, 0 to 0.5.
	Headroom float64
	// TaskAttempts is the number of failed runs of one task at which its job
	// fails. Replicas of services are retried without limit.
	TaskAttempts int
	// WaitTargetMillis and WaitTargetShare are the service level objective of
	// calls: the longest wait of a good call from its arrival to its start, in
	// milliseconds, and the share of calls that must be good, 0 to 1.
	WaitTargetMillis int64
	WaitTargetShare  float64
}

// DefaultProfileName is the name of the profile of services that have none
// configured.
const DefaultProfileName = "default"

// DefaultProfile returns the profile that applies if none is configured under the
// name DefaultProfileName.
func DefaultProfile() Profile {
	return Profile{
		Name:             DefaultProfileName,
		QueueBound:       2000,
		FloorLow:         0.05,
		FloorNormal:      0.15,
		ReserveShare:     0.25,
		Shedding:         true,
		MaxAttempts:      3,
		RetryBudget:      0.1,
		BreakerFailures:  5,
		BreakerMillis:    2000,
		Placement:        PlacementPack,
		TaskAttempts:     3,
		WaitTargetMillis: 250,
		WaitTargetShare:  0.99,
	}
}

// Validate checks the item. The profile that a service refers to must be in store
// or be the default one. The error is a *requester.FieldError.
func (i Item) Validate(store *Store) error {
	if err := requester.CheckName("Name", i.Name); err != nil {
		return err
	}
	if i.Deleted {
		return nil
	}
	switch i.Kind {
	case ItemProfile:
		if i.Profile == nil || i.Profile.Name != i.Name {
			return &requester.FieldError{Field: "Profile.Name", Expected: "the item's name " + i.Name}
		}
		return i.Profile.validate()
	case ItemTrade:
		if i.Trade == nil || string(i.Trade.Name) != i.Name {
			return &requester.FieldError{Field: "Trade.Name", Expected: "the item's name " + i.Name}
		}
		if !(i.Trade.Weight >= 0.01 && i.Trade.Weight <= 1000) {
			return &requester.FieldError{Field: "Trade.Weight", Expected: "a number between 0.01 and 1000"}
		}
		return nil
	case ItemService:
		return i.validateService(store)
	case ItemDrainMark:
		if i.Mark == nil || string(i.Mark.HostID) != i.Name {
			return &requester.FieldError{Field: "Mark.HostID", Expected: "the item's name " + i.Name}
		}
		return nil
	default:
		return &requester.FieldError{Field: "Kind", Expected: "one of Profile, Trade, Service, Mark"}
	}
}

func (i Item) validateService(store *Store) error {
	if i.Service == nil || string(i.Service.Name) != i.Name {
		return &requester.FieldError{Field: "Service.Name", Expected: "the item's name " + i.Name}
	}
	if i.Service.Profile == DefaultProfileName {
		return nil
	}
	if _, ok := store.Item(ItemID{Kind: ItemProfile, Name: i.Service.Profile}); !ok {
		return &requester.FieldError{Field: "Service.Profile", Expected: "the name of a profile"}
	}
	return nil
}

func (p *Profile) validate() error {
	checks := []struct {
		field    string
		expected string
		ok       bool
	}{
		{"Profile.QueueBound", "a count between 1 and 1000000", p.QueueBound >= 1 && p.QueueBound <= 1_000_000},
		{"Profile.FloorLow", "a share between 0 and 0.5", inRange(p.FloorLow, 0, 0.5)},
		{"Profile.FloorNormal", "a share between 0 and 0.5", inRange(p.FloorNormal, 0, 0.5)},
		{"Profile.ReserveShare", "a share between 0 and 0.5", inRange(p.ReserveShare, 0, 0.5)},
		{"Profile.MaxAttempts", "a count between 1 and 10", p.MaxAttempts >= 1 && p.MaxAttempts <= 10},
		{"Profile.RetryBudget", "a share between 0 and 1", inRange(p.RetryBudget, 0, 1)},
		{"Profile.BreakerFailures", "a count between 0 and 1000", p.BreakerFailures >= 0 && p.BreakerFailures <= 1000},
		{"Profile.BreakerMillis", "a number between 0 and 600000", p.BreakerMillis >= 0 && p.BreakerMillis <= 600_000},
		{"Profile.Headroom", "a share between 0 and 0.5", inRange(p.Headroom, 0, 0.5)},
		{"Profile.TaskAttempts", "a count between 1 and 100", p.TaskAttempts >= 1 && p.TaskAttempts <= 100},
		{"Profile.WaitTargetMillis", "a number between 1 and 86400000", p.WaitTargetMillis >= 1 && p.WaitTargetMillis <= 86_400_000},
		{"Profile.WaitTargetShare", "a share between 0 and 1", inRange(p.WaitTargetShare, 0, 1)},
	}
	for _, check := range checks {
		if !check.ok {
			return &requester.FieldError{Field: check.field, Expected: check.expected}
		}
	}
	return nil
}

// inRange reports whether value is between low and high. It is false for NaN.
func inRange(value, low, high float64) bool { return value >= low && value <= high }

// ServiceProfile returns the profile configured for a service, or the one named
// DefaultProfileName if none is. If no profile has that name, it returns
// DefaultProfile.
func (s *Store) ServiceProfile(service requester.Service) Profile {
	name := DefaultProfileName
	if item, ok := s.Item(ItemID{Kind: ItemService, Name: string(service)}); ok {
		name = item.Service.Profile
	}
	if item, ok := s.Item(ItemID{Kind: ItemProfile, Name: name}); ok {
		return *item.Profile
	}
	return DefaultProfile()
}

// TradeWeight returns the weight of a trade, which is 1 unless configured.
func (s *Store) TradeWeight(trade requester.Trade) float64 {
	if item, ok := s.Item(ItemID{Kind: ItemTrade, Name: string(trade)}); ok {
		return item.Trade.Weight
	}
	return 1
}

// TradeQuota returns the quota of a trade; a zero dimension means no limit.
func (s *Store) TradeQuota(trade requester.Trade) requester.Resources {
	if item, ok := s.Item(ItemID{Kind: ItemTrade, Name: string(trade)}); ok {
		return item.Trade.Quota
	}
	return requester.Resources{}
}

// AcceptsTrade reports whether requests of a trade are accepted: if it is
// configured, or if no trade is.
func (s *Store) AcceptsTrade(trade requester.Trade) bool {
	if len(s.Items(ItemTrade)) == 0 {
		return true
	}
	_, ok := s.Item(ItemID{Kind: ItemTrade, Name: string(trade)})
	return ok
}

// Leaving reports whether a host has a drain mark that is in force.
func (s *Store) Leaving(host requester.HostID) bool {
	item, ok := s.Item(ItemID{Kind: ItemDrainMark, Name: string(host)})
	return ok && item.Mark.Leaving
}
