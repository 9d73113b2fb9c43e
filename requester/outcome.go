package requester

import "github.com/cockroachdb/errors"

//go:generate go tool -modfile=../tools/go.mod stringer -type=Outcome -trimprefix=Outcome
//go:generate go tool -modfile=../tools/go.mod stringer -type=Reason -trimprefix=Reason -linecomment
//go:generate go tool -modfile=../tools/go.mod stringer -type=Urgency -trimprefix=Urgency

// Outcome is how a request ended.
type Outcome int

// The closed set of outcomes.
const (
	// OutcomePending is the zero value: the request has not ended.
	OutcomePending Outcome = iota
	// OutcomeAnswered carries the whole answer of an endpoint.
	OutcomeAnswered
	// OutcomeRefused tells that the request was turned away by a rule; it
	// was not run and Reason tells why.
	OutcomeRefused
	// OutcomeNotRun tells that the request was not run and may be sent again.
	OutcomeNotRun
	// OutcomeUnknown tells that the request may have run; sending it again
	// with a new RequestID may run it twice.
	OutcomeUnknown
	// OutcomeCancelled tells that the caller withdrew the request before it
	// started.
	OutcomeCancelled
)

var outcomes = []Outcome{OutcomePending, OutcomeAnswered, OutcomeRefused, OutcomeNotRun, OutcomeUnknown, OutcomeCancelled}

// ProvesNotRun reports whether the outcome promises that nothing ran.
func (o Outcome) ProvesNotRun() bool {
	return o == OutcomeRefused || o == OutcomeNotRun || o == OutcomeCancelled
}

// MarshalText encodes the outcome as its name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText decodes the name of an outcome.
func (o *Outcome) UnmarshalText(text []byte) error {
	return unmarshalEnum(o, outcomes, "Outcome", text)
}

// Reason tells why a request was refused or not run.
type Reason int

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonInvalid tells that a field is wrong; Detail names it.
	ReasonInvalid
	// ReasonDeadline tells that the call could not start before its deadline.
	ReasonDeadline
	// ReasonQueueFull tells that the trade's queue is at its bound.
	ReasonQueueFull
	// ReasonNoEndpoint tells that no endpoint of the service is reachable.
	ReasonNoEndpoint
	// ReasonNoCoordinator tells that the entry which arbitrates the request cannot
	// be reached.
	ReasonNoCoordinator // NoHome
	// ReasonNoWriteAhead tells that the intent to run could not be recorded.
	ReasonNoWriteAhead // NoIntent
	// ReasonDraining tells that the entry is shutting down.
	ReasonDraining
	// ReasonEndpointFailed tells that the endpoint broke off the call.
	ReasonEndpointFailed
	// ReasonDuplicate tells that an earlier attempt exists whose result is
	// not known here.
	ReasonDuplicate
	// ReasonQuota tells that the trade's quota does not allow the request.
	ReasonQuota
	// ReasonTooLarge tells that no host could ever hold the request.
	ReasonTooLarge
	// ReasonRepeatedFailure tells that the same failure occurred on several
	// hosts.
	ReasonRepeatedFailure
	// ReasonStoreDown tells that the platform's table service is unreachable.
	ReasonStoreDown
)

var reasons = []Reason{
	ReasonNone, ReasonInvalid, ReasonDeadline, ReasonQueueFull, ReasonNoEndpoint, ReasonNoCoordinator, ReasonNoWriteAhead,
	ReasonDraining, ReasonEndpointFailed, ReasonDuplicate, ReasonQuota, ReasonTooLarge, ReasonRepeatedFailure,
	ReasonStoreDown,
}

// MarshalText encodes the reason as its name.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText decodes the name of a reason.
func (r *Reason) UnmarshalText(text []byte) error { return unmarshalEnum(r, reasons, "Reason", text) }

// Urgency orders requests: a more urgent one starts first.
type Urgency int

// The urgencies, from least to most urgent.
const (
	UrgencyLow Urgency = iota
	UrgencyNormal
	UrgencyUrgent
)

// UrgencyCount is the number of urgencies.
const UrgencyCount = 3

var urgencies = []Urgency{UrgencyLow, UrgencyNormal, UrgencyUrgent}

// Valid reports whether u is one of the defined urgencies.
func (u Urgency) Valid() bool { return u >= UrgencyLow && u <= UrgencyUrgent }

// MarshalText encodes the urgency as its name.
func (u Urgency) MarshalText() ([]byte, error) { return []byte(u.String()), nil }

// UnmarshalText decodes the name of an urgency.
func (u *Urgency) UnmarshalText(text []byte) error {
	return unmarshalEnum(u, urgencies, "Urgency", text)
}

type named interface {
	comparable
	String() string
}

// unmarshalEnum sets target to the member of values whose name is text.
func unmarshalEnum[T named](target *T, values []T, field string, text []byte) error {
	for _, value := range values {
		if value.String() == string(text) {
			*target = value
			return nil
		}
	}
	return errors.WithStack(&FieldError{Field: field, Expected: "a defined name, not " + string(text)})
}
