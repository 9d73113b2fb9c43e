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

// Event is an input of the core.
type Event interface{ event() }

// Tick triggers the periodic work. It occurs several times per heartbeat
// interval.
type Tick struct{}

// CallArrived is a call from a caller. It is answered by a ReplyCall with the
// same Token.
type CallArrived struct {
	Token uint64
	Call  requester.Call
}

// CallerDisconnected reports that a caller no longer waits for the answer with
// this Token.
type CallerDisconnected struct{ Token uint64 }

// PeerUp reports that a link to a peer has opened. The link replaces any
// earlier one to the same peer.
type PeerUp struct {
	Peer        encoder.PeerInfo
	Incarnation int64
}

// PeerDown reports that the link to a peer has closed.
type PeerDown struct{ EntryID requester.EntryID }

// PeerRefused reports whether a peer's address refuses connections.
type PeerRefused struct {
	EntryID requester.EntryID
	Refused bool
}

// PeerMessage is a message from an incarnation of a peer. It may arrive after the PeerUp
// of the next incarnation.
type PeerMessage struct {
	From        requester.EntryID
	Incarnation int64
	Message     encoder.Message
}

// TableFailure is the reason why a transaction has no result.
type TableFailure int

const (
	// TableOK means that there is a result.
	TableOK TableFailure = iota
	// TableNotApplied means that the transaction has not taken effect and
	// never will.
	TableNotApplied
	// TableUnresolved means that the transaction may have taken effect, or may
	// still do so.
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

// ResultKind is how an attempt ended.
type ResultKind int

const (
	// ResultAnswered means that a complete answer to this request arrived.
	ResultAnswered ResultKind = iota
	// ResultFailed means that the run has ended without a usable answer: the
	// endpoint reported a failure, or its answer exceeds the size limit.
	ResultFailed
	// ResultRejected means that the endpoint rejected the request itself, as
	// any other endpoint would.
	ResultRejected
	// ResultNotSent means that no byte of the request left this entry, or that another
	// incarnation of the endpoint than it names has received and rejected it.
	ResultNotSent
	// ResultLost means that the request may have been sent and no complete
	// answer to it arrived, usually because the connection was lost. The
	// endpoint may still be running the call.
	ResultLost
)

// AttemptDone is the result of a StartAttempt.
type AttemptDone struct {
	AttemptID uint64
	Kind      ResultKind
	// Boot is the incarnation that has rejected the request as meant for another one; 0
	// if none has.
	Boot    int64
	Payload []byte
	Detail  string
}

// StatusDone is the result of a PollStatus.
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

// ConfigChangeRequested is an operator's request to change an item of the
// configuration. Expected is the item's revision that the operator read, 0 if
// there was none, or tuner.AnyRevision. It is answered by a ReplyConfig with
// the same Token.
type ConfigChangeRequested struct {
	Token    uint64
	Item     tuner.Item
	Expected int64
	ChangeID string
	By       string
}

// JobActionRequested is a request of a caller or operator to submit, cancel or
// query jobs, or to list workers. It is answered by a ReplyJob with the same
// Token.
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

// Command is an output of the core, which the entry carries out.
type Command interface{ command() }

// Send sends a message to a peer. The message is dropped if no link is up.
type Send struct {
	To      requester.EntryID
	Message encoder.Message
}

// DialPeers names the peers to which links are to be opened and kept open.
type DialPeers struct{ Peers []encoder.PeerInfo }

// DropPeer closes the link to a peer that has become unresponsive.
type DropPeer struct{ EntryID requester.EntryID }

// ReplyCall answers a caller.
type ReplyCall struct {
	Token  uint64
	Answer requester.Answer
}

// ReplyConfig answers a ConfigChangeRequested. If Problem is a conflict, Item
// is the current one; if there is no problem, Item is the one committed.
type ReplyConfig struct {
	Token   uint64
	Problem encoder.Problem
	Item    tuner.Item
}

// ReplyJob answers a JobActionRequested.
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

// StartAttempt sends a call to an endpoint. No byte may be sent at or after
// SendBy, the earlier of the call's deadline and the end of the lease of the
// endpoint's shard.
type StartAttempt struct {
	AttemptID uint64
	Endpoint  requester.HostID
	Address   netip.AddrPort
	// Boot is the incarnation of the endpoint that is to run the call; 0 if it has not
	// told any.
	Boot   int64
	Call   requester.Call
	SendBy time.Time
}

// PollStatus requests from an endpoint the list of the requests that it runs.
type PollStatus struct{ Endpoint router.EndpointInfo }

// SyncWorker sends a sync to a worker.
type SyncWorker struct{ Sync placer.Sync }

// Violation reports a broken invariant.
type Violation struct {
	Name   string
	Detail string
}

// Stopped reports that a graceful shutdown is complete.
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
