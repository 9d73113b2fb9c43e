package decider

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"kumquatstall/tuner"
)

// defaultSteps is the number of steps of a randomised run. A step lasts a tenth of
// a second, in which faults may occur.
const defaultSteps = 400

// numberFromEnvironment returns the number in an environment variable, or fallback
// if the variable is not set.
func numberFromEnvironment(t testing.TB, name string, fallback uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("read %s: got %q instead of a number", name, text)
	}
	return number
}

// TestRandomisedFaults runs six cores in two data centres under random faults and
// checks, from outside the cores, what callers, endpoints, workers and the table
// observe.
func TestRandomisedFaults(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	if os.Getenv("KUMQUATSTALL_SEED") != "" {
		seeds = []uint64{numberFromEnvironment(t, "KUMQUATSTALL_SEED", 0)}
	}
	steps := int(numberFromEnvironment(t, "KUMQUATSTALL_STEPS", defaultSteps))
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runRandomised(t, seed, steps, mutationNone)
		})
	}
}

// runRandomised runs a simulation: 6 s to start up, the steps with calls, jobs,
// changes and faults, 40 s without faults, and the final checks.
func runRandomised(t testing.TB, seed uint64, steps int, mutate mutation) {
	t.Logf("KUMQUATSTALL_SEED=%d KUMQUATSTALL_STEPS=%d", seed, steps)
	s := newSimulation(t, seed)
	s.mutate = mutate
	s.advance(6 * time.Second)
	s.startRebirths()
	for step := range steps {
		s.step(step)
		s.advance(100 * time.Millisecond)
		s.checkConfig()
	}
	s.endFaults()
	s.advance(40 * time.Second)
	s.checkFinal()
	t.Log(s.summary())
}

// step draws the calls, jobs, configuration changes and faults of one step.
func (s *simulation) step(step int) {
	for range 3 {
		s.sendCall(s.drawCall(s.calls))
	}
	if s.chance(0.15) {
		s.submitJob(len(s.jobs))
	}
	if s.chance(0.1) {
		s.changeConfig(step)
		s.changeConfig(step + 1_000_000)
	}
	faults := 0
	if s.chance(0.12) {
		faults = 1 + s.random.IntN(2)
	}
	for range faults {
		s.drawFault()
	}
}

// checkFinal checks a run at its end: no task ran twice at once, no host got more
// than its slots or resources, the audit of all answers has no finding, and the
// cores have recovered.
func (s *simulation) checkFinal() {
	s.checkTasks()
	if s.overcommits > 0 {
		s.failf("a host was given more than its slots or resources %d times", s.overcommits)
	}
	verdict := s.audit.Check(s.executions)
	for _, finding := range verdict.Findings {
		s.t.Errorf("found: %s", finding)
	}
	if len(verdict.Findings) > 0 {
		s.failf("audit: %d findings", len(verdict.Findings))
	}
	s.checkRecovered()
}

// checkRecovered verifies that the cores have recovered after all faults: every
// shard is held, each node has the newest configuration, all jobs have ended, and
// calls are answered.
func (s *simulation) checkRecovered() {
	held := 0
	var head int64
	for _, item := range s.accepted {
		head = max(head, item.Revision)
	}
	for _, n := range s.nodes {
		if n.core == nil {
			s.restart(n)
			s.advance(20 * time.Second)
		}
	}
	for _, n := range s.nodes {
		held += len(n.core.leaser.Leases(s.clock(n)))
		if n.core.Config().Head() < head {
			s.failf("%s has configuration revision %d, expected at least the accepted %d", n.id, n.core.Config().Head(), head)
		}
		s.checkAccepted(n)
	}
	if held != testDataCentres*testShards {
		s.failf("%d of %d shards are held", held, testDataCentres*testShards)
	}
	s.checkJobsEnded()
	answered, sent := s.answered, 0
	for range 20 {
		s.sendCall(s.drawCall(s.calls))
		sent++
	}
	s.advance(15 * time.Second)
	if s.answered < answered+sent {
		s.failf("of %d calls after the faults, only %d were answered", sent, s.answered-answered)
	}
}

// checkAccepted verifies that each accepted change is in force at a node or was
// superseded by a later one.
func (s *simulation) checkAccepted(n *node) {
	for _, accepted := range s.accepted {
		item, ok := n.core.Config().Item(tuner.ItemID{Kind: accepted.Kind, Name: accepted.Name})
		if !ok || item.Revision < accepted.Revision {
			s.failf("%s lacks accepted revision %d of profile %s", n.id, accepted.Revision, accepted.Name)
		}
	}
}

func (s *simulation) checkJobsEnded() {
	for _, n := range s.nodes {
		if n.core.fleet == nil {
			continue
		}
		for _, status := range n.core.fleet.Statuses() {
			if !status.State.Ended() {
				s.failf("job %s has not ended: %+v", status.JobID, status)
			}
		}
	}
}

// summary reports the outcomes of a run. The counters of the cores cover only the
// last incarnation of each.
func (s *simulation) summary() string {
	var sum Stats
	for _, n := range s.nodes {
		if n.core == nil {
			continue
		}
		sum.SeatsTaken += n.core.stats.SeatsTaken
		sum.Retried += n.core.stats.Retried
		sum.IntentsTable += n.core.stats.IntentsTable
		sum.IntentsWitness += n.core.stats.IntentsWitness
		sum.TasksPlaced += n.core.stats.TasksPlaced
		sum.TasksLapsed += n.core.stats.TasksLapsed
	}
	outcomes := make(map[string]int64)
	for _, class := range s.audit.Check(nil).Classes {
		outcomes["Answered"] += class.Answered
		outcomes["Refused"] += class.Refused
		outcomes["NotRun"] += class.NotRun
		outcomes["Unknown"] += class.Unknown
		outcomes["Cancelled"] += class.Cancelled
	}
	return fmt.Sprintf("%d calls %v, %d executions, %d jobs, %d changes accepted, last incarnations: %+v",
		s.calls, outcomes, len(s.executions), len(s.jobs), len(s.accepted), sum)
}
