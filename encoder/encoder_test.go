package encoder

import (
	"reflect"
	"testing"
	"time"

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
// in a panic, and that every decoded message can be encoded again.
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
		if _, err := Encode(message); err != nil {
			t.Fatalf("decoded message can't be encoded: %v", err)
		}
	})
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
