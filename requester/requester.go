// Package requester defines the requests that callers send to the scheduler
// and their results: calls, jobs, resources, outcomes and reasons.
//
// It is the lowest layer of the module: all other packages may use its types,
// and it imports none of them.
//
// A call is one request to one instance (an endpoint) of a service. A job is a
// set of tasks that run on workers: a batch, a gang whose tasks must all run
// at once, or a long-running service whose replicas are kept running. Each
// request ends with exactly one Outcome of a closed set.
package requester

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Identifiers. Each is an opaque, non-empty name assigned outside this module.
type (
	// DataCentre names a data centre.
	DataCentre string
	// Trade names a customer, the tenant of the scheduler: a group of users
	// with its own weight and quota.
	Trade string
	// Service names a set of interchangeable endpoints.
	Service string
	// Kind names a class of calls or tasks of similar cost.
	Kind string
	// EntryID names an entry host of the scheduler.
	EntryID string
	// HostID names a worker or an endpoint host.
	HostID string
	// RequestID names one request; every attempt of the request carries it.
	RequestID string
	// JobID names one job.
	JobID string
)

// MaxNameLength bounds every identifier, in bytes.
const MaxNameLength = 128

// Call is one request to a service.
type Call struct {
	RequestID RequestID
	Trade     Trade
	Service   Service
	Kind      Kind
	Urgency   Urgency
	// Idempotent is true if the call may safely run more than once.
	Idempotent bool
	// Exclusive is true if the call must never run in two places at once.
	Exclusive bool
	// Deadline is the time after which the caller has no use for an answer.
	Deadline time.Time
	// Attempt is the number of the caller's own attempt, from 1.
	Attempt int
	// DataCentre, if set, is the data centre of the request's coordinator.
	// Every attempt must name the same one.
	DataCentre DataCentre `json:",omitempty" cbor:",omitempty"`
	Payload    []byte     `json:",omitempty" cbor:",omitempty"`
}

// NeedsCoordinator reports whether all attempts of the call must be
// deduplicated by one entry, because a second execution would do harm.
func (c *Call) NeedsCoordinator() bool { return !c.Idempotent || c.Exclusive }

// Validate checks the call at time now; its deadline must not be after
// latestDeadline. The error is a *FieldError.
func (c *Call) Validate(now time.Time, latestDeadline time.Time) error {
	if err := CheckName("RequestID", string(c.RequestID)); err != nil {
		return err
	}
	if err := CheckName("Trade", string(c.Trade)); err != nil {
		return err
	}
	if err := CheckName("Service", string(c.Service)); err != nil {
		return err
	}
	if err := CheckName("Kind", string(c.Kind)); err != nil {
		return err
	}
	if !c.Urgency.Valid() {
		return &FieldError{Field: "Urgency", Expected: "one of Low, Normal, Urgent"}
	}
	if c.Attempt < 1 {
		return &FieldError{Field: "Attempt", Expected: "a count of at least 1"}
	}
	if c.Deadline.IsZero() {
		return &FieldError{Field: "Deadline", Expected: "an RFC 3339 time"}
	}
	if !c.Deadline.After(now) {
		return &FieldError{Field: "Deadline", Expected: "a time that has not passed"}
	}
	if c.Deadline.After(latestDeadline) {
		return &FieldError{Field: "Deadline", Expected: "a time before " + latestDeadline.UTC().Format(time.RFC3339)}
	}
	return nil
}

// Answer is the result of a call as it is returned to the caller.
type Answer struct {
	RequestID RequestID
	Outcome   Outcome
	Reason    Reason `json:",omitempty" cbor:",omitempty"`
	// Field names the invalid field if Reason is ReasonInvalid; Detail then
	// describes the expected value.
	Field   string `json:",omitempty" cbor:",omitempty"`
	Detail  string `json:",omitempty" cbor:",omitempty"`
	Payload []byte `json:",omitempty" cbor:",omitempty"`
	// ServedBy is the endpoint of the last execution, which gave the answer if
	// there is one.
	ServedBy HostID `json:",omitempty" cbor:",omitempty"`
	// StartedAt is when the last execution was dispatched to the endpoint.
	StartedAt time.Time `json:",omitzero" cbor:",omitempty"`
	// Attempts is the number of executions that the scheduler started.
	Attempts int `json:",omitempty" cbor:",omitempty"`
}

// FieldError reports an invalid field of a request and the expected value.
type FieldError struct {
	Field    string
	Expected string
}

func (e *FieldError) Error() string { return e.Field + ": expected " + e.Expected }

// AsFieldError returns the *FieldError in err's chain, or nil.
func AsFieldError(err error) *FieldError {
	var fieldError *FieldError
	if errors.As(err, &fieldError) {
		return fieldError
	}
	return nil
}

// CheckName checks that an identifier is not empty, not longer than
// MaxNameLength, and printable ASCII without spaces or slashes. The error is a
// *FieldError.
func CheckName(field, value string) error {
	if value == "" {
		return &FieldError{Field: field, Expected: "a name"}
	}
	if len(value) > MaxNameLength {
		return &FieldError{Field: field, Expected: "a name of at most 128 bytes"}
	}
	for i := range len(value) {
		b := value[i]
		if b <= ' ' || b > '~' || b == '/' {
			return &FieldError{Field: field, Expected: "printable ASCII without spaces or '/'"}
		}
	}
	return nil
}
