package decider

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"kumquatstall/leaser"
	"kumquatstall/requester"
	"kumquatstall/standin"
	"kumquatstall/tuner"
)

// Checks of what must hold in a simulation: of the shards after each event, of the
// configuration from time to time, of the tasks at the end. A check that finds a fault
// ends the test; what exceeds a host's capacity is counted, and fails it at the end.

// checkShards verifies that no shard has two holders.
func (s *simulation) checkShards() {
	holders := make(map[leaser.Shard]requester.EntryID)
	for _, n := range s.nodes {
		if n.core == nil {
			continue
		}
		if shards := n.core.shardNames(); shards != n.shards {
			n.shards = shards
			s.tracef("%s holds %s", n.id, shards)
		}
		for _, lease := range n.core.leaser.Leases(s.clock(n)) {
			if other, ok := holders[lease.Seat]; ok {
				s.failf("shard %v is held by both %s and %s", lease.Seat, other, n.id)
			}
			holders[lease.Seat] = n.id
		}
	}
}

// checkTasks verifies that no two runs of a task overlap in time, and counts the
// workers' runs beyond their resources.
func (s *simulation) checkTasks() {
	type key struct {
		job   requester.JobID
		index int
	}
	runs := make(map[key][]standin.TaskRun)
	for _, worker := range s.workers {
		if worker.CapacityViolations() > 0 {
			s.overcommits += int(worker.CapacityViolations())
		}
		for _, run := range worker.Runs(s.now) {
			k := key{run.Task.Job, run.Task.Index}
			runs[k] = append(runs[k], run)
		}
	}
	for k, list := range runs {
		slices.SortFunc(list, func(a, b standin.TaskRun) int { return cmp.Compare(a.StartedAt.UnixNano(), b.StartedAt.UnixNano()) })
		for i := 1; i < len(list); i++ {
			if list[i].StartedAt.Before(list[i-1].EndedAt) {
				s.failf("two runs of task %v overlap: %+v and %+v", k, list[i-1], list[i])
			}
		}
	}
}

// checkConfig verifies that no profile at a node returns to an older revision.
func (s *simulation) checkConfig() {
	for _, n := range s.nodes {
		if n.core == nil {
			continue
		}
		for _, item := range n.core.Config().Items(tuner.ItemProfile) {
			if item.Revision < n.revisions[item.ItemID] {
				s.failf("%s reverted profile %s from revision %d to %d", n.id, item.Name, n.revisions[item.ItemID], item.Revision)
			}
			n.revisions[item.ItemID] = item.Revision
		}
	}
}

// shardNames lists the shards that a core holds as number@epoch, for traces. An x
// marks an extended lease.
func (c *Core) shardNames() string {
	var names strings.Builder
	for _, lease := range c.leaser.Leases(c.now) {
		extended := ""
		if c.leaser.Extended(lease.Seat.Number) {
			extended = "x"
		}
		fmt.Fprintf(&names, "%d@%d%s ", lease.Seat.Number, lease.Epoch, extended)
	}
	return names.String()
}
