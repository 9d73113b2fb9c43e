package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

func TestClaimDelay(t *testing.T) {
	const self = requester.EntryID("self")
	tests := []struct {
		name  string
		cores float64
		owner ownerRow
		want  time.Duration
	}{
		{"no owner yet", 0.5, ownerRow{}, 2 * capacityDelay},
		{"as many cores as any", 0.5, ownerRow{MaxCores: 0.5}, 2 * capacityDelay},
		{"slightly fewer cores", 0.4, ownerRow{MaxCores: 0.5}, 5 * capacityDelay / 2},
		{"far fewer cores", 0.2, ownerRow{MaxCores: 0.8}, lowCapacityDelay},
		{"successor", 0.2, ownerRow{MaxCores: 0.2, Released: true, Successor: self}, 5 * capacityDelay},
		{"another successor", 1, ownerRow{MaxCores: 1, Released: true, Successor: "other"}, successorDelay + capacityDelay},
		{"another successor, far fewer cores", 0.2, ownerRow{MaxCores: 0.8, Released: true, Successor: "other"}, successorDelay + lowCapacityDelay},
		{"released without a successor", 1, ownerRow{MaxCores: 1, Released: true}, capacityDelay},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := &Dispatcher{options: Options{Self: self, Cores: test.cores}}
			is.Equal(d.acquireDelay(test.owner), test.want)
		})
	}
}

// TestStrongest checks that the successor is the linked entry with the most
// cores, of equal ones one in the same data centre, and of these the first by
// ID.
func TestStrongest(t *testing.T) {
	tests := []struct {
		name   string
		linked map[requester.EntryID]linkedEntry
		want   requester.EntryID
	}{
		{"none", nil, ""},
		{"unknown cores", map[requester.EntryID]linkedEntry{"a": {}}, ""},
		{"most cores", map[requester.EntryID]linkedEntry{"a": {cores: 0.2, sameDataCentre: true}, "b": {cores: 0.8}}, "b"},
		{"same data centre", map[requester.EntryID]linkedEntry{"a": {cores: 0.8}, "b": {cores: 0.8, sameDataCentre: true}}, "b"},
		{"first by ID", map[requester.EntryID]linkedEntry{"c": {cores: 0.8}, "b": {cores: 0.8}, "a": {cores: 0.2}}, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := &Dispatcher{clock: &manualClock{}, linked: test.linked}
			for range 10 { // the iteration order of a map differs each time
				got, cores := d.peerWithMostCores()
				is.Equal(got, test.want)
				is.Equal(cores, test.linked[test.want].cores)
			}
		})
	}
}
