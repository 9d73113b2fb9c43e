package decider

import (
	"runtime"
	"strconv"
	"strings"
	"testing"
)

// recorderTB records a failure instead of ending the test.
type recorderTB struct {
	testing.TB
	failed  bool
	message string
}

func (r *recorderTB) Helper()             {}
func (r *recorderTB) Log(...any)          {}
func (r *recorderTB) Logf(string, ...any) {}

func (r *recorderTB) Errorf(format string, arguments ...any) {
	r.failed = true
	if r.message == "" {
		r.message = format
	}
}

func (r *recorderTB) Fatalf(format string, arguments ...any) {
	r.failed = true
	if len(arguments) > 0 {
		if text, ok := arguments[0].(string); ok && r.message == "" {
			r.message = strings.SplitN(text, "\n", 2)[0]
		}
	}
	runtime.Goexit()
}

// TestMutationsAreCaught shows that the checks of the randomised runs can
// fail: each broken rule is found within a few seeds.
func TestMutationsAreCaught(t *testing.T) {
	mutations := []struct {
		name   string
		mutate mutation
	}{
		{"table ignores conditions", mutationTableIgnoresConditions},
		{"intent is not stored", mutationIntentNotStored},
		{"promises are forged", mutationPromisesForged},
		{"endpoint reports nothing running", mutationStatusEmpty},
		{"workers keep lapsed tasks", mutationWorkersKeepLapsedTasks},
		{"calls seem idempotent", mutationCallsSeemIdempotent},
		{"calls are sent after the lease", mutationSendAfterLease},
		{"a lost connection counts as not sent", mutationLostMeansNotSent},
	}
	const seeds, steps = 40, 500
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seeds; seed++ {
				if caught, message := catches(t, seed, steps, m.mutate); caught {
					t.Logf("seed %s: %s", strconv.FormatUint(seed, 10), message)
					return
				}
			}
			t.Errorf("not caught within %d seeds", seeds)
		})
	}
}

// catches reports whether a randomised run with a broken rule fails.
func catches(t *testing.T, seed uint64, steps int, mutate mutation) (bool, string) {
	record := &recorderTB{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		runRandomised(record, seed, steps, mutate)
	}()
	<-done
	return record.failed, record.message
}
