package standin

import (
	"fmt"
	"time"

	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// RunSpec is how long the tasks of a job run on a stand-in, and whether they
// fail. It is encoded in the job's payload.
type RunSpec struct {
	Millis int64
	Fails  bool
}

// Payload returns the job payload that encodes s and the resources that each task
// occupies.
func (s RunSpec) Payload(need requester.Resources) string {
	return fmt.Sprintf("%d %t %d %d %d", s.Millis, s.Fails, need.MilliCores, need.MemoryMB, need.Accelerators)
}

// parsePayload decodes a payload that Payload returned.
func parsePayload(payload string) (RunSpec, requester.Resources) {
	var spec RunSpec
	var need requester.Resources
	// A payload of another format is a task that ends at once.
	_, _ = fmt.Sscanf(payload, "%d %t %d %d %d", &spec.Millis, &spec.Fails, &need.MilliCores, &need.MemoryMB, &need.Accelerators)
	return spec, need
}

// RunRecord is one run, as recorded by the worker.
type RunRecord struct {
	Worker    requester.HostID
	Task      scheduler.TaskName
	Run       scheduler.RunNumber
	Need      requester.Resources
	StartedAt time.Time
	// EndsAt is when the run ends unless it is stopped or its lease expires.
	EndsAt time.Time
	// EndedAt is when the run ended; zero while it is running.
	EndedAt time.Time
	// Pace is the pace of the run in percent.
	Pace int
	Kind scheduler.EndKind
	// killedAt is when the lease expired or the run was stopped; zero if neither has
	// happened in the run's time. killedAs is how it ends then.
	killedAt time.Time
	killedAs scheduler.EndKind
	// Acknowledged is true if an owner acknowledged the end before the lease
	// expired.
	Acknowledged bool
	// incarnation is the boot time of the incarnation that ran it.
	incarnation time.Time
	// endNumber is the number under which polls return and acknowledge the end; 0
	// while the run is running, or if the worker crashed before it ended.
	endNumber int64
	// maybeRescheduled is true if the lease expired before the end was
	// acknowledged, so that an owner may have started the task again elsewhere.
	maybeRescheduled bool
	fails            bool
}

// String returns where, in which life, when and how the run ran, for messages.
func (r *RunRecord) String() string {
	const clock = "15:04:05.000"
	end := "now"
	if !r.EndedAt.IsZero() {
		end = fmt.Sprintf("%s %v", r.EndedAt.Format(clock), r.Kind)
	}
	return fmt.Sprintf("run %d on %s born %s, %s to %s", r.Run, r.Worker, r.incarnation.Format(clock), r.StartedAt.Format(clock), end)
}

// outcome returns how and when the run ends, by what is known of its lease and of stops. A
// run that is being killed goes on for killDelay and can't be done any more.
func (r *RunRecord) outcome(killDelay time.Duration) (scheduler.EndKind, time.Time) {
	switch {
	case !r.killedAt.IsZero():
		return r.killedAs, r.killedAt.Add(killDelay)
	case r.fails:
		return scheduler.EndFailed, r.EndsAt
	}
	return scheduler.EndDone, r.EndsAt
}

// percent returns the percentage of the run's execution time that has passed.
func (r *RunRecord) percent(now time.Time) int {
	return min(100, int(100*now.Sub(r.StartedAt)/max(1, r.EndsAt.Sub(r.StartedAt))))
}
