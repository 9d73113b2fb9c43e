package dispatcher

import (
	"context"
	"time"

	"kumquatstall/requester"
	"kumquatstall/retrier"
	"kumquatstall/scheduler"
)

// relistWindow is how long after the store was unavailable workers may be
// missing from the list: their rows have expired meanwhile, and they write them
// again.
const relistWindow = 2200 * time.Millisecond

// withUnlisted returns infos with the workers added that are in the last list
// only.
func withUnlisted(infos, last []scheduler.WorkerInfo) []scheduler.WorkerInfo {
	listed := make(map[requester.HostID]bool, len(infos))
	for _, info := range infos {
		listed[info.HostID] = true
	}
	for _, info := range last {
		if !listed[info.HostID] {
			infos = append(infos, info)
		}
	}
	return infos
}

// refreshWorkers keeps the core's list of workers up to date.
func (s *session) refreshWorkers() {
	d := s.dispatcher
	var failing bool
	var failedAt time.Time
	var last []scheduler.WorkerInfo
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		infos, err := d.platform.ListWorkers(ctx)
		cancel()
		d.logDependency("worker list", err, &failing)
		wait := workerListInterval
		now := d.clock.Now()
		if err != nil {
			failedAt = now
			wait = retryInterval
		} else {
			if !failedAt.IsZero() && now.Sub(failedAt) < relistWindow {
				infos = withUnlisted(infos, last)
			}
			last = infos
			s.post(func() { s.core.SetWorkers(now, infos) })
		}
		if !retrier.Sleep(s.ctx, wait) {
			return
		}
	}
}
