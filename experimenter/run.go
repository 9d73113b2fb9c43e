package experimenter

import (
	"context"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"kumquatstall/auditor"
	"kumquatstall/decider"
	"kumquatstall/loader"
	"kumquatstall/requester"
	"kumquatstall/stager"
	"kumquatstall/tuner"
)

// Run is the result of a scenario under one policy.
type Run struct {
	Policy string
	// Packing is the mean of the packing samples above 0, that is, while any
	// task ran.
	Packing float64
	// Goodput is the number of calls answered per second.
	Goodput float64
	Classes []auditor.Class
	// Overloaded counts how often the capacity of an endpoint or worker was
	// exceeded.
	Overloaded int64
	// Violations counts the invariant violations that entries detected, and those
	// that the verdict counts.
	Violations int64
	Findings   []auditor.Finding
	Jobs       JobResult
	// ControlCoreShare is the processor time that the process used per second,
	// in cores. It includes the entries, the stand-ins and the load generator.
	ControlCoreShare float64
	TablePerSecond   TableRates
	// WaitSamples, PackingSamples and StartedAt are the data of the plots.
	WaitSamples    []auditor.WaitSample `json:"-"`
	PackingSamples []PackingSample      `json:"-"`
	StartedAt      time.Time            `json:"-"`
}

// JobResult counts jobs by outcome. Submitted counts the accepted jobs, Open those
// that had not ended jobsTimeout after the load and the faults. Services are not
// among the latter, because they do not end by themselves.
type JobResult struct {
	Submitted int
	Succeeded int
	Failed    int
	Cancelled int
	Open      int
	// TasksPlaced counts the placements of tasks on workers, TasksLapsed the
	// tasks whose worker's lease expired, of all jobs.
	TasksPlaced int64
	TasksLapsed int64
}

// TableRates are the rates of requests to the table service, per second.
type TableRates struct {
	Transactions float64
	Reads        float64
}

// PackingSample is the packing at one time: the mean over all workers of the
// share of a worker that is allocated to running tasks, in its dominant
// dimension, 0 to 1.
type PackingSample struct {
	At      time.Time
	Packing float64
}

// Report is the result of a scenario under one or more policies.
type Report struct {
	Scenario string
	Seed     uint64
	Scale    float64
	Seconds  int64
	Runs     []Run
}

// Timeouts and intervals of a run.
const (
	readyTimeout   = 60 * time.Second
	changeTimeout  = 10 * time.Second
	drainTimeout   = 60 * time.Second
	jobsTimeout    = 10 * time.Second
	sampleInterval = 100 * time.Millisecond
)

// activeRun is a run in progress.
type activeRun struct {
	scenario     *Scenario
	policy       Policy
	deployment   *stager.Deployment
	audit        *auditor.Auditor
	load         *loader.Loader
	startedAt    time.Time
	replacements int
	entryTotals  entryCounters
}

// entryCounters sums counters of entries. Those of an entry are added just
// before it is shut down or killed.
type entryCounters struct {
	violations int64
	placed     int64
	expired    int64
}

func (e *entryCounters) add(stats decider.Stats) {
	e.violations += stats.Violations
	e.placed += stats.TasksPlaced
	e.expired += stats.TasksLapsed
}

// Execute runs a scenario under a policy on a new deployment, which it closes.
func Execute(ctx context.Context, scenario *Scenario, policy Policy, seed uint64, log zerolog.Logger) (Run, error) {
	deployment, err := stager.Start(scenario.plan(), log)
	if err != nil {
		return Run{}, err
	}
	defer deployment.Close()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := deployment.AwaitReady(readyCtx); err != nil {
		return Run{}, err
	}
	r := &activeRun{scenario: scenario, policy: policy, deployment: deployment, audit: auditor.New()}
	if err := r.setPolicy(ctx); err != nil {
		return Run{}, err
	}
	return r.run(ctx, seed)
}

// setPolicy stores the policy's profile as the default profile and waits until
// it is in force on every entry.
func (r *activeRun) setPolicy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	profile := r.policy.Profile
	profile.Name = tuner.DefaultProfileName
	var item tuner.Item
	if err := r.deployment.DoJSON(ctx, http.MethodPut, "/v1/profiles/"+profile.Name, profile, &item); err != nil {
		return err
	}
	return r.deployment.AwaitRevision(ctx, item.Revision)
}

