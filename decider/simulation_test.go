package decider

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"kumquatstall/auditor"
	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/standin"
	"kumquatstall/tuner"
)

// simulation runs several cores under a simulated clock, with fakes for the table,
// the links, the endpoints and the workers. All random choices derive from one
// seed, so that a run can be repeated.
type simulation struct {
	t        testing.TB
	random   *rand.Rand
	now      time.Time
	queue    actionQueue
	sequence int
	trace    []string

	table       *standin.Rows
	tableDown   bool
	nodes       []*node
	hosts       []keeper.Host
	endpoints   map[requester.HostID]*fakeEndpoint
	workers     map[requester.HostID]*standin.Runtime
	executions  []standin.Execution
	overcommits int
	audit       *auditor.Auditor
	pending     map[uint64]*pendingCall
	nextToken   uint64
	calls       int
	answered    int
	accepted    []tuner.Item
	jobs        map[requester.JobID]requester.Job
	// partitioned holds the pairs of nodes that can't reach each other. Their
	// links stay open but deliver no message.
	partitioned map[[2]int]bool
	// workerUnreachableUntil is when a worker becomes reachable again.
	workerUnreachableUntil map[requester.HostID]time.Time
	lives                  hostLives
	faultKinds             []faultKind
	faults                 faultRates
	faultsEnded            bool
	mutate                 mutation
}

// mutation breaks a rule in the fakes, to show that the checks detect it.
type mutation int

const (
	mutationNone mutation = iota
	mutationTableIgnoresConditions
	mutationWriteAheadNotStored
	mutationGrantsForged
	mutationStatusEmpty
	mutationWorkersKeepExpiredTasks
	mutationCallsMarkedIdempotent
	mutationSendAfterLease
	mutationLostConnectionNotSent
	mutationCallsForFormerLives
)

const (
	testDataCentres        = 2
	nodesPerDataCentre     = 3
	endpointsPerDataCentre = 3
	workersPerDataCentre   = 4
	testSlots              = 4
	testShards             = 5
	testTick               = 50 * time.Millisecond
	traceLength            = 400
)

var (
	testTerm   = 2 * time.Second
	testMargin = 200 * time.Millisecond
)

func dataCentreName(index int) requester.DataCentre {
	return requester.DataCentre(fmt.Sprintf("dc%d", index))
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	s := &simulation{
		t:           t,
		random:      rand.New(rand.NewPCG(seed, 7)),
		now:         time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		table:       standin.NewRows(),
		endpoints:   make(map[requester.HostID]*fakeEndpoint),
		workers:     make(map[requester.HostID]*standin.Runtime),
		audit:       auditor.New(),
		pending:     make(map[uint64]*pendingCall),
		jobs:        make(map[requester.JobID]requester.Job),
		partitioned: make(map[[2]int]bool),

		workerUnreachableUntil: make(map[requester.HostID]time.Time),
	}
	s.faultKinds = drawFaultKinds(s.random)
	s.lives = newHostLives(seed)
	for index := range testDataCentres {
		s.addHosts(index)
	}
	for index := range testDataCentres {
		for i := range nodesPerDataCentre {
			n := &node{
				index:      len(s.nodes),
				id:         requester.EntryID(fmt.Sprintf("%s-e%d", dataCentreName(index), i)),
				dataCentre: dataCentreName(index),
				clockSkew:  time.Duration(s.random.IntN(400)-200) * time.Millisecond,
			}
			s.nodes = append(s.nodes, n)
		}
	}
	for _, n := range s.nodes {
		s.startNode(n)
	}
	s.every(300*time.Millisecond, s.openLinks)
	return s
}

// tracef adds a line to the trace. Unless KUMQUATSTALL_TRACE is set, only the
// latest lines are kept.
func (s *simulation) tracef(format string, arguments ...any) {
	if len(s.trace) >= 2*traceLength && os.Getenv("KUMQUATSTALL_TRACE") == "" {
		s.trace = append(s.trace[:0], s.trace[traceLength:]...)
	}
	s.trace = append(s.trace, s.now.Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

// failf ends the test and prints the trace.
func (s *simulation) failf(format string, arguments ...any) {
	s.t.Helper()
	s.t.Fatalf("%s\ntrace:\n%s", fmt.Sprintf(format, arguments...), strings.Join(s.trace, "\n"))
}

func (s *simulation) chance(p float64) bool { return s.random.Float64() < p }
