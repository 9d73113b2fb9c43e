// Package retrier bounds how many executions are second tries.
//
// Each first attempt earns its trade a fraction of a retry; each retry spends
// one. When most calls fail, retries are thus a bounded share of the load and
// can't multiply it.
package retrier

import "kumquatstall/requester"

// maxSaved bounds the retries that a trade may save up.
const maxSaved = 10

// Budgets holds the retry budgets of all trades.
type Budgets struct {
	saved map[requester.Trade]float64
}

// New returns budgets from which each trade may spend a full saving.
func New() *Budgets { return &Budgets{saved: make(map[requester.Trade]float64)} }

// Deposit counts a first attempt; share is the allowed ratio of retries.
func (b *Budgets) Deposit(trade requester.Trade, share float64) {
	b.saved[trade] = min(maxSaved, b.of(trade)+share)
}

// TryWithdraw takes one retry from the budget and reports whether there was one.
func (b *Budgets) TryWithdraw(trade requester.Trade) bool {
	saved := b.of(trade)
	if saved < 1 {
		return false
	}
	b.saved[trade] = saved - 1
	return true
}

func (b *Budgets) of(trade requester.Trade) float64 {
	if saved, ok := b.saved[trade]; ok {
		return saved
	}
	return maxSaved
}
