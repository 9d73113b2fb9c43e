package decider

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// defaultSteps is the length of a randomised run; each step is a tenth of a
// second in which faults may occur.
const defaultSteps = 400

// fromEnvironment reads a number for a randomised run.
func fromEnvironment(t testing.TB, name string, fallback uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: expected a number, not %q", name, text)
	}
	return number
}

// TestRandomisedFaults drives six cores in two data centres through random
// faults and checks from the outside what callers, endpoints, workers and the
// table saw.
func TestRandomisedFaults(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	if os.Getenv("KUMQUATSTALL_SEED") != "" {
		seeds = []uint64{fromEnvironment(t, "KUMQUATSTALL_SEED", 0)}
	}
	steps := int(fromEnvironment(t, "KUMQUATSTALL_STEPS", defaultSteps))
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runRandomised(t, seed, steps, mutationNone)
		})
	}
}

func runRandomised(t testing.TB, seed uint64, steps int, mutate mutation) {
	t.Logf("KUMQUATSTALL_SEED=%d KUMQUATSTALL_STEPS=%d", seed, steps)
	w := newWorld(t, seed)
	w.mutate = mutate
	w.run(6 * time.Second)
	for step := range steps {
		w.step(step)
		w.run(100 * time.Millisecond)
		w.checkConfig()
	}
	w.heal()
	w.run(40 * time.Second)
	w.finish()
	t.Log(w.summary())
}

// step draws the work and the faults of a tenth of a second.
func (w *world) step(step int) {
	for range 3 {
		w.sendCall(w.drawCall(w.calls))
	}
	if w.chance(0.15) {
		w.submitJob(len(w.jobs))
	}
	if w.chance(0.1) {
		w.changeConfig(step)
		w.changeConfig(step + 1_000_000)
	}
	faults := 0
	if w.chance(0.12) {
		faults = 1 + w.random.IntN(2)
	}
	for range faults {
		w.drawFault()
	}
}

// faultKinds is the number of kinds of faults.
const faultKinds = 10

// drawKinds chooses the kinds of faults of a run: all of them, or a few, since
// one kind can hide what another would show.
func drawKinds(random *rand.Rand) []int {
	kinds := random.Perm(faultKinds)
	if random.IntN(3) == 0 {
		return kinds
	}
	return kinds[:1+random.IntN(3)]
}

// drawFault starts one fault and plans its end.
func (w *world) drawFault() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	length := time.Duration(200+w.random.IntN(8000)) * time.Millisecond
	switch w.kinds[w.random.IntN(len(w.kinds))] {
	case 0:
		w.crash(n, length)
	case 1:
		w.cutWorker(length)
	case 2:
		if n.core != nil {
			n.pausedUntil = w.now.Add(length)
			w.note("%s pauses for %s", n.id, length)
		}
	case 3:
		w.storeDown = true
		w.note("store is down for %s", length)
		w.after(length, func() {
			w.storeDown = false
			w.note("store is up")
		})
	case 4:
		n.cutFromDB = true
		w.note("%s is cut from the store for %s", n.id, length)
		w.after(length, func() { n.cutFromDB = false })
	case 5:
		w.cutPair(n, w.nodes[w.random.IntN(len(w.nodes))], length)
	case 6:
		w.cutSite(n.dataCentre, length)
	case 7:
		w.faults = faultRates{
			lostTableAnswer: w.random.Float64() * 0.3,
			lostCallAnswer:  w.random.Float64() * 0.2,
			failedCall:      w.random.Float64() * 0.2,
			notSent:         w.random.Float64() * 0.1,
		}
		w.note("fault rates %+v for %s", w.faults, length)
		w.after(length, func() { w.faults = faultRates{} })
	case 8:
		w.slowEndpoint(length)
	case 9:
		w.drainNode(n, length)
	}
}

func (w *world) crash(n *node, length time.Duration) {
	if n.core == nil {
		return
	}
	w.note("%s dies for %s", n.id, length)
	w.kill(n)
	w.after(length, func() { w.restart(n) })
}

func (w *world) restart(n *node) {
	if n.core == nil {
		w.note("%s starts again", n.id)
		n.pausedUntil = time.Time{}
		w.start(n)
	}
}

func (w *world) drainNode(n *node, length time.Duration) {
	if n.core == nil || n.draining {
		return
	}
	n.draining = true
	w.note("%s starts to shut down", n.id)
	w.post(n, 0, Drain{})
	w.after(length+20*time.Second, func() { w.restart(n) })
}

// cutPair cuts two nodes off from each other. Their link goes silent.
func (w *world) cutPair(a, b *node, length time.Duration) {
	if a == b {
		return
	}
	pair := [2]int{min(a.index, b.index), max(a.index, b.index)}
	w.cut[pair] = true
	w.note("%s and %s are cut off for %s", a.id, b.id, length)
	w.after(length, func() { delete(w.cut, pair) })
}

