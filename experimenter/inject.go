package experimenter

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"kumquatstall/requester"
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
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// injectFault injects one fault now and returns when it has ended.
func (r *activeRun) injectFault(ctx context.Context, fault Fault) error {
	end := time.Now().Add(time.Duration(fault.ForMillis) * time.Millisecond)
	switch fault.Kind {
	case FaultStoreDown:
		r.deployment.Table.SetFaults(standin.TableFaults{Down: true})
		sleepUntil(ctx, end)
		r.deployment.Table.SetFaults(standin.TableFaults{})
	case FaultStoreSlow:
		r.deployment.Table.SetFaults(standin.TableFaults{DelayMillis: fault.Value})
		sleepUntil(ctx, end)
		r.deployment.Table.SetFaults(standin.TableFaults{})
	case FaultLostAnswers:
		r.deployment.Table.SetFaults(standin.TableFaults{LoseEvery: fault.Value})
		sleepUntil(ctx, end)
		r.deployment.Table.SetFaults(standin.TableFaults{})
	case FaultBlackHoleWorkers:
		r.setWorkers(fault.Value, standin.WorkerFaults{FailAll: true})
		sleepUntil(ctx, end)
		r.setWorkers(fault.Value, standin.WorkerFaults{})
	case FaultFailingEndpoints:
		r.setEndpoints(fault.Value, standin.EndpointFaults{FailEvery: 1})
		sleepUntil(ctx, end)
		r.setEndpoints(fault.Value, standin.EndpointFaults{})
	case FaultSlowEndpoints:
		const factor = 10
		r.setEndpoints(fault.Value, standin.EndpointFaults{SlowFactor: factor})
		sleepUntil(ctx, end)
		r.setEndpoints(fault.Value, standin.EndpointFaults{})
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

// setWorkers sets the faults of the first count workers.
func (r *activeRun) setWorkers(count int64, faults standin.WorkerFaults) {
	for _, worker := range r.deployment.Workers[:min(int(count), len(r.deployment.Workers))] {
		worker.SetFaults(faults)
	}
}

// setEndpoints sets the faults of the first count endpoints.
func (r *activeRun) setEndpoints(count int64, faults standin.EndpointFaults) {
	for _, endpoint := range r.deployment.Endpoints[:min(int(count), len(r.deployment.Endpoints))] {
		endpoint.SetFaults(faults)
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

// cpuTime returns the processor time that this process has used so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
