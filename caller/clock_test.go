package caller

import (
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"

	"kumquatstall/placer"
	"kumquatstall/requester"
)

// setForward returns what time.Now would have returned had the host's clock been set
// forward by whole seconds: another time of day, and the same monotonic reading.
func setForward(t time.Time, seconds uint64) time.Time {
	// A time with a monotonic reading holds the seconds above 30 bits of nanoseconds.
	const secondsShift = 30
	(*struct{ wall uint64 })(unsafe.Pointer(&t)).wall += seconds << secondsShift
	return t
}

// TestLeaseAfterClockIsSet guards against a lease that a worker holds for longer than the
// entry counts, as the entry's clock was set since it last compared it with the worker's.
func TestLeaseAfterClockIsSet(t *testing.T) {
	is := is.New(t)
	c := New(Options{})
	defer c.Close()
	const ahead = time.Hour
	sentAt := time.Now()
	receivedAt := sentAt.Add(10 * time.Millisecond)
	c.readWorkerClock("worker", sentAt, receivedAt, sentAt.Add(5*time.Millisecond+ahead).Round(0))

	now := setForward(receivedAt.Add(time.Second), 10)
	is.Equal(now.Sub(receivedAt), time.Second)
	is.Equal(now.Round(0).Sub(receivedAt.Round(0)), 11*time.Second)
	deadline := c.workerDeadline(placer.Sync{Worker: "worker", Request: placer.SyncRequest{Deadline: now.Add(6 * time.Second)}})
	granted := deadline.Sub(receivedAt.Add(time.Second + ahead).Round(0))
	t.Logf("lease of 6 s counts %v by the worker's clock", granted)
	is.True(granted <= 6*time.Second)
	is.True(granted > 5900*time.Millisecond)

	// A worker whose clock shows no difference: its lease isn't shortened by the round trip.
	c.readWorkerClock("same", sentAt, receivedAt, sentAt.Add(5*time.Millisecond).Round(0))
	for _, at := range []time.Time{receivedAt.Add(time.Second), now} {
		deadline := c.workerDeadline(placer.Sync{Worker: "same", Request: placer.SyncRequest{Deadline: at.Add(6 * time.Second)}})
		is.Equal(deadline, receivedAt.Add(7*time.Second).Round(0))
	}

	// No request names the incarnation of a worker that has never answered.
	unknown := c.workerDeadline(placer.Sync{Worker: requester.HostID("unknown"), Request: placer.SyncRequest{Deadline: now}})
	is.True(unknown.Equal(now))
}