// cutSite cuts a data centre off from the others and from the store.
func (w *world) cutSite(site requester.DataCentre, length time.Duration) {
	w.note("data centre %s is cut off for %s", site, length)
	for _, a := range w.nodes {
		if a.dataCentre != site {
			continue
		}
		a.cutFromDB = true
		w.after(length, func() { a.cutFromDB = false })
		for _, b := range w.nodes {
			if b.dataCentre != site {
				w.cutPair(a, b, length)
			}
		}
	}
}

// cutWorker cuts a worker off from all entries.
func (w *world) cutWorker(length time.Duration) {
	host := w.hosts[w.random.IntN(len(w.hosts))]
	w.workerCutUntil[host.HostID] = w.now.Add(length)
	w.note("%s is cut off for %s", host.HostID, length)
}

func (w *world) slowEndpoint(length time.Duration) {
	host := w.hosts[w.random.IntN(len(w.hosts))]
	if endpoint, ok := w.endpoints[host.HostID]; ok {
		endpoint.slow = 20
		w.after(length, func() { endpoint.slow = 1 })
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.note("all faults end")
	w.healed = true
	w.storeDown = false
	w.faults = faultRates{}
	clear(w.cut)
	clear(w.workerCutUntil)
	for _, n := range w.nodes {
		n.cutFromDB = false
		n.pausedUntil = w.now
		if n.core == nil {
			w.restart(n)
		}
	}
	for _, endpoint := range w.endpoints {
		endpoint.slow = 1
	}
}

// finish checks what must hold at the end of a run.
func (w *world) finish() {
	w.checkTasks()
	if w.overUses > 0 {
		w.fail("%d times a host was given more than it holds", w.overUses)
	}
	verdict := w.audit.Check(w.ledger)
	for _, finding := range verdict.Findings {
		w.t.Errorf("found: %s", finding)
	}
	if len(verdict.Findings) > 0 {
		w.fail("the audit found %d things", len(verdict.Findings))
	}
	w.checkHealed()
}

// checkHealed verifies that the system serves again once all faults have
// ended: every seat is held, everybody has the newest configuration, jobs have
// ended, and calls are answered.
func (w *world) checkHealed() {
	held := 0
	var head int64
	for _, item := range w.accepted {
		head = max(head, item.Revision)
	}
	for _, n := range w.nodes {
		if n.core == nil {
			w.restart(n)
			w.run(20 * time.Second)
		}
	}
	for _, n := range w.nodes {
		held += len(n.core.leaser.Leases(w.clock(n)))
		if n.core.Config().Head() < head {
			w.fail("%s has configuration %d, accepted was %d", n.id, n.core.Config().Head(), head)
		}
		w.checkAccepted(n)
	}
	if held != testSites*testSeats {
		w.fail("%d of %d seats are held", held, testSites*testSeats)
	}
	w.checkJobsEnded()
	answered, sent := w.answered, 0
	for range 20 {
		w.sendCall(w.drawCall(w.calls))
		sent++
	}
	w.run(15 * time.Second)
	if w.answered < answered+sent {
		w.fail("of %d calls after the faults only %d were answered", sent, w.answered-answered)
	}
}

// checkAccepted verifies that an accepted change is in force or was replaced
// by a later one.
func (w *world) checkAccepted(n *node) {
	for _, accepted := range w.accepted {
		item, ok := n.core.Config().Item(tuner.ItemID{Kind: accepted.Kind, Name: accepted.Name})
		if !ok || item.Revision < accepted.Revision {
			w.fail("%s lost accepted change %d of %s", n.id, accepted.Revision, accepted.Name)
		}
	}
}

func (w *world) checkJobsEnded() {
	for _, n := range w.nodes {
		if n.core.fleet == nil {
			continue
		}
		for _, status := range n.core.fleet.Statuses() {
			if !status.State.Ended() {
				w.fail("job %s has not ended: %+v", status.JobID, status)
			}
		}
	}
}

// summary tells what happened in a run.
func (w *world) summary() string {
	var sum Stats
	for _, n := range w.nodes {
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
	for _, class := range w.audit.Check(nil).Classes {
		outcomes["Answered"] += class.Answered
		outcomes["Refused"] += class.Refused
		outcomes["NotRun"] += class.NotRun
		outcomes["Unknown"] += class.Unknown
		outcomes["Cancelled"] += class.Cancelled
	}
	return fmt.Sprintf("%d calls %v, %d executions, %d jobs, %d changes accepted, last incarnations: %+v",
		w.calls, outcomes, len(w.ledger), len(w.jobs), len(w.accepted), sum)
}
