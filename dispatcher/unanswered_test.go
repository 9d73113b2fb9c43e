package dispatcher_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/dispatcher"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// unansweredAdvice is a platform whose advice service does not answer this entry once
// it is silent.
type unansweredAdvice struct {
	dispatcher.Platform
	silent atomic.Bool
}

func (u *unansweredAdvice) RequestAdvice(ctx context.Context, step scheduler.StepName, workers []requester.HostID) ([]scheduler.Ticket, error) {
	if !u.silent.Load() {
		return u.Platform.RequestAdvice(ctx, step, workers)
	}
	<-ctx.Done()
	return nil, errors.Wrap(ctx.Err(), "request advice")
}

// TestJobsStartBesideRelaysWithoutTheService guards against jobs that wait for advice
// from relays whose links are sound but whose own way to the advice service is not.
// An idle worker may leave a job waiting for 3 s.
func TestJobsStartBesideRelaysWithoutTheService(t *testing.T) {
	s := &linkedSite{site: &site{t: t, cell: newCell(20 * time.Millisecond)}}
	var platforms []*unansweredAdvice
	s.platform = func(i int) dispatcher.Platform {
		platforms = append(platforms, &unansweredAdvice{Platform: s.cell.PlatformFor(entryName(i))})
		return platforms[i]
	}
	s.startAll(8)
	for i, platform := range platforms {
		platform.silent.Store(i != s.owner())
	}
	s.checkStarts(s.submitFor(7 * time.Second))
}
