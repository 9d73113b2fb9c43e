package requester

import "github.com/cockroachdb/errors"

//go:generate go tool -modfile=../tools/go.mod stringer -type=Outcome -trimprefix=Outcome
//go:generate go tool -modfile=../tools/go.mod stringer -type=Reason -trimprefix=Reason -linecomment
//go:generate go tool -modfile=../tools/go.mod stringer -type=Urgency -trimprefix=Urgency

// Outcome is the final result of a request.
type Outcome int

// The closed set of outcomes.
const (
	// OutcomePending is the zero value: the request has not ended.
	OutcomePending Outcome = iota
	// OutcomeAnswered means that an endpoint has answered; the answer is
	// complete.
	OutcomeAnswered
	// OutcomeRefused means that a rule rejected the request. It was not run;
	// Reason names the rule.
	OutcomeRefused
	// OutcomeNotRun means that the request was not run and may be sent again.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run; sending it again
	// with a new RequestID may run it twice.
	OutcomeUnknown
	// OutcomeCancelled means that the caller withdrew the request before it
	// started.
	OutcomeCancelled
)

var outcomes = []Outcome{OutcomePending, OutcomeAnswered, OutcomeRefused, OutcomeNotRun, OutcomeUnknown, OutcomeCancelled}

// ProvesNotRun reports whether the outcome guarantees that the request did not
// run.
func (o Outcome) ProvesNotRun() bool {
	return o == OutcomeRefused || o == OutcomeNotRun || o == OutcomeCancelled
}

// MarshalText encodes the outcome as its name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText decodes the name of an outcome.
func (o *Outcome) UnmarshalText(text []byte) error {
	return unmarshalEnum(o, outcomes, "Outcome", text)
}

// Reason is why a request was refused, not run or not answered, or why a job
// failed.
type Reason int

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonInvalid means that a field is invalid, which Answer.Field names,
	// or that the endpoint rejected the request as invalid.
	ReasonInvalid
	// ReasonDeadline means that the call could not start before its deadline.
	ReasonDeadline
	// ReasonQueueFull means that the trade's queue has reached its bound.
	ReasonQueueFull
	// ReasonNoEndpoint means that no endpoint of the service is reachable.
	ReasonNoEndpoint
	// ReasonNoCoordinator means that the coordinator of the request is
	// unreachable. Its text, NoHome, is part of the interface.
	ReasonNoCoordinator // NoHome
	// ReasonNoWriteAhead means that the write-ahead record of the request
	// could not be stored. Its text, NoIntent, is part of the interface.
	ReasonNoWriteAhead // NoIntent
	// ReasonDraining means that the entry is shutting down.
	ReasonDraining
	// ReasonEndpointFailed means that the endpoint aborted the call.
	ReasonEndpointFailed
	// ReasonDuplicate means that there is an earlier attempt whose result is
	// not known here.
	ReasonDuplicate
	// ReasonQuota means that the trade's quota does not admit the request.
	ReasonQuota
	// ReasonTooLarge means that the request exceeds the capacity of every
	// host.
	ReasonTooLarge
	// ReasonRepeatedFailure means that the same failure occurred on several
	// hosts.
	ReasonRepeatedFailure
	// ReasonStoreDown means that the platform's table service is unavailable.
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

// Urgency is the priority of a request: a more urgent one starts first.
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

// enumValue is a value of an enumeration that is encoded as its name.
type enumValue interface {
	comparable
	String() string
}

// unmarshalEnum sets target to the element of values whose name is text.
func unmarshalEnum[T enumValue](target *T, values []T, field string, text []byte) error {
	for _, value := range values {
		if value.String() == string(text) {
			*target = value
			return nil
		}
	}
	return errors.WithStack(&FieldError{Field: field, Expected: "a defined name, not " + string(text)})
}