// run generates the load, injects the faults and returns the result.
func (r *activeRun) run(ctx context.Context, seed uint64) (Run, error) {
	result := Run{Policy: r.policy.Name, StartedAt: time.Now()}
	r.startedAt = result.StartedAt
	r.load = loader.New(r.deployment.Balancer.Address(), r.audit, r.scenario.Name)
	until := r.startedAt.Add(time.Duration(r.scenario.Seconds) * time.Second)
	writes, reads := r.deployment.Table.Transactions.Load(), r.deployment.Table.Reads.Load()
	cpuTimeBefore := cpuTime()
	sampleCtx, stopSampling := context.WithCancel(ctx)
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		result.PackingSamples = r.samplePacking(sampleCtx)
	}()
	faults := make(chan error, 1)
	go func() { faults <- r.injectFaults(ctx) }()
	r.load.Run(ctx, r.scenario.workload(!r.policy.WithoutFloods), seed, until)
	stopSampling()
	<-sampled
	seconds := time.Since(r.startedAt).Seconds()
	result.ControlCoreShare = (cpuTime() - cpuTimeBefore).Seconds() / seconds
	result.TablePerSecond.Transactions = float64(r.deployment.Table.Transactions.Load()-writes) / seconds
	result.TablePerSecond.Reads = float64(r.deployment.Table.Reads.Load()-reads) / seconds
	if err := <-faults; err != nil {
		return result, err
	}
	result.Jobs = r.countJobs(ctx)
	return result, r.shutdownAndAudit(ctx, &result, seconds)
}

// shutdownAndAudit shuts the deployment down gracefully, audits the run and
// completes the result. Seconds is how long the load lasted.
func (r *activeRun) shutdownAndAudit(ctx context.Context, result *Run, seconds float64) error {
	for _, entry := range r.deployment.Entries {
		r.entryTotals.add(entry.View().Stats)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	if err := r.deployment.Shutdown(ctx); err != nil {
		return err
	}
	verdict := r.audit.Check(r.deployment.ExecutionLog.Executions())
	result.Classes = verdict.Classes
	result.Findings = verdict.Findings
	result.Overloaded = r.deployment.CapacityViolations()
	result.Violations = r.entryTotals.violations + verdict.Violations()
	result.Jobs.TasksPlaced = r.entryTotals.placed
	result.Jobs.TasksLapsed = r.entryTotals.expired
	result.WaitSamples = r.audit.WaitSamples()
	for _, class := range verdict.Classes {
		result.Goodput += float64(class.Answered) / seconds
	}
	busy := 0
	for _, sample := range result.PackingSamples {
		if sample.Packing > 0 {
			result.Packing += sample.Packing
			busy++
		}
	}
	result.Packing /= float64(max(1, busy))
	return nil
}

// samplePacking samples the packing over all data centres until ctx ends.
func (r *activeRun) samplePacking(ctx context.Context) []PackingSample {
	var samples []PackingSample
	for {
		now := time.Now()
		sum := 0.0
		for _, worker := range r.deployment.Workers {
			sum += worker.AllocatedShare(now)
		}
		samples = append(samples, PackingSample{At: now, Packing: sum / float64(max(1, len(r.deployment.Workers)))})
		select {
		case <-ctx.Done():
			return samples
		case <-time.After(sampleInterval):
		}
	}
}

// countJobs waits until all jobs but services have ended, for at most
// jobsTimeout, and counts the jobs by outcome.
func (r *activeRun) countJobs(ctx context.Context) JobResult {
	result := JobResult{Submitted: len(r.load.Jobs())}
	ctx, cancel := context.WithTimeout(ctx, jobsTimeout)
	defer cancel()
	_ = r.deployment.Await(ctx, "jobs ended", func() bool {
		result = JobResult{Submitted: result.Submitted}
		for _, site := range r.deployment.Plan.Sites {
			var statuses []requester.JobStatus
			if r.deployment.DoJSON(ctx, http.MethodGet, "/v1/jobs?DataCentre="+string(site.Name), nil, &statuses) != nil {
				return false
			}
			for _, status := range statuses {
				result.count(status)
			}
		}
		return result.Open == 0
	})
	return result
}

// count adds one job.
func (j *JobResult) count(status requester.JobStatus) {
	switch status.State {
	case requester.JobSucceeded:
		j.Succeeded++
	case requester.JobFailed:
		j.Failed++
	case requester.JobCancelled:
		j.Cancelled++
	default:
		if status.Shape != requester.ShapeService {
			j.Open++
		}
	}
}

// refreshBalancer sets the balancer's entries to those of the deployment.
func (r *activeRun) refreshBalancer() {
	addresses := make([]netip.AddrPort, 0, len(r.deployment.Entries))
	for _, entry := range r.deployment.Entries {
		addresses = append(addresses, entry.Address())
	}
	r.deployment.Balancer.SetEntries(addresses)
}

// cpuTime returns the processor time that this process has used so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
