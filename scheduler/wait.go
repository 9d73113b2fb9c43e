package scheduler

import (
	"fmt"
	"time"
)

// A task whose turn has come may still wait. Each placement pass notes with a
// step why its waiting tasks did not start, so that the log and the load tell
// which condition holds them back, and so that a wait without an end shows. What
// ends each wait stands with its reason.

// WaitReason is why the waiting tasks of an open step have not started.
type WaitReason int

//go:generate go tool -modfile=../tools/go.mod stringer -type=WaitReason -trimprefix=Wait -linecomment

// The reasons to wait.
const (
	// WaitNothing means that no pass has held tasks back, or that none wait.
	WaitNothing WaitReason = iota // Nothing
	// WaitRoom means that no worker that may run a task now has room: until a run
	// ends, or a worker is listed, answers or is not suspended any more.
	WaitRoom
	// WaitAdvice means that too few workers are known to be allowed, or that
	// tickets are missing: until the advice service responds, or is asked again
	// after a failed request or expandInterval.
	WaitAdvice
	// WaitStartRecord means that the start record is not in the store: until a
	// transaction commits.
	WaitStartRecord
	// WaitUnknownRuns means that a previous owner may have started tasks that no
	// worker has reported: until the workers report, or their leases expire.
	WaitUnknownRuns
	// WaitEarlierRun means that an earlier run may be active, of the task or of
	// another member of its gang: until its worker reports its end, or the lease
	// expires.
	WaitEarlierRun
	// WaitCrashRecord means that a crash under the task is not in the store: until
	// a transaction commits.
	WaitCrashRecord
	// WaitPause means that a long-running task which crashes its workers is held
	// back: for at most firstHold, doubled maxHoldDoublings times.
	WaitPause
	// WaitTrial means that as many suspects are on trial as may be: until a trial
	// ends, or other work needs less room.
	WaitTrial
	// WaitRack means that a gang waits for one rack: for at most maxRackWait.
	WaitRack
	// WaitRefused means that the store has refused the job's rows as invalid: until it
	// takes them, or the job is given up.
	WaitRefused
	// WaitOpenStart means that an earlier start of a task, or of a member of a gang,
	// may still be executed: until an order that is late has arrived and the worker
	// has answered, or the longest lease has expired as well.
	WaitOpenStart
	// WaitStarts means that as many starts are under way, or runs there, as may be: until
	// workers have answered some, or some runs have ended.
	WaitStarts
	waitReasons
)

const (
	// longWait is how long a step waits for one reason before that is logged.
	longWait = 3 * time.Second
	// busyShare is the share of the room in use from which on it is no surprise
	// that a step waits for room.
	busyShare = 0.5
)

// wait is the present wait of a step.
type wait struct {
	reason WaitReason
	since  time.Time
	logged bool
	// nextLine is the earliest time of the next line in the log.
	nextLine time.Time
}

// noteWait records why a pass has left tasks of a step waiting. A wait for room is
// logged only while less than half of the room is in use: else it needs no
// explanation.
func (c *Core) noteWait(s *step, reason WaitReason) {
	if s.waiting == 0 {
		reason = WaitNothing
	}
	if reason != s.wait.reason {
		s.wait = wait{reason: reason, since: c.now}
	}
	c.logWait(s)
}

// waitRecord returns the line of a step that waits.
func (c *Core) waitRecord(s *step) LogRecord {
	return LogRecord{Job: s.job().name(), Why: fmt.Sprintf("%v: %d tasks of step %d of occurrence %d", s.wait.reason, s.waiting, s.number, s.occurrence.number), Wait: c.waitDetail(s)}
}

// unrecorded returns what a step waits for that has no committed start record:
// a step that needs advice gets one with its first request.
func (s *step) unrecorded() WaitReason {
	if s.startRecordVersion == 0 && s.job().spec.Advice != nil {
		return WaitAdvice
	}
	return WaitStartRecord
}

// lacks returns what a step without a candidate waits for: advice, or room.
func (s *step) lacks() WaitReason {
	if s.job().spec.Advice == nil || len(s.advice.allowed) > 0 && s.advice.inFlight == 0 && len(s.advice.stale) == 0 {
		return WaitRoom
	}
	return WaitAdvice
}
