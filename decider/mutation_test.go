package decider

import (
	"runtime"
	"strconv"
	"strings"
	"testing"
)

// recordingTB records whether a run failed, and its first message, and leaves the
// surrounding test running.
type recordingTB struct {
	testing.TB
	failed  bool
	message string
}

func (r *recordingTB) Helper()             {}
func (r *recordingTB) Log(...any)          {}
func (r *recordingTB) Logf(string, ...any) {}

func (r *recordingTB) Errorf(format string, arguments ...any) {
	r.failed = true
	if r.message == "" {
		r.message = format
	}
}

func (r *recordingTB) Fatalf(format string, arguments ...any) {
	r.failed = true
	if len(arguments) > 0 {
		if text, ok := arguments[0].(string); ok && r.message == "" {
			r.message = strings.SplitN(text, "\n", 2)[0]
		}
	}
	runtime.Goexit()
}

// TestMutationsAreCaught guards against checks that can't fail: for each rule, a
// randomised run in which the fakes break it must fail within a few seeds.
func TestMutationsAreCaught(t *testing.T) {
	mutations := []struct {
		name   string
		mutate mutation
	}{
		{"table ignores conditions", mutationTableIgnoresConditions},
		{"write-ahead record is not stored", mutationWriteAheadNotStored},
		{"grants are forged", mutationGrantsForged},
		{"endpoint reports nothing running", mutationStatusEmpty},
		{"workers keep expired tasks", mutationWorkersKeepExpiredTasks},
		{"calls are marked idempotent", mutationCallsMarkedIdempotent},
		{"calls are sent after the lease expired", mutationSendAfterLease},
		{"a lost connection counts as not sent", mutationLostConnectionNotSent},
		{"endpoints run calls for former lives", mutationCallsForFormerLives},
	}
	const seeds, steps = 40, 500
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seeds; seed++ {
				if caught, message := detects(t, seed, steps, m.mutate); caught {
					t.Logf("seed %s: %s", strconv.FormatUint(seed, 10), message)
					return
				}
			}
			t.Errorf("broken rule was not detected with %d seeds", seeds)
		})
	}
}

// detects reports whether a randomised run with a broken rule fails, and the first
// message of the failure.
func detects(t *testing.T, seed uint64, steps int, mutate mutation) (bool, string) {
	record := &recordingTB{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		runRandomised(record, seed, steps, mutate)
	}()
	<-done
	return record.failed, record.message
}
