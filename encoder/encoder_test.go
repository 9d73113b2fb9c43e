package encoder

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"kumquatstall/leaser"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// TestRoundTrip checks that decoding an encoded message yields an equal one, for
// an empty message of every kind and for messages with nested values.
func TestRoundTrip(t *testing.T) {
	at := time.Date(2030, 1, 2, 3, 4, 5, 678, time.UTC)
	profile := tuner.DefaultProfile()
	messages := append(EmptyMessages(),
		&Heartbeat{SentAt: at, Holdings: []leaser.ShardLease{{Seat: leaser.Shard{DataCentre: "yame", Number: 3}, Epoch: 7}}, MayClaim: true},
		&CallForward{ID: 4, Hop: HopExecutor, Call: requester.Call{RequestID: "r", Urgency: requester.UrgencyUrgent, Deadline: at, Payload: []byte{1, 2}}},
		&CallReply{ID: 4, Answer: requester.Answer{RequestID: "r", Outcome: requester.OutcomeAnswered, StartedAt: at}},
		&ConfigUpdate{Update: tuner.Update{Head: 9, Items: []tuner.Item{{ItemID: tuner.ItemID{Name: "p"}, Revision: 9, Profile: &profile}}}},
	)
	for _, message := range messages {
		is := is.New(t)
		data, err := Encode(message)
		is.NoErr(err)
		got, err := Decode(data)
		is.NoErr(err)
		if !reflect.DeepEqual(got, message) {
			t.Errorf("%T: got %+v, want %+v", message, got, message)
		}
	}
}

// FuzzDecode checks that malformed data from a link results in an error, never
// in a panic, and that every decoded message is encoded and decoded as the same.
func FuzzDecode(f *testing.F) {
	for _, message := range EmptyMessages() {
		data, err := Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := Decode(data)
		if err != nil {
			return
		}
		encoded, err := Encode(message)
		if err != nil {
			t.Fatalf("decoded message can't be encoded: %v", err)
		}
		again, err := Decode(encoded)
		if err != nil {
			t.Fatalf("encoded message can't be decoded: %v", err)
		}
		if got, want := canonical(t, again), canonical(t, message); !bytes.Equal(got, want) {
			t.Fatalf("got %x after encoding, expected %x", got, want)
		}
	})
}

// canonical returns an encoding of a message that doesn't depend on the order of
// maps, so that messages with numbers that are none can be compared.
func canonical(t *testing.T, message Message) []byte {
	t.Helper()
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeRFC3339NanoUTC, TextMarshaler: cbor.TextMarshalerTextString}.EncMode()
	if err != nil {
		t.Fatal(err)
	}
	data, err := mode.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// BenchmarkEncode encodes and decodes a forwarded call.
func BenchmarkEncode(b *testing.B) {
	message := &CallForward{ID: 4, Call: requester.Call{
		RequestID: "unlock-1234", Trade: "kiosks", Service: "kiosk", Kind: "unlock", Deadline: time.Now(), Payload: make([]byte, 100),
	}}
	b.ReportAllocs()
	for b.Loop() {
		data, err := Encode(message)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
