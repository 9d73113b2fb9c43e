package tuner

import (
	"strings"

	"kumquatstall/requester"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Placement -trimprefix=Placement

//go:generate go tool -modfile=../tools/go.mod stringer -type=QueueOrder -trimprefix=Queue
//go:generate go tool -modfile=../tools/go.mod stringer -type=EndpointChoice -trimprefix=Choose

// QueueOrder tells in which order calls start that wait.
type QueueOrder int

// The orders.
const (
	// QueueFair shares slot time between trades and goes by urgency.
	QueueFair QueueOrder = iota
	// QueueFifo goes by arrival alone; a baseline to compare with.
	QueueFifo
)

// MarshalText encodes the order as its name.
func (o QueueOrder) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText decodes the name of an order.
func (o *QueueOrder) UnmarshalText(text []byte) error {
	return unmarshalName(o, text, "QueueOrder", QueueFair, QueueFifo)
}

// EndpointChoice tells which endpoint a call is given to.
type EndpointChoice int

// The choices.
const (
	// ChooseLeastLoaded takes the endpoint with the most free slots.
	ChooseLeastLoaded EndpointChoice = iota
	// ChooseRandom takes any endpoint with a free slot; a baseline.
	ChooseRandom
)

// MarshalText encodes the choice as its name.
func (c EndpointChoice) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText decodes the name of a choice.
func (c *EndpointChoice) UnmarshalText(text []byte) error {
	return unmarshalName(c, text, "EndpointChoice", ChooseLeastLoaded, ChooseRandom)
}

// unmarshalName sets target to the value of that name.
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

// Placement tells how tasks are laid over workers.
type Placement int

// The placements.
const (
	// PlacementPack fills workers one after the other.
	PlacementPack Placement = iota
	// PlacementSpread levels the load over workers.
	PlacementSpread
	// PlacementFirstFit takes the first worker with room; a baseline.
	PlacementFirstFit
)

// MarshalText encodes the placement as its name.
func (p Placement) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText decodes the name of a placement.
func (p *Placement) UnmarshalText(text []byte) error {
	return unmarshalName(p, text, "Placement", PlacementPack, PlacementSpread, PlacementFirstFit)
}

// Profile is a named policy that services pick.
type Profile struct {
	Name string
	// QueueBound bounds the calls of one trade that wait at one entry.
	QueueBound int
	// FloorLow and FloorNormal are the shares of a trade's slot time that
	// its less urgent calls keep while more urgent ones wait, 0 to 0.5.
	FloorLow    float64
	FloorNormal float64
	// ReserveShare bounds the share of an entry's slots that less urgent
	// calls leave free for more urgent ones, 0 to 0.5. How much of it is
	// kept follows what more urgent calls took of late.
	ReserveShare float64
	// Shedding refuses calls on arrival that can't start in time.
	Shedding bool
	// MaxAttempts bounds the executions of one idempotent call.
	MaxAttempts int
	// RetryBudget is the share of retries over first attempts, per trade.
	RetryBudget float64
	// BreakerFailures is the number of failures in a row that stops calls
	// to an endpoint or tasks to a worker; 0 never stops them.
	BreakerFailures int
	// BreakerMillis is how long an endpoint or worker rests before one
	// request tries it again, in milliseconds.
	BreakerMillis int64
	// QueueOrder tells in which order calls start that wait.
	QueueOrder QueueOrder
	// EndpointChoice tells which endpoint a call is given to.
	EndpointChoice EndpointChoice
	// Placement tells how tasks are laid over workers.
	Placement Placement
	// Headroom is the share of each worker that tasks leave free, 0 to 0.5.
	Headroom float64
	// TaskAttempts bounds the failing runs of one task.
	TaskAttempts int
	// WaitTargetMillis is the wait that calls should stay below, in
	// milliseconds.
	WaitTargetMillis int64
	// WaitTargetShare is the share of calls that should, 0 to 1.
	WaitTargetShare float64
}

// DefaultProfileName names the profile of services that pick none.
const DefaultProfileName = "default"

// DefaultProfile returns the profile that applies where none is configured.
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

// Validate checks the item; store resolves the names it refers to. The error
// is a *requester.FieldError.
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

// inRange is false for a value that is not a number.
func inRange(value, low, high float64) bool { return value >= low && value <= high }

// ServiceProfile returns the profile that a service runs under.
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

// TradeWeight returns the weight of a trade; 1 where it is not configured.
func (s *Store) TradeWeight(trade requester.Trade) float64 {
	if item, ok := s.Item(ItemID{Kind: ItemTrade, Name: string(trade)}); ok {
		return item.Trade.Weight
	}
	return 1
}

// TradeQuota returns the quota of a trade; zero dimensions are unbounded.
func (s *Store) TradeQuota(trade requester.Trade) requester.Resources {
	if item, ok := s.Item(ItemID{Kind: ItemTrade, Name: string(trade)}); ok {
		return item.Trade.Quota
	}
	return requester.Resources{}
}

// Knows reports whether any trade is configured, and whether this one is.
func (s *Store) AcceptsTrade(trade requester.Trade) bool {
	if len(s.Items(ItemTrade)) == 0 {
		return true
	}
	_, ok := s.Item(ItemID{Kind: ItemTrade, Name: string(trade)})
	return ok
}

// Leaving reports whether operators marked a host as leaving.
func (s *Store) Leaving(host requester.HostID) bool {
	item, ok := s.Item(ItemID{Kind: ItemDrainMark, Name: string(host)})
	return ok && item.Mark.Leaving
}
