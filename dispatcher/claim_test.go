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
		{"heir", 0.2, ownerRow{Strongest: 0.2, Released: true, Heir: self}, 5 * strengthDelay},
		{"heir is another", 1, ownerRow{Strongest: 1, Released: true, Heir: "other"}, heirDelay},
		{"released to anyone", 1, ownerRow{Strongest: 1, Released: true}, strengthDelay},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := &Dispatcher{options: Options{Self: self, Cores: test.cores}}
			is.Equal(d.claimDelay(test.owner), test.want)
		})
	}
}
