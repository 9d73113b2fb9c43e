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
		{"as strong as any", 0.5, ownerRow{Strongest: 0.5}, 2 * strengthDelay},
		{"a little weaker", 0.4, ownerRow{Strongest: 0.5}, 5 * strengthDelay / 2},
		{"much weaker", 0.2, ownerRow{Strongest: 0.8}, weakDelay},
		{"heir", 0.2, ownerRow{Strongest: 0.2, Released: true, Successor: self}, 5 * strengthDelay},
		{"heir is another", 1, ownerRow{Strongest: 1, Released: true, Successor: "other"}, successorDelay + strengthDelay},
		{"heir is another, much weaker", 0.2, ownerRow{Strongest: 0.8, Released: true, Successor: "other"}, successorDelay + weakDelay},
		{"released to anyone", 1, ownerRow{Strongest: 1, Released: true}, strengthDelay},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := &Dispatcher{options: Options{Self: self, Cores: test.cores}}
			is.Equal(d.acquireDelay(test.owner), test.want)
		})
	}
}

// TestStrongest: the heir is the strongest linked entry, of equals one in the
// same data centre, of these the first by name.
func TestStrongest(t *testing.T) {
	tests := []struct {
		name   string
		linked map[requester.EntryID]linkedEntry
		want   requester.EntryID
	}{
		{"none", nil, ""},
		{"strength not known", map[requester.EntryID]linkedEntry{"a": {}}, ""},
		{"the strongest", map[requester.EntryID]linkedEntry{"a": {cores: 0.2, sameDataCentre: true}, "b": {cores: 0.8}}, "b"},
		{"the nearest", map[requester.EntryID]linkedEntry{"a": {cores: 0.8}, "b": {cores: 0.8, sameDataCentre: true}}, "b"},
		{"the first", map[requester.EntryID]linkedEntry{"c": {cores: 0.8}, "b": {cores: 0.8}, "a": {cores: 0.2}}, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := &Dispatcher{linked: test.linked}
			for range 10 { // maps are walked in another order each time
				got, cores := d.strongestPeer()
				is.Equal(got, test.want)
				is.Equal(cores, test.linked[test.want].cores)
			}
		})
	}
}
