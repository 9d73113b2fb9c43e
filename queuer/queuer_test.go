package queuer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kumquatstall/requester"
)

const cost = 10 * time.Millisecond

// TestFloodLeavesOthersTheirShare checks that trades get slot time in proportion
// to their weights while one trade floods the queue, at any urgency.
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	for _, urgency := range []requester.Urgency{requester.UrgencyLow, requester.UrgencyUrgent} {
		t.Run(urgency.String(), func(t *testing.T) {
			is := is.New(t)
			q := New(Policy{Weight: func(trade requester.Trade) float64 {
				if trade == "heavy" {
					return 2
				}
				return 1
			}})
			id := uint64(0)
			push := func(trade requester.Trade, urgency requester.Urgency, count int) {
				for range count {
					id++
					is.True(q.Push(Item{ID: id, Trade: trade, Urgency: urgency, Cost: cost}))
				}
			}
			push("flood", urgency, 5000)
			push("heavy", requester.UrgencyNormal, 400)
			push("light", requester.UrgencyNormal, 200)
			served := make(map[requester.Trade]int)
			for range 800 {
				item, ok := q.Pop(requester.UrgencyLow)
				is.True(ok)
				served[item.Trade]++
			}
			is.True(served["heavy"] >= 380) // half of the slot time, less a quantum
			is.True(served["light"] >= 185) // a quarter
		})
	}
}

// TestUrgentFirstWithFloor checks that, within a trade, calls of low urgency get
// their floor and the urgent ones all other slot time.
func TestUrgentFirstWithFloor(t *testing.T) {
	is := is.New(t)
	policy := Policy{}
	policy.Floors[requester.UrgencyLow] = 0.1
	q := New(policy)
	for id := uint64(1); id <= 1000; id++ {
		is.True(q.Push(Item{ID: id, Trade: "t", Urgency: requester.Urgency(id % 2 * 2), Cost: cost}))
	}
	counts := make(map[requester.Urgency]int)
	for range 400 {
		item, _ := q.Pop(requester.UrgencyLow)
		counts[item.Urgency]++
	}
	is.True(counts[requester.UrgencyLow] >= 36)     // its floor
	is.True(counts[requester.UrgencyUrgent] >= 350) // the rest
}

// TestQueueProperties checks the number and cost of queued calls and the bound
// of each trade under random sequences of operations.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Policy{MaxPerTrade: 20})
		waiting := make(map[uint64]Item)
		next := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				item := Item{
					ID:      next,
					Trade:   requester.Trade(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "trade"))),
					Urgency: requester.Urgency(rapid.IntRange(0, 2).Draw(t, "urgency")),
					Cost:    time.Duration(rapid.IntRange(1, 50).Draw(t, "cost")) * time.Millisecond,
				}
				full := q.TradeLen(item.Trade) >= 20
				if q.Push(item) == full {
					t.Fatalf("push to trade %s, now with %d queued calls, was rejected below the bound or accepted at it", item.Trade, q.TradeLen(item.Trade))
				}
				if !full {
					waiting[item.ID] = item
				}
			},
			"remove": func(t *rapid.T) {
				id := rapid.Uint64Range(0, next+1).Draw(t, "id")
				_, known := waiting[id]
				if q.Remove(id) != known {
					t.Fatalf("remove of call %d did not return %t", id, known)
				}
				delete(waiting, id)
			},
			"pop": func(t *rapid.T) {
				minUrgency := requester.Urgency(rapid.IntRange(0, 2).Draw(t, "minUrgency"))
				item, ok := q.Pop(minUrgency)
				if ok && (waiting[item.ID] != item || item.Urgency < minUrgency) {
					t.Fatalf("pop returned %+v, which is not queued or less urgent than the minimum", item)
				}
				delete(waiting, item.ID)
			},
			"": func(t *rapid.T) {
				var work time.Duration
				for _, item := range waiting {
					work += item.Cost
				}
				if q.Len() != len(waiting) || q.Work() != work {
					t.Fatalf("queue has %d calls of %s, want %d of %s", q.Len(), q.Work(), len(waiting), work)
				}
			},
		})
	})
}

// BenchmarkQueue measures a push and a pop with 530 active trades.
func BenchmarkQueue(b *testing.B) {
	const trades = 530
	q := New(Policy{})
	names := make([]requester.Trade, trades)
	id := uint64(0)
	for i := range names {
		names[i] = requester.Trade(fmt.Sprintf("trade-%d", i))
		for range 10 {
			id++
			q.Push(Item{ID: id, Trade: names[i], Urgency: requester.Urgency(id % 3), Cost: cost})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		item, _ := q.Pop(requester.UrgencyLow)
		id++
		item.ID = id
		q.Push(item)
	}
}
