package keeper

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Transactions with disjoint keys share a request, as far as its limits go. If the service
// rejects or refuses the request, that is resolved for each of them.

// commitGroup merges waiting transactions with disjoint keys into one request,
// sends it and returns the transactions still unresolved.
func (c *Client) commitGroup(ctx context.Context, waiting []*pendingTransaction) ([]*pendingTransaction, error) {
	group, rest := splitDisjoint(waiting, c.options)
	var merged Transaction
	for _, pending := range group {
		merged.Conditions = append(merged.Conditions, pending.transaction.Conditions...)
		merged.Writes = append(merged.Writes, pending.transaction.Writes...)
	}
	callCtx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	result, err := c.table.Transact(callCtx, merged)
	c.options.Observe(OperationTransact, err)
	if errors.Is(err, ErrInvalid) {
		return append(resolveInvalid(group, err), rest...), nil
	}
	if err != nil {
		for _, pending := range group {
			pending.inDoubt = pending.inDoubt || !errors.Is(err, ErrNotApplied)
		}
		return append(group, rest...), err
	}
	if result.Committed {
		for _, pending := range group {
			pending.done(TransactResult{Committed: true, Revision: result.Revision}, nil)
		}
		return rest, nil
	}
	for _, pending := range group {
		pending.inDoubt = pending.inDoubt || result.Resent
	}
	return append(resolveConflicts(group, result.Conflicts), rest...), nil
}

// resolveConflicts completes the transactions whose conditions failed and returns
// the others, which were rejected only because they shared the request. An
// in-doubt transaction whose writes are already in the table has committed.
func resolveConflicts(group []*pendingTransaction, conflicts []Row) []*pendingTransaction {
	current := make(map[string]Row, len(conflicts))
	for _, row := range conflicts {
		current[row.Key] = row
	}
	var unresolved []*pendingTransaction
	for _, pending := range group {
		conflicting := conflictsOf(pending.transaction, current)
		switch {
		case len(conflicting) == 0:
			unresolved = append(unresolved, pending)
		case pending.inDoubt && alreadyApplied(pending.transaction, current):
			pending.done(TransactResult{Committed: true, Revision: current[pending.transaction.Writes[0].Key].Revision}, nil)
		default:
			pending.done(TransactResult{Conflicts: conflicting}, nil)
		}
	}
	return unresolved
}

// resolveInvalid completes a transaction that the service has refused as invalid. Of
// several in one request it returns all, to be sent each in one of its own: one of them
// must not fail the others. A transaction that may have been applied before stays
// unresolved.
func resolveInvalid(group []*pendingTransaction, err error) []*pendingTransaction {
	if len(group) > 1 {
		for _, pending := range group {
			pending.alone = true
		}
		return group
	}
	if group[0].inDoubt {
		err = ErrUnresolved
	}
	group[0].done(TransactResult{}, err)
	return nil
}

// conflictsOf returns the rows of current at the transaction's conditions.
func conflictsOf(transaction Transaction, current map[string]Row) []Row {
	var conflicting []Row
	for _, condition := range transaction.Conditions {
		if row, ok := current[condition.Key]; ok {
			conflicting = append(conflicting, row)
		}
	}
	return conflicting
}

// alreadyApplied reports whether the rows hold exactly what the transaction
// writes. For an in-doubt transaction this means that an earlier request has
// applied it.
func alreadyApplied(transaction Transaction, current map[string]Row) bool {
	if len(transaction.Writes) == 0 {
		return false
	}
	for _, write := range transaction.Writes {
		row, ok := current[write.Key]
		if !ok || write.Delete != (row.Revision == 0) || string(row.Value) != string(write.Value) {
			return false
		}
	}
	return true
}

// splitDisjoint returns as group the transactions that share no key with any
// transaction before them and fit one request, and as rest the others in their
// order. A transaction in rest blocks later ones with the same keys, so that
// transactions on a key stay in order. Every write has a condition on its key, so
// the keys of the conditions are sufficient. The first transaction is always in
// the group, even if it exceeds a limit. The sizes of those in rest count too:
// once a limit is exceeded, no later transaction is added to the group.
func splitDisjoint(waiting []*pendingTransaction, limits Options) (group, rest []*pendingTransaction) {
	seenKeys := make(map[string]bool)
	size, bytes := 0, 0
	for _, pending := range waiting {
		size += len(pending.transaction.Conditions) + len(pending.transaction.Writes)
		bytes += pending.transaction.valueBytes()
		exceeds := limits.MaxTransactionSize > 0 && size > limits.MaxTransactionSize || limits.MaxTransactionBytes > 0 && bytes > limits.MaxTransactionBytes
		excluded := len(group) > 0 && (exceeds || pending.alone || group[0].alone)
		for _, condition := range pending.transaction.Conditions {
			excluded = excluded || seenKeys[condition.Key]
		}
		for _, condition := range pending.transaction.Conditions {
			seenKeys[condition.Key] = true
		}
		if excluded {
			rest = append(rest, pending)
		} else {
			group = append(group, pending)
		}
	}
	return group, rest
}
