package experimenter

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"kumquatstall/requester"
	"kumquatstall/retrier"
	"kumquatstall/runner"
	"kumquatstall/standin"
)

// injectFaults injects each fault of the scenario at its time and returns once
// all of them have ended. It returns the first error.
func (r *activeRun) injectFaults(ctx context.Context) error {
	var group sync.WaitGroup
	errs := make(chan error, len(r.scenario.Faults))
	for _, fault := range r.scenario.Faults {
		group.Go(func() {
			if !sleepUntil(ctx, r.startedAt.Add(time.Duration(fault.AtMillis)*time.Millisecond)) {
				return
			}
			if err := r.injectFault(ctx, fault); err != nil {
				errs <- err
			}
		})
	}
	group.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// sleepUntil waits until the given time. It reports whether that was reached
// before ctx ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	return retrier.Sleep(ctx, time.Until(at))
}

// injectFault injects one fault now and returns when it has ended.
func (r *activeRun) injectFault(ctx context.Context, fault Fault) error {
	end := time.Now().Add(time.Duration(fault.ForMillis) * time.Millisecond)
	switch fault.Kind {
	case FaultStoreDown:
		r.disturbTable(ctx, end, standin.TableFaults{Down: true})
	case FaultStoreSlow:
		r.disturbTable(ctx, end, standin.TableFaults{DelayMillis: fault.Value})
	case FaultLostAnswers:
		r.disturbTable(ctx, end, standin.TableFaults{LoseEvery: fault.Value})
	case FaultBlackHoleWorkers:
		disturbHosts(ctx, end, r.deployment.Workers, fault.Value, standin.WorkerFaults{FailAll: true})
	case FaultFailingEndpoints:
		disturbHosts(ctx, end, r.deployment.Endpoints, fault.Value, standin.EndpointFaults{FailEvery: 1})
	case FaultSlowEndpoints:
		const factor = 10
		disturbHosts(ctx, end, r.deployment.Endpoints, fault.Value, standin.EndpointFaults{SlowFactor: factor})
	case FaultKillEntries:
		for range fault.Value {
			r.removeEntry(func(entry *runner.Entry) error {
				entry.Close()
				return nil
			})
		}
	case FaultReplaceEntries:
		return r.replaceEntries(ctx, fault.Value)
	case FaultCancelJobs:
		r.cancelJobs(ctx)
	}
	return nil
}

// disturbTable gives the table faults until end, or until ctx ends.
func (r *activeRun) disturbTable(ctx context.Context, end time.Time, faults standin.TableFaults) {
	r.deployment.Table.SetFaults(faults)
	sleepUntil(ctx, end)
	r.deployment.Table.SetFaults(standin.TableFaults{})
}

// disturbHosts gives the first count hosts faults until end, or until ctx ends.
func disturbHosts[F any, H interface{ SetFaults(F) }](ctx context.Context, end time.Time, hosts []H, count int64, faults F) {
	disturbed := hosts[:min(int(count), len(hosts))]
	for _, host := range disturbed {
		host.SetFaults(faults)
	}
	sleepUntil(ctx, end)
	var none F
	for _, host := range disturbed {
		host.SetFaults(none)
	}
}

// removeEntry removes the first entry from the deployment, stops it by calling
// end, and then removes it from the balancer.
func (r *activeRun) removeEntry(end func(*runner.Entry) error) {
	entry := r.deployment.Entries[0]
	r.entryTotals.add(entry.View().Stats)
	r.deployment.Entries = r.deployment.Entries[1:]
	_ = end(entry)
	r.refreshBalancer()
}

// replaceEntries shuts count entries down gracefully, one after the other, and
// starts a new entry in the data centre of each.
func (r *activeRun) replaceEntries(ctx context.Context, count int64) error {
	for range count {
		dataCentre := r.deployment.Entries[0].View().DataCentre
		r.removeEntry(func(entry *runner.Entry) error { return entry.Shutdown(ctx) })
		r.replacements++
		id := requester.EntryID(fmt.Sprintf("%s-replacement-%d", dataCentre, r.replacements))
		if _, err := r.deployment.StartEntry(dataCentre, id); err != nil {
			return err
		}
		r.refreshBalancer()
	}
	return nil
}

// cancelJobs cancels all jobs accepted so far. It ignores errors, because a job
// may have ended.
func (r *activeRun) cancelJobs(ctx context.Context) {
	for _, status := range r.load.Jobs() {
		var ended requester.JobStatus
		_ = r.deployment.DoJSON(ctx, http.MethodDelete, "/v1/jobs/"+string(status.JobID)+"?DataCentre="+string(status.DataCentre), nil, &ended)
	}
}
