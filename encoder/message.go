// Package encoder defines the messages that entries exchange over links and
// their encoding.
//
// A message is sent as one binary WebSocket message: a CBOR array of the number
// of the message's kind and its body. The body is a CBOR map whose keys are the
// field names of the Go type, so a field can't be renamed without a tag that
// keeps its key; structs tagged toarray are arrays of their fields in order.
//
// Links may lose messages. A reply with an ID repeats the ID of its request.
// The other replies are matched by their content: a GrantReply by its round, a
// ReplicaList by its shard, a ConfigUpdate by its revisions, a StopReply by the number of the
// batch. Hello and Proof are
// the handshake. All remaining messages are notifications, which have no reply.
//
// The times in heartbeats, calls and answers are on the sender's clock. The
// receiver converts those of calls and answers by the clock offset that it has
// estimated from heartbeats.
package encoder

import (
	"net/netip"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/leaser"
	"kumquatstall/recorder"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
	"kumquatstall/tuner"
)

// Message is a message that one entry sends to another.
type Message interface{ kind() kind }

// Hello is the first message that each side sends on a link. Challenge is
// random; the other side must respond to it with a Proof.
type Hello struct {
	EntryID     requester.EntryID
	DataCentre  requester.DataCentre
	Incarnation int64
	Address     netip.AddrPort
	Challenge   []byte
}

// Proof responds to the challenge of a Hello. Package linker defines the MAC,
// which proves that the sender knows the shared key.
type Proof struct {
	MAC []byte
}

// ServiceLoad reports the load of the endpoints of a service that the sender
// owns.
type ServiceLoad struct {
	Service requester.Service
	Slots   int
	Free    int
	// WaitMicros is the expected queueing time of a call that arrives now.
	WaitMicros int64
}

// Heartbeat reports the state of an entry. It is sent over every link at a
// fixed interval, and at once when the link opens, when the shards that the
// sender holds or its configuration have changed, when it has released a shard
// and when it starts a graceful shutdown. The receiver derives the round-trip
// time and the clock offset of the sender from SentAt and the echo.
type Heartbeat struct {
	// SentAt is the time of sending on the sender's clock.
	SentAt time.Time
	// EchoSentAt is the SentAt of the last heartbeat that the sender has
	// received on the link; EchoHeldMicros is the time since it arrived.
	EchoSentAt     time.Time
	EchoHeldMicros int64
	// Holdings are the shards that the sender holds.
	Holdings []leaser.ShardLease
	Loads    []ServiceLoad
	// ConfigHead is the latest revision of the sender's configuration. A
	// receiver with an older one responds with a ConfigRequest.
	ConfigHead int64
	// StoreDown is true if the sender considers the table unavailable.
	StoreDown bool
	// Leaving is true if the sender releases its shards in a graceful shutdown.
	Leaving bool
	// Vacated counts the shards that the sender has released since it started.
	// When it changes, the receiver reads the table at once instead of waiting
	// for its next periodic read.
	Vacated int64
	// MayClaim is true if the sender could acquire a vacant shard now.
	MayClaim bool
}

// PeerInfo identifies an entry and the address of its links.
type PeerInfo struct {
	EntryID    requester.EntryID
	DataCentre requester.DataCentre
	Address    netip.AddrPort
}

// PeerList lists the entries that the sender knows. Each side sends it when a
// link opens; the receiver dials the entries that it did not know.
type PeerList struct {
	Peers []PeerInfo
}

// Hop is the role in which the receiver handles a forwarded call.
type Hop int

// The hops.
const (
	// HopCoordinator addresses the holder of the request's coordinator shard,
	// which deduplicates the attempts of the request.
	HopCoordinator Hop = iota
	// HopExecutor addresses an entry that owns endpoints of the call's
	// service, which runs the call on one of them.
	HopExecutor
)

// CallForward forwards a call to another entry, which replies with a CallReply.
type CallForward struct {
	ID   uint64
	Hop  Hop
	Call requester.Call
	// Again is true if the call was forwarded to another entry before, which
	// may have run it.
	Again bool
}

