package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

func someAdvisers(count int) advisers {
	var a advisers
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
		want    scheduler.AdviceCapacity
	}{
		{1, scheduler.AdviceCapacity{Any: adviceDepth}},
		{4, scheduler.AdviceCapacity{Any: 4 * adviceDepth}},
		{5, scheduler.AdviceCapacity{Any: 4 * adviceDepth, Short: adviceDepth}},
		{43, scheduler.AdviceCapacity{Any: 35 * adviceDepth, Short: 8 * adviceDepth}},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.entries), func(t *testing.T) {
			is := is.New(t)
			now := time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC)
			a := someAdvisers(test.entries)
			is.Equal(a.room(now), test.want)
			// Each place that was counted is found, long questions first.
			for range test.want.Any {
				chosen := a.choose(now, true)
				is.True(chosen != nil)
				chosen.open++
			}
			is.True(a.choose(now, true) == nil)
			for range test.want.Short {
				chosen := a.choose(now, false)
				is.True(chosen != nil)
				chosen.open++
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
	a := someAdvisers(2)
	a[0].suspectUntil = now.Add(suspectFor)
	is.Equal(a.room(now).Any, adviceDepth)
	is.Equal(a.choose(now, true).id, a[1].id)
	is.Equal(a.room(now.Add(suspectFor)).Any, 2*adviceDepth)
}
