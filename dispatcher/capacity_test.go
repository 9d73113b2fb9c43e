package dispatcher

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/encoder"
	"kumquatstall/requester"
)

// TestOddCapacityInOwnerRow checks that a number of cores that no host has is not
// taken from a link: it would get into the owner's row.
func TestOddCapacityInOwnerRow(t *testing.T) {
	is := is.New(t)
	d := &Dispatcher{clock: NewClock(), linked: map[requester.EntryID]linkedEntry{"peer": {cores: 2}}}
	for _, cores := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300} {
		d.PeerMessage("peer", 1, &encoder.EntryCapacity{Cores: cores})
		is.Equal(d.linked["peer"].cores, 2.0)
	}
	d.PeerMessage("peer", 1, &encoder.EntryCapacity{Cores: 4})
	is.Equal(d.linked["peer"].cores, 4.0)
	d.PeerMessage("peer", 1, &encoder.EntryCapacity{})
	is.Equal(d.linked["peer"].cores, 0.0) // it is draining
}

// TestCapacityOfASilentEntry guards against a successor that was chosen by a message
// from before it stopped: its link may still be up.
func TestCapacityOfASilentEntry(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC)}
	d := &Dispatcher{clock: clock, linked: map[requester.EntryID]linkedEntry{"silent": {}, "sound": {}}}
	d.PeerMessage("silent", 1, &encoder.EntryCapacity{Cores: 4})
	for range 5 {
		d.PeerMessage("sound", 1, &encoder.EntryCapacity{Cores: 2})
		clock.now = clock.now.Add(announceInterval)
	}
	id, cores := d.peerWithMostCores()
	is.Equal(id, requester.EntryID("sound"))
	is.Equal(cores, 2.0)
	clock.now = clock.now.Add(capacityValidity)
	id, cores = d.peerWithMostCores()
	is.Equal(id, requester.EntryID(""))
	is.Equal(cores, 0.0)
}

// TestCapacityWithoutTheStore checks that an entry that could not acquire the cell
// tells the owner so.
func TestCapacityWithoutTheStore(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC)}
	d := &Dispatcher{clock: clock, options: Options{Cores: 4}}
	is.Equal(d.capacity(), 0.0)
	d.storeContactedAt.Store(clock.now.UnixNano())
	is.Equal(d.capacity(), 4.0)
	clock.now = clock.now.Add(storeContactWindow)
	is.Equal(d.capacity(), 0.0)
	d.storeContactedAt.Store(clock.now.UnixNano())
	d.draining.Store(true)
	is.Equal(d.capacity(), 0.0)
}