// CallReply is the reply to a CallForward. NotHere is true if the sender of the
// reply can't act in the requested role and has not started the call.
type CallReply struct {
	ID      uint64
	NotHere bool
	Answer  requester.Answer
}

// CallCancel cancels the CallForward with the same ID.
type CallCancel struct {
	ID uint64
}

// ConfigUpdate propagates changes of the configuration.
type ConfigUpdate struct {
	Update tuner.Update
}

// ConfigRequest requests a ConfigUpdate with the changes of the configuration
// after revision Since.
type ConfigRequest struct {
	Since int64
}

// GrantRequest carries a leaser.GrantRequest.
type GrantRequest struct {
	Request leaser.GrantRequest
}

// GrantReply carries a leaser.GrantReply.
type GrantReply struct {
	Reply leaser.GrantReply
}

// RelayRequest asks another entry to run a transaction on the table for the
// sender, which can't reach the table. DeadlineMicros is the remaining time for
// the transaction; it is not a point in time, since the entries' clocks differ.
type RelayRequest struct {
	ID             uint64
	Transaction    keeper.Transaction
	DeadlineMicros int64
}

// RelayReply is the reply to a RelayRequest.
type RelayReply struct {
	ID     uint64
	Result keeper.TransactResult
	// Failed is true if there is no result. The transaction may have committed
	// nevertheless.
	Failed bool
}

// ReplicateRequest asks another entry to keep an in-memory replica of the
// write-ahead record of a request.
type ReplicateRequest struct {
	ID        uint64
	RequestID requester.RequestID
}

// ReplicateReply is the reply to a ReplicateRequest. Granted is false if the
// receiver already keeps a replica of the request for another coordinator, so
// that the request is a duplicate.
type ReplicateReply struct {
	ID      uint64
	Granted bool
}

// ReplicaFetch requests the replicas of the write-ahead records of a shard's
// requests. The sender is the new coordinator, which holds the shard at Epoch.
type ReplicaFetch struct {
	Seat  leaser.Shard
	Epoch int64
}

// ReplicaList is the reply to a ReplicaFetch. RequestIDs are the requests of
// which the sender keeps a replica.
type ReplicaList struct {
	Seat leaser.Shard
	// Epoch is that of the fetch. What the list proves, it proves to the coordinator
	// of that epoch only.
	Epoch      int64
	RequestIDs []requester.RequestID
	// Outage is true if the sender knows of a store outage within the retention
	// of ended requests. Watched is true if the sender has run for longer than
	// the retention, so that the absence of Outage is conclusive.
	Outage  bool
	Watched bool
	// Complete is true if the sender was the coordinator at the previous epoch
	// and Ended contains every request within the retention that it or an
	// earlier coordinator ran.
	Complete bool
	Ended    []recorder.EndedRequest `cbor:",omitempty"`
}

// JobAction is the operation that a JobRequest requests.
type JobAction int

// The job actions. JobList and WorkerList return all jobs or workers of the data
// centre.
const (
	JobSubmit JobAction = iota
	JobCancel
	JobStatus
	JobList
	WorkerList
)

// JobRequest requests an operation on the jobs or workers of a data centre from
// the holder of its placement shard. Job is the job to submit; in other actions
// it identifies the data centre and, unless a list is requested, the job.
type JobRequest struct {
	ID     uint64
	Action JobAction
	Job    requester.Job
}

// JobReply is the reply to a JobRequest. Jobs contains the status of the one job
// of the request, or of all jobs in a JobList.
type JobReply struct {
	ID      uint64
	Problem Problem
	Jobs    []requester.JobStatus `cbor:",omitempty"`
	Workers []WorkerView          `cbor:",omitempty"`
}

// AdviceRequest is sent by the owner of a cell. It asks another entry to request
// advice on the owner's behalf: which of Workers may run Step.
type AdviceRequest struct {
	ID      uint64
	Step    scheduler.StepName
	Workers []requester.HostID
}

