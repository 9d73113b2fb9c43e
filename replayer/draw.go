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

// drawnJob is a job with what its caller knows and what only the workers do.
type drawnJob struct {
	spec      scheduler.Job
	kind      *Kind
	arrivesAt time.Time
	// cancelAt is when its caller cancels it; zero for never.
	cancelAt time.Time
	hopeless bool
	// work is for how long each task of a step works on a sound worker.
	work []time.Duration
	// coreSeconds is the work of all its tasks.
	coreSeconds float64
	// worth and late are what it earns in time and late, inTime and stillLate
	// how long it may take for that.
	worth, late       float64
	inTime, stillLate time.Duration
	// width is the number of tasks of its widest step.
	width   int
	endedAt time.Time
	state   scheduler.State
}

// draw returns the jobs of a pattern in the order of their arrival. They
// depend on nothing but pattern and seed.
func draw(pattern *Pattern, seed uint64, start time.Time) []*drawnJob {
	var jobs []*drawnJob
	for i := range pattern.Kinds {
		kind := &pattern.Kinds[i]
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		ofKind := drawKind(pattern, kind, random, start)
		scaleWorth(ofKind)
		jobs = append(jobs, ofKind...)
	}
	slices.SortStableFunc(jobs, func(a, b *drawnJob) int { return a.arrivesAt.Compare(b.arrivesAt) })
	return jobs
}

func drawKind(pattern *Pattern, kind *Kind, random *rand.Rand, start time.Time) []*drawnJob {
	var jobs []*drawnJob
	// Arrivals are drawn at the highest rate and thinned to that of the moment.
	highest := 1.0
	for _, surge := range pattern.Surges {
		highest = max(highest, surge.Factor)
	}
	for at := 0.0; kind.PerSecond > 0; {
		at += random.ExpFloat64() / (kind.PerSecond * highest)
		if at >= pattern.Seconds {
			break
		}
		if random.Float64()*highest >= pattern.factor(kind, at) {
			continue
		}
		j := drawJob(kind, random)
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

// factor is how many times its usual rate a kind arrives with.
func (p *Pattern) factor(kind *Kind, at float64) float64 {
	factor := 1.0
	for _, surge := range p.Surges {
		if surge.Kind == kind.Name && at >= surge.AtSeconds && at < surge.AtSeconds+surge.ForSeconds {
			factor *= surge.Factor
		}
	}
	return factor
}

func drawJob(kind *Kind, random *rand.Rand) *drawnJob {
	j := &drawnJob{kind: kind, hopeless: random.Float64() < kind.HopelessShare}
	j.spec.Queue = kind.Name
	j.spec.Policy = scheduler.Policy{
		Service: service, Priority: kind.Priority, MaxAttempts: kind.Attempts,
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
		work := kind.WorkMillis.draw(random)
		s := scheduler.Step{
			Count:          max(1, int(math.Round(kind.Width.draw(random)))),
			Need:           requester.Resources{MilliCores: int64(kind.MilliCores.draw(random)), MemoryMB: int64(kind.MemoryMB.draw(random))},
			EstimateMillis: int64(work * math.Exp(kind.EstimateOff*random.NormFloat64())),
			Gang:           gang,
		}
		if number > 0 {
			s.After = []int{number - 1}
		}
		j.spec.Steps = append(j.spec.Steps, s)
		j.work = append(j.work, time.Duration(work*float64(time.Millisecond)))
		j.width = max(j.width, s.Count)
		j.coreSeconds += float64(s.Count) * float64(s.Need.MilliCores) * work / 1e6
		if kind.AdviceMillis > 0 {
			work += kind.AdviceMillis + chainAdvised*kind.AdviceWorkerMillis
		}
		j.inTime += time.Duration(kind.Stretch * work * float64(time.Millisecond))
	}
	j.inTime += time.Duration(kind.SlackMillis) * time.Millisecond
	j.stillLate = lateFactor * j.inTime
	return j
}

// Part of what a job is worth is the same for all of its kind, the rest goes
// by its work, up to a bound.
const (
	fixedWorth = 0.3
	workWorth  = 0.7
	mostWorth  = 4
)

func scaleWorth(jobs []*drawnJob) {
	total := 0.0
	for _, j := range jobs {
		total += j.coreSeconds
	}
	for _, j := range jobs {
		scale := min(mostWorth, fixedWorth+workWorth*j.coreSeconds*float64(len(jobs))/total)
		j.worth, j.late = scale*j.kind.Worth, scale*j.kind.Late
	}
}

func (s *LogNormal) draw(random *rand.Rand) float64 {
	// The logarithm of the spread's square moves the mean, which is undone.
	value := s.Mean * math.Exp(s.Spread*random.NormFloat64()-s.Spread*s.Spread/2)
	if s.Most > 0 {
		value = min(value, s.Most)
	}
	return value
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// bound is what an ideal scheduler could earn at most: work is split at will,
// the most valuable first, until the processors have been used up to the end.
func bound(pattern *Pattern, jobs []*drawnJob) float64 {
	capacity := float64(pattern.Workers) * float64(pattern.MilliCores) / 1000 * (pattern.Seconds + pattern.SettleSeconds)
	owed := slices.Clone(jobs)
	slices.SortStableFunc(owed, func(a, b *drawnJob) int {
		return cmp.Compare(b.worth/b.coreSeconds, a.worth/a.coreSeconds)
	})
	earned := 0.0
	for _, j := range owed {
		if !j.owed() {
			continue
		}
		share := min(1, capacity/j.coreSeconds)
		earned += share * j.worth
		capacity -= share * j.coreSeconds
	}
	return earned
}

// owed reports whether a job counts: its caller wants it, and it can be done.
func (j *drawnJob) owed() bool { return j.cancelAt.IsZero() && !j.hopeless }
