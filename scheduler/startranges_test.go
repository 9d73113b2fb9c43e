package scheduler

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// formerStartsRow is a StartsRow as earlier versions stored it.
type formerStartsRow struct {
	_            struct{} `cbor:",toarray"`
	Starts       []IntendedStart
	UnknownNanos int64
}

func startsOfWorkers(members int, workers ...requester.HostID) []IntendedStart {
	var starts []IntendedStart
	for _, id := range workers {
		for range members {
			starts = append(starts, IntendedStart{Job: "j", Step: 1, Index: len(starts), Run: 7, Worker: id, IntendedNanos: 5})
		}
	}
	return starts
}

// TestStoredFormOfStarts checks that the list of intended starts is read as it was written,
// whichever starts it names, that it takes little room where their indexes are in a row, and
// that the form of earlier versions is read.
func TestStoredFormOfStarts(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	gang := startsOfWorkers(1000, "w1", "w2", "w3")
	is.True(len(EncodeRow(StartsRow{Starts: gang})) < 300)
	lists := [][]IntendedStart{nil, gang[:1], gang}
	for range 200 {
		var some []IntendedStart
		for i := range gang {
			if random.IntN(3) > 0 {
				some = append(some, gang[i])
			}
		}
		lists = append(lists, some)
	}
	for _, starts := range lists {
		var row StartsRow
		is.NoErr(DecodeRow(EncodeRow(StartsRow{Starts: starts, UnknownNanos: 3}), &row))
		is.Equal(row, StartsRow{Starts: starts, UnknownNanos: 3})
		is.NoErr(DecodeRow(EncodeRow(formerStartsRow{Starts: starts, UnknownNanos: 3}), &row))
		is.Equal(row, StartsRow{Starts: starts, UnknownNanos: 3})
	}
	for _, count := range []int{-1, 0, MaxStepTasks + 1, 1 << 40} {
		var row StartsRow
		is.True(DecodeRow(EncodeRow([]any{[]any{countedRange{First: gang[0], Count: count}}, 0}), &row) != nil)
	}
}

// FuzzStartsRow checks that no value of a part of the list makes an owner crash, and that what
// is decoded is the same once it is encoded and decoded again.
func FuzzStartsRow(f *testing.F) {
	f.Add(EncodeRow(StartsRow{Starts: startsOfWorkers(3, "w1", "w2"), UnknownNanos: 1}))
	f.Add(EncodeRow(formerStartsRow{Starts: startsOfWorkers(2, "w")}))
	f.Add([]byte{0x82, 0x81, 0x82})
	f.Fuzz(func(t *testing.T, data []byte) {
		var row, again StartsRow
		if DecodeRow(data, &row) != nil {
			return
		}
		if err := DecodeRow(EncodeRow(row), &again); err != nil {
			t.Fatal(err)
		}
		is.New(t).Equal(again, row)
		c := New(Options{Epoch: 2}, detailsNow)
		c.RestoreIntended(row)
		c.Tick(detailsNow)
	})
}
