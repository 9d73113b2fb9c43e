package encoder

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// kind is the number of a message type on the wire. Numbers are never reused.
type kind uint

const (
	kindHello kind = iota + 1
	kindProof
	kindHeartbeat
	kindPeerList
	kindCallForward
	kindCallReply
	kindCallCancel
	kindConfigUpdate
	kindConfigRequest
	kindGrantRequest
	kindGrantReply
	kindRelayRequest
	kindRelayReply
	kindReplicateRequest
	kindReplicateReply
	kindReplicaFetch
	kindReplicaList
	kindJobRequest
	kindJobReply
	kindAdviceRequest
	kindAdviceReply
	kindJobStored
	kindStatesStored
	kindEntryCapacity
	kindStopRequest
	kindStopReply
)

func (*Hello) kind() kind            { return kindHello }
func (*Proof) kind() kind            { return kindProof }
func (*Heartbeat) kind() kind        { return kindHeartbeat }
func (*PeerList) kind() kind         { return kindPeerList }
func (*CallForward) kind() kind      { return kindCallForward }
func (*CallReply) kind() kind        { return kindCallReply }
func (*CallCancel) kind() kind       { return kindCallCancel }
func (*ConfigUpdate) kind() kind     { return kindConfigUpdate }
func (*ConfigRequest) kind() kind    { return kindConfigRequest }
func (*GrantRequest) kind() kind     { return kindGrantRequest }
func (*GrantReply) kind() kind       { return kindGrantReply }
func (*RelayRequest) kind() kind     { return kindRelayRequest }
func (*RelayReply) kind() kind       { return kindRelayReply }
func (*ReplicateRequest) kind() kind { return kindReplicateRequest }
func (*ReplicateReply) kind() kind   { return kindReplicateReply }
func (*ReplicaFetch) kind() kind     { return kindReplicaFetch }
func (*ReplicaList) kind() kind      { return kindReplicaList }
func (*JobRequest) kind() kind       { return kindJobRequest }
func (*JobReply) kind() kind         { return kindJobReply }
func (*AdviceRequest) kind() kind    { return kindAdviceRequest }
func (*AdviceReply) kind() kind      { return kindAdviceReply }
func (*JobStored) kind() kind        { return kindJobStored }
func (*StatesStored) kind() kind     { return kindStatesStored }
func (*EntryCapacity) kind() kind    { return kindEntryCapacity }
func (*StopRequest) kind() kind      { return kindStopRequest }
func (*StopReply) kind() kind        { return kindStopReply }

// messageTypes maps each kind to the type of its messages.
var messageTypes = func() map[kind]reflect.Type {
	byKind := make(map[kind]reflect.Type)
	for _, message := range EmptyMessages() {
		byKind[message.kind()] = reflect.TypeOf(message).Elem()
	}
	return byKind
}()

// EmptyMessages returns an empty message of every kind.
func EmptyMessages() []Message {
	return []Message{
		&Hello{}, &Proof{}, &Heartbeat{}, &PeerList{}, &CallForward{}, &CallReply{}, &CallCancel{}, &ConfigUpdate{},
		&ConfigRequest{}, &GrantRequest{}, &GrantReply{}, &RelayRequest{}, &RelayReply{}, &ReplicateRequest{},
		&ReplicateReply{}, &ReplicaFetch{}, &ReplicaList{}, &JobRequest{}, &JobReply{}, &AdviceRequest{}, &AdviceReply{}, &JobStored{},
		&StatesStored{}, &EntryCapacity{}, &StopRequest{}, &StopReply{},
	}
}

// Limits of the messages that Decode accepts: the levels of nesting, and the
// elements of each array and map.
const (
	maxNesting  = 16
	maxElements = 1 << 17
)

var encodeMode, decodeMode = func() (cbor.EncMode, cbor.DecMode) {
	encode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC, TextMarshaler: cbor.TextMarshalerTextString}.EncMode()
	if err != nil {
		panic(err)
	}
	decode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		TextUnmarshaler:  cbor.TextUnmarshalerTextString,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return encode, decode
}()

// frame is the outer array of an encoded message. Body is encoded separately,
// since its type depends on Kind.
type frame struct {
	_    struct{} `cbor:",toarray"`
	Kind kind
	Body cbor.RawMessage
}

// Encode returns the wire encoding of a message.
func Encode(message Message) ([]byte, error) {
	body, err := encodeMode.Marshal(message)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %T", message)
	}
	data, err := encodeMode.Marshal(frame{Kind: message.kind(), Body: body})
	return data, errors.Wrapf(err, "encode %T", message)
}

// Decode returns the message that data encodes.
func Decode(data []byte) (Message, error) {
	var f frame
	if err := decodeMode.Unmarshal(data, &f); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	messageType, ok := messageTypes[f.Kind]
	if !ok {
		return nil, errors.Newf("decode frame: kind %d is not defined", f.Kind)
	}
	message, _ := reflect.New(messageType).Interface().(Message)
	if err := decodeMode.Unmarshal(f.Body, message); err != nil {
		return nil, errors.Wrapf(err, "decode %T", message)
	}
	if err := checkEnums(reflect.ValueOf(message).Elem(), ""); err != nil {
		return nil, errors.Wrapf(err, "decode %T", message)
	}
	return message, nil
}
