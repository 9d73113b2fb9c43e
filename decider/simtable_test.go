package decider

import (
	"slices"
	"strings"
	"time"

	"kumquatstall/keeper"
)

// The table of a simulation holds the rows in memory. It may be down for all nodes
// or out of reach of one, and it may carry out a transaction and lose the response.

func (s *simulation) tableReachable(n *node) bool { return !s.tableDown && !n.tableUnreachable }

// transact behaves as the table client does: it retries a transaction until it has
// a result or its deadline has passed. sent is true if an earlier try may have
// taken effect.
func (s *simulation) transact(n *node, command Transact, sent bool) {
	incarnation := n.incarnation
	if s.mutate == mutationWriteAheadNotStored && strings.HasPrefix(command.Transaction.Conditions[0].Key, "intent/") {
		s.post(n, s.delay(), TransactDone{ID: command.ID, Result: keeper.TransactResult{Committed: true, Revision: 1}})
		return
	}
	s.after(s.delay(), func() {
		if s.clock(n).After(command.Deadline) {
			failure := TableNotApplied
			if sent {
				failure = TableUnresolved
			}
			s.deliver(n, incarnation, TransactDone{ID: command.ID, Failure: failure})
			return
		}
		if !s.tableReachable(n) {
			s.after(50*time.Millisecond, func() { s.transact(n, command, sent) })
			return
		}
		result := s.apply(command.Transaction)
		if s.chance(s.faults.lostResponse) {
			s.after(100*time.Millisecond, func() { s.transact(n, command, true) })
			return
		}
		if sent && !result.Committed && s.alreadyWritten(command.Transaction) {
			result = keeper.TransactResult{Committed: true, Revision: s.rowRevision(command.Transaction.Writes[0].Key)}
		}
		s.after(s.delay(), func() {
			s.deliver(n, incarnation, TransactDone{ID: command.ID, Result: result})
		})
	})
}

func (s *simulation) apply(transaction keeper.Transaction) keeper.TransactResult {
	if s.mutate == mutationTableIgnoresConditions {
		conditions := slices.Clone(transaction.Conditions)
		for i := range conditions {
			conditions[i].Revision = s.rowRevision(conditions[i].Key)
		}
		transaction.Conditions = conditions
	}
	return s.table.Apply(transaction)
}

func (s *simulation) rowRevision(key string) int64 {
	rows := s.table.Read(keeper.ReadRequest{Keys: []string{key}}).Rows
	if len(rows) == 0 {
		return 0
	}
	return rows[0].Revision
}

// alreadyWritten reports whether the rows have the values that a transaction
// writes, as after an earlier try whose response was lost.
func (s *simulation) alreadyWritten(transaction keeper.Transaction) bool {
	for _, write := range transaction.Writes {
		rows := s.table.Read(keeper.ReadRequest{Keys: []string{write.Key}}).Rows
		if write.Delete != (len(rows) == 0) || len(rows) == 1 && string(rows[0].Value) != string(write.Value) {
			return false
		}
	}
	return true
}

func (s *simulation) read(n *node, command Read) {
	incarnation := n.incarnation
	s.after(s.delay(), func() {
		done := ReadDone{ID: command.ID, Failed: !s.tableReachable(n)}
		if !done.Failed {
			done.Result = s.table.Read(command.Request)
		}
		s.after(s.delay(), func() { s.deliver(n, incarnation, done) })
	})
}