// AdviceReply is the reply to an AdviceRequest. Allowed has a ticket for each
// worker that may run the step. Failed is true if the advice service gave no
// valid response.
type AdviceReply struct {
	ID      uint64
	Allowed []scheduler.Ticket `cbor:",omitempty"`
	Failed  bool               `cbor:",omitempty"`
}

// EntryCapacity reports the processor capacity of an entry to the owner of a
// cell, which prefers the entry with the most cores as its successor.
type EntryCapacity struct {
	// Cores is the number of processor cores available to the entry. A
	// draining entry reports 0, which excludes it as the successor.
	Cores float64
	// SendsStops is true if the entry takes a StopRequest. Earlier versions don't know that
	// message, and close the link on which they receive one.
	SendsStops bool `cbor:",omitempty"`
}

// StopRequest is sent by the owner of a cell. It asks another entry to send a batch of stops to
// a worker.
type StopRequest struct {
	Batch scheduler.StopBatch
	// RemainingMicros is the time that is left for sending them; it is not a point in time,
	// since the entries' clocks differ.
	RemainingMicros int64
}

// StopReply is the reply to a StopRequest with the same number.
type StopReply struct {
	Number int64
	// Results are in the order of the batch's runs. If there are fewer, nothing is known of the
	// others.
	Results []scheduler.OrderResult
}

// JobStored notifies the owner of a cell that another entry has committed a job
// or the cancellation of a job. The owner also watches the store, so the loss of
// the message only delays when it applies the change.
type JobStored struct {
	Job scheduler.Job
	// Cancelled is the job whose cancellation is committed. If it is set, Job
	// is empty.
	Cancelled requester.JobID `cbor:",omitempty"`
}

// StatesStored notifies the other entries of the job states that the owner of a
// cell has committed. They also watch the store, so the loss of the message only
// delays when they apply the states.
type StatesStored struct {
	// Revision is the store revision of the rows.
	Revision int64
	States   []StoredState
}

// StoredState is the committed row of a job's state, with the row's key.
type StoredState struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
}

// WorkerView is the state of a worker as reported to operators. Taken is the
// part of Total that is allocated to its Tasks tasks; Breaker is the state of its
// circuit breaker. Leaving is true if the host is leaving according to the
// platform's host list or an operator's drain mark.
type WorkerView struct {
	HostID  requester.HostID
	Rack    string
	Total   requester.Resources
	Taken   requester.Resources
	Tasks   int
	Breaker string
	Leaving bool
}

// Problem describes why a caller's or operator's request failed. Field is the
// field at fault and Expected what was expected there; they are empty if no
// field is at fault. The zero value means success.
type Problem struct {
	Code     ProblemCode
	Field    string `json:",omitempty" cbor:",omitempty"`
	Expected string `json:",omitempty" cbor:",omitempty"`
}

//go:generate go tool -modfile=../tools/go.mod stringer -type=ProblemCode -trimprefix=Problem

// ProblemCode is the kind of a Problem.
type ProblemCode int

// The problem codes.
const (
	ProblemNone ProblemCode = iota
	ProblemInvalid
	ProblemNotFound
	ProblemConflict
	// ProblemUnavailable means that the request had no effect and may be
	// retried.
	ProblemUnavailable
	// ProblemUnknown means that the outcome is unknown: the request may have
	// taken effect.
	ProblemUnknown
	ProblemUnauthorized
	ProblemForbidden
	ProblemTooLarge
)

// MarshalText encodes the code as its name.
func (c ProblemCode) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText decodes the name of a code.
func (c *ProblemCode) UnmarshalText(text []byte) error {
	for code := ProblemNone; code <= ProblemTooLarge; code++ {
		if code.String() == string(text) {
			*c = code
			return nil
		}
	}
	return &requester.FieldError{Field: "Code", Expected: "the name of a problem code"}
}
