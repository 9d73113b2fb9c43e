// Package retrier bounds the share of retries among the executions of calls, and
// waits between attempts.
//
// Each trade has a retry budget. A first attempt deposits a fraction of a retry,
// a retry withdraws one. If most calls fail, retries therefore stay a bounded
// share of the load and cannot multiply it.
package retrier

import "kumquatstall/requester"

// maxBalance is the most retries that the budget of a trade may hold.
const maxBalance = 10

// Budgets holds the retry budgets of all trades.
type Budgets struct {
	balances map[requester.Trade]float64
}

// New returns budgets in which every trade has the maximum balance.
func New() *Budgets { return &Budgets{balances: make(map[requester.Trade]float64)} }

// Deposit adds to the budget for a first attempt. ratio is the allowed number of
// retries per first attempt.
func (b *Budgets) Deposit(trade requester.Trade, ratio float64) {
	b.balances[trade] = min(maxBalance, b.balance(trade)+ratio)
}

// TryWithdraw withdraws one retry from the budget. It reports false and withdraws
// nothing if the balance is less than one.
func (b *Budgets) TryWithdraw(trade requester.Trade) bool {
	balance := b.balance(trade)
	if balance < 1 {
		return false
	}
	b.balances[trade] = balance - 1
	return true
}

// balance returns the balance of a trade, which is the maximum until the first
// deposit or withdrawal.
func (b *Budgets) balance(trade requester.Trade) float64 {
	if balance, ok := b.balances[trade]; ok {
		return balance
	}
	return maxBalance
}
