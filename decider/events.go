package decider

import (
	"net/netip"
	"time"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/placer"
	"kumquatstall/requester"
	"kumquatstall/router"
	"kumquatstall/tuner"
)

// Event is something that happened.
type Event interface{ event() }

// Tick tells that time has passed. It comes several times a heartbeat.
type Tick struct{}

// CallArrived tells that a caller sent a call. It is answered by a ReplyCall
// with the same Token.
type CallArrived struct {
	Token uint64
	Call  requester.Call
}

// CallerDisconnected tells that a caller no longer waits for its answer.
type CallerDisconnected struct{ Token uint64 }

// PeerUp tells that a link to a peer has opened. It replaces any earlier one.
type PeerUp struct {
	Peer        encoder.PeerInfo
	Incarnation int64
}

// PeerDown tells that the link to a peer has closed.
type PeerDown struct{ EntryID requester.EntryID }

// PeerRefused tells whether a peer's address refuses connections.
type PeerRefused struct {
	EntryID requester.EntryID
	Refused bool
}

// PeerMessage is a message from a peer.
type PeerMessage struct {
	From    requester.EntryID
	Message encoder.Message
}

// TableFailure tells why a transaction has no result.
type TableFailure int

// The failures.
const (
	// TableOK tells that there is a result.
	TableOK TableFailure = iota
	// TableNotApplied tells that the transaction did not and won't take effect.
	TableNotApplied
	// TableUnresolved tells that it may have taken effect, or still may.
	TableUnresolved
)

// TransactDone is the result of a Transact.
type TransactDone struct {
	ID      uint64
	Result  keeper.TransactResult
	Failure TableFailure
}

// ReadDone is the result of a Read.
type ReadDone struct {
	ID     uint64
	Result keeper.ReadResult
	Failed bool
}

// HostsListed is the result of a ListHosts.
type HostsListed struct {
	Hosts  []keeper.Host
	Failed bool
}

// ResultKind tells how an attempt ended.
type ResultKind int

// The kinds of results.
const (
	// ResultAnswered carries the whole answer to this very request.
	ResultAnswered ResultKind = iota
	// ResultFailed tells that the endpoint ran the call and failed.
	ResultFailed
	// ResultRejected tells that the endpoint found the request itself wrong;
	// another endpoint would, too.
	ResultRejected
	// ResultNotSent tells that no byte of the request left this entry.
	ResultNotSent
	// ResultLost tells that the endpoint may still be running the call.
	ResultLost
)

// AttemptDone is the result of a StartAttempt.
type AttemptDone struct {
	AttemptID uint64
	Kind      ResultKind
	Payload   []byte
	Detail    string
}

// StatusDone is the result of an PollStatus.
type StatusDone struct {
	Endpoint requester.HostID
	Service  requester.Service
	SentAt   time.Time
	Status   router.EndpointStatus
	Failed   bool
}

// SyncDone is the result of a SyncWorker.
type SyncDone struct {
	Sync   placer.Sync
	Report placer.SyncReport
	Failed bool
}

// ConfigChangeRequested tells that an operator wants an item changed. It is answered by
// a ReplyConfig with the same Token.
type ConfigChangeRequested struct {
	Token    uint64
	Item     tuner.Item
	Expected int64
	ChangeID string
	By       string
}

// JobActionRequested tells that a caller or operator asks about jobs. It is answered by
// a ReplyJob with the same Token.
type JobActionRequested struct {
	Token  uint64
	Action encoder.JobAction
	Job    requester.Job
}

// Drain starts a graceful shutdown. It ends with the Stopped command.
type Drain struct{}

func (Tick) event()                  {}
func (CallArrived) event()           {}
func (CallerDisconnected) event()    {}
func (PeerUp) event()                {}
func (PeerDown) event()              {}
func (PeerRefused) event()           {}
func (PeerMessage) event()           {}
func (TransactDone) event()          {}
func (ReadDone) event()              {}
func (HostsListed) event()           {}
func (AttemptDone) event()           {}
func (StatusDone) event()            {}
func (SyncDone) event()              {}
func (ConfigChangeRequested) event() {}
func (JobActionRequested) event()    {}
func (Drain) event()                 {}

// Command is something to do.
type Command interface{ command() }

// Send sends a message to a peer, if a link is up.
type Send struct {
	To      requester.EntryID
	Message encoder.Message
}

// DialPeers names the peers to which links are wanted.
type DialPeers struct{ Peers []encoder.PeerInfo }

// DropPeer closes a link that has gone silent.
type DropPeer struct{ EntryID requester.EntryID }

// ReplyCall answers a caller.
type ReplyCall struct {
	Token  uint64
	Answer requester.Answer
}

// ReplyConfig answers an operator. Item is the current one where Problem is a
// conflict, else the one put in force.
type ReplyConfig struct {
	Token   uint64
	Problem encoder.Problem
	Item    tuner.Item
}

// ReplyJob answers a question about jobs.
type ReplyJob struct {
	Token uint64
	Reply encoder.JobReply
}

// Transact runs a transaction on the table.
type Transact struct {
	ID          uint64
	Transaction keeper.Transaction
	Deadline    time.Time
}

// Read reads rows of the table.
type Read struct {
	ID       uint64
	Request  keeper.ReadRequest
	Deadline time.Time
}

// ListHosts reads the platform's host list.
type ListHosts struct{}

// StartAttempt sends a call to an endpoint. Nothing may be sent at or after
// SendBy.
type StartAttempt struct {
	AttemptID   uint64
	Endpoint    requester.HostID
	Address     netip.AddrPort
	Connections int
	Call        requester.Call
	SendBy      time.Time
}

// PollStatus asks an endpoint what it runs.
type PollStatus struct{ Endpoint router.EndpointInfo }

// SyncWorker sends a sync to a worker.
type SyncWorker struct{ Sync placer.Sync }

// Violation reports a broken invariant.
type Violation struct {
	Name   string
	Detail string
}

// Stopped ends a graceful shutdown.
type Stopped struct{}

func (Send) command()         {}
func (DialPeers) command()    {}
func (DropPeer) command()     {}
func (ReplyCall) command()    {}
func (ReplyConfig) command()  {}
func (ReplyJob) command()     {}
func (Transact) command()     {}
func (Read) command()         {}
func (ListHosts) command()    {}
func (StartAttempt) command() {}
func (PollStatus) command()   {}
func (SyncWorker) command()   {}
func (Violation) command()    {}
func (Stopped) command()      {}
