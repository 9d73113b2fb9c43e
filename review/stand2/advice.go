//go:build review2

package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// adviser is the service at `advice` in the settings. It handles one call at a time for
// each calling machine, in turn; each entry has a listener of its own.
type adviser struct {
	decide, each, valid time.Duration
	// good is the share of the minions that may run a step.
	good    float64
	mu      sync.Mutex
	tickets map[string]time.Time
	calls   int
}

func newAdviser(decide, each, valid time.Duration, good float64) *adviser {
	return &adviser{decide: decide, each: each, valid: valid, good: good, tickets: make(map[string]time.Time)}
}

func (a *adviser) allows(step, minion string) bool {
	h := fnv.New32a()
	_, _ = io.WriteString(h, step+" "+minion)
	return float64(h.Sum32()%1000) < 1000*a.good
}

// handler serves one calling machine.
func (a *adviser) handler() http.Handler {
	var turn sync.Mutex
	var waiting sync.Mutex
	queued := 0
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		var call struct {
			Step    string   `cbor:"step"`
			Workers []string `cbor:"workers"`
		}
		if err != nil || r.URL.Path != "/api/advise" || cbor.Unmarshal(body, &call) != nil || len(call.Workers) > 100 {
			answer(w, http.StatusBadRequest, map[string]string{"error": "expected step and at most 100 workers"})
			return
		}
		waiting.Lock()
		if queued >= 32 {
			waiting.Unlock()
			answer(w, http.StatusTooManyRequests, map[string]string{"error": "32 calls are waiting"})
			return
		}
		queued++
		waiting.Unlock()
		turn.Lock()
		waiting.Lock()
		queued--
		waiting.Unlock()
		time.Sleep(a.decide + time.Duration(len(call.Workers))*a.each)
		turn.Unlock()
		allowed := [][]string{}
		a.mu.Lock()
		a.calls++
		for _, id := range call.Workers {
			if a.allows(call.Step, id) {
				ticket := fmt.Sprintf("%s/%s/%d", call.Step, id, a.calls)
				a.tickets[ticket] = time.Now().Add(a.valid)
				allowed = append(allowed, []string{id, ticket})
			}
		}
		a.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"allowed": allowed, "valid_ms": a.valid.Milliseconds()})
	})
}

// holds reports whether a ticket is valid for a task on a minion now.
func (a *adviser) holds(ticket, task, minion string) bool {
	step := task[:strings.LastIndexByte(task, '.')]
	a.mu.Lock()
	defer a.mu.Unlock()
	until, ok := a.tickets[ticket]
	return ok && strings.HasPrefix(ticket, step+"/"+minion+"/") && time.Now().Before(until)
}
