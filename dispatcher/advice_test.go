package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

func newRelays(count int) relays {
	var a relays
	for i := range count {
		a.add(requester.EntryID(fmt.Sprintf("entry-%02d", i)))
	}
	return a
}

// TestReservedAdvisers: long questions leave a fifth of the entries to short
// ones, so that these do not wait behind them.
func TestReservedAdvisers(t *testing.T) {
	tests := []struct {
		entries int
		want    scheduler.AdviceRoom
	}{
		{1, scheduler.AdviceRoom{Any: adviceDepth}},
		{4, scheduler.AdviceRoom{Any: 4 * adviceDepth}},
		{5, scheduler.AdviceRoom{Any: 4 * adviceDepth, Short: adviceDepth}},
		{43, scheduler.AdviceRoom{Any: 35 * adviceDepth, Short: 8 * adviceDepth}},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.entries), func(t *testing.T) {
			is := is.New(t)
			now := time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC)
			a := newRelays(test.entries)
			is.Equal(a.capacity(now), test.want)
			// Each place that was counted is found, long questions first.
			for range test.want.Any {
				chosen := a.choose(now, true)
				is.True(chosen != nil)
				chosen.inFlight++
			}
			is.True(a.choose(now, true) == nil)
			for range test.want.Short {
				chosen := a.choose(now, false)
				is.True(chosen != nil)
				chosen.inFlight++
			}
			is.True(a.choose(now, false) == nil)
		})
	}
}

// TestSuspectAdviser: an entry that has not answered is asked nothing for a
// while.
func TestSuspectAdviser(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC)
	a := newRelays(2)
	a[0].suspendedUntil = now.Add(relayCoolDown)
	is.Equal(a.capacity(now).Any, adviceDepth)
	is.Equal(a.choose(now, true).id, a[1].id)
	is.Equal(a.capacity(now.Add(relayCoolDown)).Any, 2*adviceDepth)
}
