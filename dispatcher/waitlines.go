package dispatcher

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"kumquatstall/scheduler"
)

// The lines about starts and runs of lost owners, for which tasks wait.

// logWaitDetail adds to a line what a step waits for.
func logWaitDetail(event *zerolog.Event, wait *scheduler.WaitDetail) {
	if wait == nil {
		return
	}
	event.Dur("WaitingMillis", wait.For)
	if wait.OpenStarts > 0 {
		starts := zerolog.Arr()
		for i := range wait.Starts {
			starts.Dict(awaitedStart(&wait.Starts[i]))
		}
		event.Int("OpenStarts", wait.OpenStarts).Array("Starts", starts)
	}
	if wait.Unreported > 0 {
		event.Int("Unreported", wait.Unreported).Array("Workers", awaitedWorkers(wait.Workers))
	}
	logTime(event, "UnknownUntil", wait.UnknownUntil)
	if wait.UnknownOn > 0 {
		event.Int("UnknownOn", wait.UnknownOn).Array("UnknownWorkers", awaitedWorkers(wait.UnknownWorkers))
	}
	logTime(event, "LeasesUnknownUntil", wait.LeasesUnknownUntil)
}

func awaitedStart(start *scheduler.AwaitedStart) *zerolog.Event {
	fields := zerolog.Dict().Int("Task", start.Task).Int64("Run", int64(start.Run)).Int64("Epoch", start.Epoch).
		Str("Worker", string(start.Worker)).Str("Standing", start.Standing).Str("Sent", string(start.Sent)).Bool("LeaseCounted", start.LeaseCounted)
	logTime(fields, "Until", start.Until)
	logTime(fields, "Latest", start.Latest)
	return fields
}

func awaitedWorkers(workers []scheduler.AwaitedWorker) *zerolog.Array {
	all := zerolog.Arr()
	for i := range workers {
		fields := zerolog.Dict().Str("Worker", string(workers[i].Worker)).Str("Standing", workers[i].Standing)
		logTime(fields, "Until", workers[i].Until)
		all.Dict(fields)
	}
	return all
}

// logTime adds a time to a line unless it is zero.
func logTime(event *zerolog.Event, key string, at time.Time) {
	if !at.IsZero() {
		event.Time(key, at.UTC())
	}
}

// byEpoch returns how many there are by epoch.
func byEpoch(counts map[int64]int) *zerolog.Event {
	fields := zerolog.Dict()
	for _, epoch := range slices.Sorted(maps.Keys(counts)) {
		fields.Int(strconv.FormatInt(epoch, 10), counts[epoch])
	}
	return fields
}

// awaitedFields returns what lost owners have left that tasks may wait for.
func awaitedFields(a *scheduler.Awaited) *zerolog.Event {
	return zerolog.Dict().Int("SilentListed", a.SilentListed).Int("Unreported", a.Unreported).Int("UnreportedUnlisted", a.UnreportedUnlisted).Int("UnknownOn", a.UnknownOn).
		Int("OpenOwn", a.OpenOwn).Int("OpenInherited", a.OpenInherited).Int("OpenAnswering", a.OpenAnswering).Int("OpenOver", a.OpenOver).
		Dict("OpenByEpoch", byEpoch(a.OpenByEpoch))
}

// logInherited logs what this owner has taken over that its tasks may wait for.
func (s *session) logInherited() {
	taken := s.core.TakeInherited()
	event := s.dispatcher.log.Info().Str("Event", "inherited").Int64("Epoch", s.row.Epoch).
		Int("OpenStored", taken.OpenStored).Int("OpenListed", taken.OpenListed).Int("ListedEnded", taken.ListedEnded).Dict("OpenByEpoch", byEpoch(taken.OpenByEpoch)).
		Int("Workers", taken.Workers).Bool("PreviousEager", taken.PreviousEager)
	logTime(event, "UnknownUntil", taken.UnknownUntil)
	logTime(event, "Until", taken.Until)
	event.Send()
}

// logNotSent logs that a start isn't sent as the owner's lease is over: the core may hear of
// that no more.
func (s *session) logNotSent(order scheduler.StartOrder) {
	event := s.dispatcher.log.Info().Str("Event", "start not sent").Int64("Epoch", order.Fence.Epoch()).Str("Job", string(order.Task.Job))
	logRun(event, order.Task, order.Run)
	event.Str("Worker", string(order.Worker.HostID)).Str("Why", "the owner's lease is over").Send()
}

// logEnd logs the end of the ownership, and the starts that are left to a successor.
func (s *session) logEnd() {
	unsent, unanswered := s.core.LogUnsent()
	s.writeLogRecords(math.MaxInt)
	s.dispatcher.log.Info().Str("Event", "disown").Int64("Epoch", s.row.Epoch).Int("StartsUnsent", unsent).Int("StartsUnanswered", unanswered).Msg("ownership of the cell has ended; no more orders are sent")
}
