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
		{"no owner yet", 0.5, ownerRow{}, 2 * strengthDelay},
		{"as many cores as any", 0.5, ownerRow{Strongest: 0.5}, 2 * strengthDelay},
		{"slightly fewer cores", 0.4, ownerRow{Strongest: 0.5}, 5 * strengthDelay / 2},
		{"far fewer cores", 0.2, ownerRow{Strongest: 0.8}, weakDelay},
		{"successor", 0.2, ownerRow{Strongest: 0.2, Released: true, Successor: self}, 5 * strengthDelay},
		{"another successor", 1, ownerRow{Strongest: 1, Released: true, Successor: "other"}, successorDelay + strengthDelay},
		{"another successor, far fewer cores", 0.2, ownerRow{Strongest: 0.8, Released: true, Successor: "other"}, successorDelay + weakDelay},
		{"released without a successor", 1, ownerRow{Strongest: 1, Released: true}, strengthDelay},
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
			d := &Dispatcher{linked: test.linked}
			for range 10 { // the iteration order of a map differs each time
				got, cores := d.strongestPeer()
				is.Equal(got, test.want)
				is.Equal(cores, test.linked[test.want].cores)
			}
		})
	}
}
