package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// TestSecondAttemptDoesNotFreeTheFirst guards against releasing the slot of an
// attempt whose connection was lost while a second attempt of the same request
// runs on the same endpoint. A status report names requests, not attempts, so
// the second attempt says nothing about the end of the first.
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
	is.Equal(len(ended), 1) // the request is not running, so the attempt whose connection was lost has ended
	is.Equal(ended[0].ID, uint64(1))
}

// TestCallNamesIncarnation guards against calls that name an incarnation of an endpoint which
// has ended, once another one has told of itself.
func TestCallNamesIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	pool := NewPool(Limits{})
	pool.SetEndpoints(now, []OwnedEndpoint{{EndpointInfo: EndpointInfo{HostID: "e", Slots: 9, Connections: 9}}})
	start := func(id uint64) int64 {
		_, boot := pool.Start(now, Attempt{ID: id, RequestID: "r", Endpoint: "e"})
		return boot
	}
	is.Equal(start(1), int64(0)) // it has told none
	pool.OnStatus(now, now, "e", EndpointStatus{Boot: 7})
	is.Equal(start(2), int64(7))
	pool.SetBoot(2, 8)
	is.Equal(start(3), int64(8))
	pool.Finish(now, 2, true)
	pool.SetBoot(2, 9) // it has ended
	is.Equal(start(4), int64(8))
}
