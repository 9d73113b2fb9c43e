package keeper

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// fakeTable is an in-memory Table. It commits the first dropResponses transactions
// but returns an error instead of their results.
type fakeTable struct {
	mu            sync.Mutex
	rows          map[string]Row
	revision      int64
	dropResponses int
	requests      int
}

func (t *fakeTable) Transact(_ context.Context, transaction Transaction) (TransactResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	var conflicts []Row
	for _, condition := range transaction.Conditions {
		row := t.rows[condition.Key]
		row.Key = condition.Key
		if row.Revision != condition.Revision {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return TransactResult{Conflicts: conflicts}, nil
	}
	t.revision++
	for _, write := range transaction.Writes {
		t.rows[write.Key] = Row{Key: write.Key, Value: write.Value, Revision: t.revision}
	}
	if t.dropResponses > 0 {
		t.dropResponses--
		return TransactResult{}, errors.New("no response received")
	}
	return TransactResult{Committed: true, Revision: t.revision}, nil
}

func (t *fakeTable) Read(context.Context, ReadRequest) (ReadResult, error) {
	return ReadResult{}, errors.New("unexpected read: fakeTable has no reads")
}

type transactOutcome struct {
	result TransactResult
	err    error
}

func insert(key, value string) Transaction {
	return Transaction{Conditions: []Condition{{Key: key}}, Writes: []Write{{Key: key, Value: []byte(value)}}}
}

// run submits transactions concurrently and returns their results in order.
func run(client *Client, transactions ...Transaction) []transactOutcome {
	outcomes := make([]transactOutcome, len(transactions))
	var group sync.WaitGroup
	for i, transaction := range transactions {
		group.Add(1)
		client.Transact(transaction, time.Now().Add(time.Minute), func(result TransactResult, err error) {
			outcomes[i] = transactOutcome{result, err}
			group.Done()
		})
	}
	group.Wait()
	return outcomes
}

func startClient(t *testing.T, table *fakeTable) *Client {
	t.Helper()
	client := Start(table, Options{WritesPerSecond: 10_000})
	t.Cleanup(func() {
		client.Close()
		<-client.Done()
		goleak.VerifyNone(t)
	})
	return client
}

// TestLostAnswerIsResolved checks that a transaction that committed without a
// response is reported as committed at its first revision.
func TestLostAnswerIsResolved(t *testing.T) {
	is := is.New(t)
	table := &fakeTable{rows: make(map[string]Row), dropResponses: 2}
	client := startClient(t, table)
	outcome := run(client, insert("k", "mine"))[0]
	is.NoErr(outcome.err)
	is.True(outcome.result.Committed)
	is.Equal(outcome.result.Revision, int64(1))
}

// TestConflictSparesTheGroup checks that a conflicting transaction does not fail
// the ones merged into the same request.
func TestConflictSparesTheGroup(t *testing.T) {
	is := is.New(t)
	table := &fakeTable{rows: map[string]Row{"taken": {Key: "taken", Value: []byte("theirs"), Revision: 7}}, revision: 7}
	client := startClient(t, table)
	outcomes := run(client, insert("a", "1"), insert("taken", "mine"), insert("b", "2"))
	is.True(outcomes[0].result.Committed)
	is.True(!outcomes[1].result.Committed)
	is.Equal(outcomes[1].result.Conflicts[0].Revision, int64(7))
	is.True(outcomes[2].result.Committed)
}

// TestGroupsManyTransactions checks that queued transactions are merged into few
// requests, also after a request without a response.
func TestGroupsManyTransactions(t *testing.T) {
	is := is.New(t)
	table := &fakeTable{rows: make(map[string]Row), dropResponses: 1}
	client := startClient(t, table)
	var transactions []Transaction
	for i := range 100 {
		transactions = append(transactions, insert(string(rune('a'+i)), "v"))
	}
	for _, outcome := range run(client, transactions...) {
		is.True(outcome.result.Committed)
	}
	is.True(table.requests < len(transactions)/2)
}

// limitedTable refuses as invalid a transaction with a value that is longer than most.
type limitedTable struct {
	fakeTable
	most int
}

func (t *limitedTable) Transact(ctx context.Context, transaction Transaction) (TransactResult, error) {
	for _, write := range transaction.Writes {
		if len(write.Value) > t.most {
			t.mu.Lock()
			t.requests++
			t.mu.Unlock()
			return TransactResult{}, errors.Mark(errors.Mark(errors.New("value is too long"), ErrInvalid), ErrNotApplied)
		}
	}
	return t.fakeTable.Transact(ctx, transaction)
}

// transactAll queues transactions at once and returns their outcomes.
func transactAll(c *Client, timeout time.Duration, transactions ...Transaction) []transactOutcome {
	outcomes := make([]transactOutcome, len(transactions))
	var group sync.WaitGroup
	for i, transaction := range transactions {
		group.Add(1)
		c.Transact(transaction, time.Now().Add(timeout), func(result TransactResult, err error) {
			outcomes[i] = transactOutcome{result, err}
			group.Done()
		})
	}
	group.Wait()
	return outcomes
}

// TestInvalidTransactionSparesTheGroup guards against a transaction that the service
// refuses as invalid and that is sent until its deadline, with all that share the request.
func TestInvalidTransactionSparesTheGroup(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	table := &limitedTable{fakeTable: fakeTable{rows: make(map[string]Row)}, most: 3}
	client := Start(table, Options{WritesPerSecond: 10_000})
	began := time.Now()
	outcomes := transactAll(client, 5*time.Second, insert("a", "x"), insert("b", "too long"), insert("c", "y"), insert("d", "z"))
	is.True(time.Since(began) < 2*time.Second) // none waits for its deadline
	for i, outcome := range outcomes {
		if i == 1 {
			is.True(errors.Is(outcome.err, ErrInvalid))
			is.True(errors.Is(outcome.err, ErrNotApplied))
			continue
		}
		is.NoErr(outcome.err)
		is.True(outcome.result.Committed)
	}
	is.True(table.requests <= 6)
	client.Close()
	<-client.Done()
}

// TestGroupFitsARequest guards against transactions that each fit and that are merged into
// a request which is larger than the service takes.
func TestGroupFitsARequest(t *testing.T) {
	is := is.New(t)
	value := string(make([]byte, 300))
	var waiting []*pendingTransaction
	for _, key := range []string{"a", "b", "c", "d"} {
		waiting = append(waiting, &pendingTransaction{transaction: insert(key, value)})
	}
	group, rest := splitDisjoint(waiting, Options{MaxTransactionBytes: 1000})
	is.Equal(len(group), 2) // each takes 400 bytes in base64
	is.Equal(len(rest), 2)
	group, _ = splitDisjoint(waiting, Options{MaxTransactionBytes: 100})
	is.Equal(len(group), 1)
}
