// Package encoder defines the messages between entries and their encoding.
//
// A message travels as one binary WebSocket frame: a CBOR array of the
// message's kind and its body. Field names are those of the Go types.
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

// Message is a message between entries.
type Message interface{ kind() kind }

// Hello is the first message of each side of a link. Proof shows knowledge of
// the shared key for the other side's challenge.
type Hello struct {
	EntryID     requester.EntryID
	DataCentre  requester.DataCentre
	Incarnation int64
	Address     netip.AddrPort
	Challenge   []byte
}

// Proof answers the challenge of a Hello.
type Proof struct {
	MAC []byte
}

// ServiceLoad tells how busy the sender's endpoints of a service are.
type ServiceLoad struct {
	Service requester.Service
	Slots   int
	Free    int
	// WaitMicros is the expected wait of a call that arrives now.
	WaitMicros int64
}

// Heartbeat is sent at a fixed interval over every link.
type Heartbeat struct {
	// SentAt is by the sender's clock.
	SentAt time.Time
	// EchoSentAt is the SentAt of the last heartbeat received; EchoHeldMicros
	// is how long ago it arrived.
	EchoSentAt     time.Time
	EchoHeldMicros int64
	Holdings       []leaser.ShardLease
	Loads          []ServiceLoad
	ConfigHead     int64
	StoreDown      bool
	Leaving        bool
	// Vacated counts the seats that the sender has left for others to claim.
	Vacated int64
	// MayClaim tells that the sender could take a vacant seat.
	MayClaim bool
}

// PeerInfo tells where an entry is.
type PeerInfo struct {
	EntryID    requester.EntryID
	DataCentre requester.DataCentre
	Address    netip.AddrPort
}

// PeerList tells the other side which entries the sender knows.
type PeerList struct {
	Peers []PeerInfo
}

// Hop tells what the receiver of a forwarded call is to do.
type Hop int

// The hops.
const (
	// HopCoordinator asks the holder of the request's home seat.
	HopCoordinator Hop = iota
	// HopExecutor asks an owner of endpoints.
	HopExecutor
)

// CallForward hands a call to another entry.
type CallForward struct {
	ID   uint64
	Hop  Hop
	Call requester.Call
	// Again tells that the call may have been forwarded before.
	Again bool
}

// CallReply answers a CallForward. NotHere tells that the receiver can't do
// what was asked and has done nothing.
type CallReply struct {
	ID      uint64
	NotHere bool
	Answer  requester.Answer
}

// CallCancel withdraws a CallForward.
type CallCancel struct {
	ID uint64
}

// ConfigUpdate carries changes of configuration.
type ConfigUpdate struct {
	Update tuner.Update
}

// ConfigRequest asks for the changes after a revision.
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

// RelayRequest asks another entry to run a transaction for the sender.
type RelayRequest struct {
	ID             uint64
	Transaction    keeper.Transaction
	DeadlineMicros int64
}

// RelayReply answers a RelayRequest.
type RelayReply struct {
	ID     uint64
	Result keeper.TransactResult
	// Failed tells that the transaction's fate is not known.
	Failed bool
}

// ReplicateRequest asks another entry to remember an intent.
type ReplicateRequest struct {
	ID        uint64
	RequestID requester.RequestID
}

// ReplicateReply answers a ReplicateRequest.
type ReplicateReply struct {
	ID      uint64
	Granted bool
}

// ReplicaFetch asks for what is remembered of a seat's requests by a new home
// that holds the seat at Epoch.
type ReplicaFetch struct {
	Seat  leaser.Shard
	Epoch int64
}

// ReplicaList answers a ReplicaFetch.
type ReplicaList struct {
	Seat       leaser.Shard
	RequestIDs []requester.RequestID
	// Outage tells that the sender has known of a store outage recently;
	// Watched that it has run for long enough to know.
	Outage  bool
	Watched bool
	// Complete tells that the sender was the home at the epoch before, and
	// that Ended holds every request that it, or an earlier home, ran.
	Complete bool
	Ended    []recorder.EndedRequest `cbor:",omitempty"`
}

// JobAction tells what a JobRequest asks for.
type JobAction int

// The job actions.
const (
	JobSubmit JobAction = iota
	JobCancel
	JobStatus
	JobList
	WorkerList
)

// JobRequest asks the holder of a placement seat about jobs.
type JobRequest struct {
	ID     uint64
	Action JobAction
	Job    requester.Job
}

// JobReply answers a JobRequest.
type JobReply struct {
	ID      uint64
	Problem Problem
	Jobs    []requester.JobStatus `cbor:",omitempty"`
	Workers []WorkerView          `cbor:",omitempty"`
}

// AdviceRequest asks an entry to ask which workers may run a step.
type AdviceRequest struct {
	ID      uint64
	Step    scheduler.StepName
	Workers []requester.HostID
}

// AdviceReply answers an AdviceRequest.
type AdviceReply struct {
	ID      uint64
	Allowed []scheduler.Ticket `cbor:",omitempty"`
	Failed  bool               `cbor:",omitempty"`
}

// EntryCapacity tells the owner of a cell how strong an entry's host is.
type EntryCapacity struct {
	// Cores is what the entry gets of processors.
	Cores float64
}

// JobStored tells the owner of a cell of a job that has just been stored, or
// of the cancelling of one.
type JobStored struct {
	Job scheduler.Job
	// Cancelled is the job whose cancelling is stored, if it is that.
	Cancelled requester.JobID `cbor:",omitempty"`
}

// StatesStored tells entries of states of jobs that have just been stored.
type StatesStored struct {
	// Revision is that of the rows.
	Revision int64
	States   []StoredState
}

// StoredState is the row of one job's state.
type StoredState struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
}

// WorkerView is what operators see of a worker.
type WorkerView struct {
	HostID  requester.HostID
	Rack    string
	Total   requester.Resources
	Taken   requester.Resources
	Tasks   int
	Breaker string
	Leaving bool
}

// Problem tells why a request of an operator failed; the zero value is none.
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
	ProblemUnavailable
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
	return &requester.FieldError{Field: "Code", Expected: "a defined name"}
}
