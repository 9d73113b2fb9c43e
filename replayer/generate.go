package replayer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// simulatedJob is a job together with its actual run times, which only the
// simulated workers know, its value and its outcome.
type simulatedJob struct {
	spec      scheduler.Job
	kind      *Kind
	arrivesAt time.Time
	// cancelAt is when the job's submitter cancels it; zero if it does not.
	cancelAt    time.Time
	alwaysFails bool
	// taskTimes holds for each step the run time of a task at normal speed.
	taskTimes []time.Duration
	// coreSeconds is the processor time of all tasks.
	coreSeconds float64
	// The job earns value if it completes within onTimeLimit of its arrival,
	// and lateValue if it completes later but within lateLimit.
	value, lateValue       float64
	onTimeLimit, lateLimit time.Duration
	// width is the number of tasks of its widest step.
	width   int
	endedAt time.Time
	state   scheduler.State
}

// generateJobs returns the jobs of a pattern in order of arrival. They depend
// on the pattern and the seed only.
func generateJobs(pattern *Pattern, seed uint64, start time.Time) []*simulatedJob {
	var jobs []*simulatedJob
	for i := range pattern.Kinds {
		kind := &pattern.Kinds[i]
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		ofKind := generateKind(pattern, kind, random, start)
		scaleValues(ofKind)
		jobs = append(jobs, ofKind...)
	}
	slices.SortStableFunc(jobs, func(a, b *simulatedJob) int { return a.arrivesAt.Compare(b.arrivesAt) })
	return jobs
}

func generateKind(pattern *Pattern, kind *Kind, random *rand.Rand, start time.Time) []*simulatedJob {
	var jobs []*simulatedJob
	// Arrivals are drawn at the peak rate and thinned to the current rate.
	peakFactor := 1.0
	for _, surge := range pattern.Surges {
		peakFactor = max(peakFactor, surge.Factor)
	}
	for at := 0.0; kind.PerSecond > 0; {
		at += random.ExpFloat64() / (kind.PerSecond * peakFactor)
		if at >= pattern.Seconds {
			break
		}
		if random.Float64()*peakFactor >= pattern.arrivalFactor(kind, at) {
			continue
		}
		j := generateJob(kind, random)
		j.arrivesAt = start.Add(seconds(at))
		j.spec.AcceptedAt = j.arrivesAt
		j.spec.JobID = requester.JobID(fmt.Sprintf("%s-%06d", kind.Name, len(jobs)))
		if random.Float64() < kind.CancelledShare {
			j.cancelAt = j.arrivesAt.Add(seconds(2 * random.Float64()))
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// arrivalFactor returns the ratio of a kind's arrival rate to its usual rate at
// a time, in seconds from the start.
func (p *Pattern) arrivalFactor(kind *Kind, at float64) float64 {
	factor := 1.0
	for _, surge := range p.Surges {
		if surge.Kind == kind.Name && at >= surge.AtSeconds && at < surge.AtSeconds+surge.ForSeconds {
			factor *= surge.Factor
		}
	}
	return factor
}

func generateJob(kind *Kind, random *rand.Rand) *simulatedJob {
	j := &simulatedJob{kind: kind, alwaysFails: random.Float64() < kind.HopelessShare}
	j.spec.Queue = kind.Name
	j.spec.Policy = scheduler.Policy{
		Service: serviceName, Priority: kind.Priority, MaxAttempts: kind.Attempts,
		Stretch: kind.Stretch, ObjectiveMillis: kind.SlackMillis,
	}
	if kind.AdviceMillis > 0 {
		j.spec.Advice = &scheduler.Advice{DecideMillis: kind.AdviceMillis, WorkerMillis: kind.AdviceWorkerMillis, ValidMillis: kind.TicketMillis}
	}
	gang := random.Float64() < kind.GangShare
	count := int(kind.Steps)
	if random.Float64() < kind.Steps-float64(count) {
		count++
	}
	for number := range count {
		work := kind.WorkMillis.sample(random)
		s := scheduler.Step{
			Count:          max(1, int(math.Round(kind.Width.sample(random)))),
			Need:           requester.Resources{MilliCores: int64(kind.MilliCores.sample(random)), MemoryMB: int64(kind.MemoryMB.sample(random))},
			EstimateMillis: int64(work * math.Exp(kind.EstimateOff*random.NormFloat64())),
			Gang:           gang,
		}
		if number > 0 {
			s.After = []int{number - 1}
		}
		j.spec.Steps = append(j.spec.Steps, s)
		j.taskTimes = append(j.taskTimes, time.Duration(work*float64(time.Millisecond)))
		j.width = max(j.width, s.Count)
		j.coreSeconds += float64(s.Count) * float64(s.Need.MilliCores) * work / 1e6
		if kind.AdviceMillis > 0 {
			work += kind.AdviceMillis + nominalAdviceWorkers*kind.AdviceWorkerMillis
		}
		j.onTimeLimit += time.Duration(kind.Stretch * work * float64(time.Millisecond))
	}
	j.onTimeLimit += time.Duration(kind.SlackMillis) * time.Millisecond
	j.lateLimit = lateLimitFactor * j.onTimeLimit
	return j
}

// Part of a job's value is the same for all jobs of its kind, and part is
// proportional to its processor time. maxValueScale bounds the sum, as a multiple
// of Worth.
const (
	fixedValueShare = 0.3
	workValueShare  = 0.7
	maxValueScale   = 4
)

// scaleValues sets the values of the jobs of one kind. Each is a multiple of the
// kind's Worth and Late: fixedValueShare, plus workValueShare times the ratio of
// the job's processor time to the mean, at most maxValueScale.
func scaleValues(jobs []*simulatedJob) {
	total := 0.0
	for _, j := range jobs {
		total += j.coreSeconds
	}
	for _, j := range jobs {
		scale := min(maxValueScale, fixedValueShare+workValueShare*j.coreSeconds*float64(len(jobs))/total)
		j.value, j.lateValue = scale*j.kind.Worth, scale*j.kind.Late
	}
}

func (s *LogNormal) sample(random *rand.Rand) float64 {
	// The mean of exp(s*N(0,1)) is exp(s*s/2); subtracting s*s/2 in the exponent
	// makes the mean of the samples Mean.
	value := s.Mean * math.Exp(s.Spread*random.NormFloat64()-s.Spread*s.Spread/2)
	if s.Most > 0 {
		value = min(value, s.Most)
	}
	return value
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// upperBound returns the most that an ideal scheduler could earn: it divides
// work arbitrarily and runs the jobs of the highest value per core-second first,
// until it has used all processor time up to the end of the settling time.
func upperBound(pattern *Pattern, jobs []*simulatedJob) float64 {
	capacity := float64(pattern.Workers) * float64(pattern.MilliCores) / 1000 * (pattern.Seconds + pattern.SettleSeconds)
	byDensity := slices.Clone(jobs)
	slices.SortStableFunc(byDensity, func(a, b *simulatedJob) int {
		return cmp.Compare(b.value/b.coreSeconds, a.value/a.coreSeconds)
	})
	earned := 0.0
	for _, j := range byDensity {
		if !j.counted() {
			continue
		}
		share := min(1, capacity/j.coreSeconds)
		earned += share * j.value
		capacity -= share * j.coreSeconds
	}
	return earned
}

// counted reports whether a job counts in the result: it is not cancelled and
// can succeed.
func (j *simulatedJob) counted() bool { return j.cancelAt.IsZero() && !j.alwaysFails }
