package dispatcher

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"kumquatstall/encoder"
	"kumquatstall/requester"
)

// TestOddCapacityInOwnerRow checks that a number of cores that no host has is not
// taken from a link: it would get into the owner's row.
func TestOddCapacityInOwnerRow(t *testing.T) {
	is := is.New(t)
	d := &Dispatcher{linked: map[requester.EntryID]linkedEntry{"peer": {cores: 2}}}
	for _, cores := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300} {
		d.PeerMessage("peer", &encoder.EntryCapacity{Cores: cores})
		is.Equal(d.linked["peer"].cores, 2.0)
	}
	d.PeerMessage("peer", &encoder.EntryCapacity{Cores: 4})
	is.Equal(d.linked["peer"].cores, 4.0)
	d.PeerMessage("peer", &encoder.EntryCapacity{})
	is.Equal(d.linked["peer"].cores, 0.0) // it is draining
}
