package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// TestSecondAttemptDoesNotFreeTheFirst checks that a report which names a
// request's second attempt is not taken for the end of its first, lost one.
func TestSecondAttemptDoesNotFreeTheFirst(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	pool := NewPool(Limits{Margin: 100 * time.Millisecond, SettleTimeout: time.Minute})
	pool.SetEndpoints(now, []OwnedEndpoint{{EndpointInfo: EndpointInfo{HostID: "e", Slots: 2, Connections: 60}}})
	now = now.Add(time.Second)
	pool.OnStatus(now, now, "e", EndpointStatus{})
	deadline := now.Add(time.Hour)
	pool.Start(now, Attempt{ID: 1, RequestID: "r", Endpoint: "e", Deadline: deadline})
	pool.MarkConnectionLost(now, 1)
	now = now.Add(time.Second)
	pool.Start(now, Attempt{ID: 2, RequestID: "r", Endpoint: "e", Deadline: deadline})
	ended := pool.OnStatus(now, now, "e", EndpointStatus{Running: []requester.RequestID{"r"}})
	is.Equal(len(ended), 0)
	is.Equal(pool.OccupiedSlots("e"), 2)
	ended = pool.OnStatus(now, now, "e", EndpointStatus{})
	is.Equal(len(ended), 1) // nothing of the request runs: the lost attempt has ended
	is.Equal(ended[0].ID, uint64(1))
}
