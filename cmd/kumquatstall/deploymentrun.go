package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/rs/zerolog"

	"kumquatstall/auditor"
	"kumquatstall/loader"
	"kumquatstall/reporter"
	"kumquatstall/requester"
	"kumquatstall/stager"
	"kumquatstall/tuner"
)

// deploymentRun runs one deployment under a workload. During the run it changes a
// profile and drains a host, as an operator would.
type deploymentRun struct {
	plan     stager.Plan
	workload loader.Workload
	log      zerolog.Logger
	// hold keeps the deployment running after the load, until the context ends.
	hold bool

	// capacityViolations counts how often the capacity of an endpoint or worker
	// was exceeded; invariantViolations counts the invariant violations that
	// entries detected in their own state. Both are set by execute.
	capacityViolations  int64
	invariantViolations int64
}

// Timeouts and intervals of a run. Calls may start on the drained host until
// drainGrace after the drain mark is in force on every entry.
const (
	readyTimeout       = 30 * time.Second
	propagationTimeout = 10 * time.Second
	drainTimeout       = 60 * time.Second
	jobsEndTimeout     = 20 * time.Second
	drainGrace         = 4 * time.Second
	packingInterval    = 200 * time.Millisecond
)

// execute starts the deployment, generates load for the given duration, shuts the
// deployment down and returns the verdict and the result.
func (r *deploymentRun) execute(ctx context.Context, seed uint64, duration time.Duration) (auditor.Verdict, reporter.DeploymentResult, error) {
	result := reporter.DeploymentResult{Name: r.plan.Name}
	deployment, err := stager.Start(r.plan, r.log)
	if err != nil {
		return auditor.Verdict{}, result, err
	}
	defer deployment.Close()
	result.Entries = len(deployment.Entries)
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := deployment.AwaitReady(readyCtx); err != nil {
		return auditor.Verdict{}, result, err
	}
	audit := auditor.New()
	load := loader.New(deployment.Balancer.Address(), audit, r.plan.Name)
	until := time.Now().Add(duration)
	changesDone := make(chan error, 1)
	go func() { changesDone <- r.applyOperatorChanges(ctx, deployment, audit, duration, &result) }()
	watchCtx, stopWatch := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		result.Packing = highestPacking(watchCtx, deployment)
	}()
	load.Run(ctx, r.workload, seed, until)
	stopWatch()
	<-watched
	if err := <-changesDone; err != nil {
		return auditor.Verdict{}, result, err
	}
	result.Jobs = awaitJobs(ctx, deployment, r.plan)
	return r.shutdownAndAudit(ctx, deployment, audit, &result)
}

// shutdownAndAudit shuts the deployment down gracefully and audits the run. With
// hold set, it first prints the addresses and waits until ctx ends.
func (r *deploymentRun) shutdownAndAudit(ctx context.Context, deployment *stager.Deployment, audit *auditor.Auditor, result *reporter.DeploymentResult) (auditor.Verdict, reporter.DeploymentResult, error) {
	for _, entry := range deployment.Entries {
		result.TasksPlaced += entry.View().Stats.TasksPlaced
	}
	if r.hold {
		fmt.Fprintf(os.Stderr, "\n%s: balancer %s\n", r.plan.Name, deployment.Balancer.Address())
		for _, entry := range deployment.Entries {
			fmt.Fprintf(os.Stderr, "%s: entry %s at %s\n", r.plan.Name, entry.View().EntryID, entry.Address())
		}
		<-ctx.Done()
	}
	r.invariantViolations = deployment.InvariantViolations()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	if err := deployment.Shutdown(shutdownCtx); err != nil {
		return auditor.Verdict{}, *result, err
	}
	r.capacityViolations = deployment.CapacityViolations()
	result.TableTransactions = deployment.Table.Transactions.Load()
	result.TableReads = deployment.Table.Reads.Load()
	return audit.Check(deployment.ExecutionLog.Executions()), *result, nil
}

// applyOperatorChanges changes a profile after a third of the run and drains an
// endpoint after half of it. It measures how long each change takes until it is
// in force on every entry.
func (r *deploymentRun) applyOperatorChanges(ctx context.Context, deployment *stager.Deployment, audit *auditor.Auditor, duration time.Duration, result *reporter.DeploymentResult) error {
	time.Sleep(duration / 3)
	profile := tuner.DefaultProfile()
	profile.Name = "festival-peak"
	profile.QueueBound = 4000
	millis, err := r.measureChange(ctx, deployment, http.MethodPut, "/v1/profiles/festival-peak", profile)
	if err != nil {
		return err
	}
	result.ProfileMillis = millis
	time.Sleep(duration / 6)
	drainedHost := requester.HostID(string(r.plan.Sites[0].Name) + "-endpoint-00")
	millis, err = r.measureChange(ctx, deployment, http.MethodPost, "/v1/hosts/"+string(drainedHost)+"/leave", nil)
	if err != nil {
		return err
	}
	result.LeaveMillis = millis
	audit.RecordDrain(drainedHost, time.Now().Add(drainGrace))
	return nil
}

// measureChange sends a change through the balancer and returns the time from
// sending it until it is in force on every entry, in milliseconds.
func (r *deploymentRun) measureChange(ctx context.Context, deployment *stager.Deployment, method, path string, body any) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	sentAt := time.Now()
	var item tuner.Item
	if err := deployment.DoJSON(ctx, method, path, body, &item); err != nil {
		return 0, err
	}
	err := deployment.AwaitRevision(ctx, item.Revision)
	return float64(time.Since(sentAt).Microseconds()) / 1000, err
}

// highestPacking samples the packing of all entries until ctx ends and returns
// the highest.
func highestPacking(ctx context.Context, deployment *stager.Deployment) float64 {
	highest := 0.0
	for {
		for _, entry := range deployment.Entries {
			highest = max(highest, entry.View().Packing)
		}
		select {
		case <-ctx.Done():
			return highest
		case <-time.After(packingInterval):
		}
	}
}

// awaitJobs waits, for at most jobsEndTimeout, until all services run completely
// and all other jobs have ended. It then counts the jobs by state.
func awaitJobs(ctx context.Context, deployment *stager.Deployment, plan stager.Plan) []reporter.JobCount {
	ctx, cancel := context.WithTimeout(ctx, jobsEndTimeout)
	defer cancel()
	counts := make(map[requester.JobState]int)
	_ = deployment.Await(ctx, "jobs ended", func() bool {
		clear(counts)
		ended := true
		for _, site := range plan.Sites {
			var statuses []requester.JobStatus
			if deployment.DoJSON(ctx, http.MethodGet, "/v1/jobs?DataCentre="+string(site.Name), nil, &statuses) != nil {
				return false
			}
			for _, status := range statuses {
				counts[status.State]++
				ended = ended && (status.State.Ended() || status.Shape == requester.ShapeService && status.Running == status.Tasks)
			}
		}
		return ended
	})
	var list []reporter.JobCount
	for state := requester.JobPending; state <= requester.JobCancelled; state++ {
		if counts[state] > 0 {
			list = append(list, reporter.JobCount{State: state, Jobs: counts[state]})
		}
	}
	return list
}
