package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// rackWorkers puts the workers of a harness on racks of the given size.
func (h *harness) rackWorkers(size int) {
	var infos []WorkerInfo
	for i, w := range h.core.sortedWorkers {
		info := w.info
		info.Rack = "r" + string(rune('0'+i/size))
		infos = append(infos, info)
	}
	h.list(infos...)
}

// TestRackThatNeverEmpties guards against a gang for one rack that waits for
// ever for a rack on which tasks that last run.
func TestRackThatNeverEmpties(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.rackWorkers(2)
	lasting := lastingStep(4, 2000)
	lasting.AntiAffinity = 1
	h.add("lasting", Policy{Stretch: 9}, lasting)
	is.Equal(len(h.settle()), 4)
	gang := gangOf(3, 4000)
	gang.SameRack = true
	h.add("gang", Policy{Stretch: 9}, gang)
	is.Equal(len(h.settle()), 3)
}

// TestRackThatStaysBusy guards against a gang for one rack that waits for ever
// for a rack on which one task follows another.
func TestRackThatStaysBusy(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.rackWorkers(2)
	busy := stepOf(4, 2000)
	busy.EstimateMillis, busy.AntiAffinity = 60_000, 1
	h.add("busy", Policy{Stretch: 9}, busy)
	is.Equal(len(h.settle()), 4)
	gang := gangOf(3, 4000)
	gang.SameRack = true
	h.add("gang", Policy{Stretch: 9}, gang)
	is.Equal(len(h.settle()), 0) // it waits for a rack at first
	started := 0
	for range 30 {
		started += len(h.advance(100 * time.Millisecond))
	}
	is.Equal(started, 3)
}

// TestRackWithoutAccelerators guards against a gang for one rack that waits for
// ever for a rack whose accelerators, or places for tasks kept apart, do not
// suffice.
func TestRackWithoutAccelerators(t *testing.T) {
	tests := []struct {
		name string
		gang Step
	}{
		{"accelerators", Step{Count: 4, Need: requester.Resources{MilliCores: 1000, Accelerators: 1}, EstimateMillis: 60_000}},
		{"kept apart", Step{Count: 4, Need: requester.Resources{MilliCores: 1000}, EstimateMillis: 60_000, AntiAffinity: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(4)
			h.rackWorkers(2)
			for i := range 4 {
				total := workerTotal
				total.Accelerators = 1
				h.resize(i, total)
			}
			gang := test.gang
			gang.Gang, gang.SameRack = true, true
			h.add("gang", Policy{Stretch: 9}, gang)
			is.Equal(len(h.settle()), 4)
		})
	}
}
