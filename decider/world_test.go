package decider

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"kumquatstall/auditor"
	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/leaser"
	"kumquatstall/requester"
	"kumquatstall/router"
	"kumquatstall/standin"
	"kumquatstall/tuner"
)

// world drives several cores with a time of its own and fakes at their
// interfaces. Everything in it is drawn from one seed.
type world struct {
	t      testing.TB
	random *rand.Rand
	now    time.Time
	queue  moments
	order  int
	trace  []string

	table     *standin.Rows
	storeDown bool
	nodes     []*node
	hosts     []keeper.Host
	endpoints map[requester.HostID]*fakeEndpoint
	workers   map[requester.HostID]*standin.Runtime
	ledger    []standin.Execution
	overUses  int
	audit     *auditor.Auditor
	pending   map[uint64]*pendingCall
	nextToken uint64
	calls     int
	answered  int
	accepted  []tuner.Item
	jobs      map[requester.JobID]requester.Job
	refused   map[requester.JobID]bool
	// cut holds pairs of nodes that can't reach each other; silent links
	// stay open without carrying anything.
	cut map[[2]int]bool
	// workerCutUntil tells until when a worker can't be reached.
	workerCutUntil map[requester.HostID]time.Time
	kinds          []int
	faults         faultRates
	healed         bool
	mutate         mutation
}

// faultRates are the chances of faults that concern single requests.
type faultRates struct {
	lostTableAnswer float64
	lostCallAnswer  float64
	failedCall      float64
	notSent         float64
}

// mutation breaks a rule in the fakes, to show that the checks find it.
type mutation int

const (
	mutationNone mutation = iota
	mutationTableIgnoresConditions
	mutationIntentNotStored
	mutationPromisesForged
	mutationStatusEmpty
	mutationWorkersKeepLapsedTasks
	mutationCallsSeemIdempotent
	mutationSendAfterLease
	mutationLostMeansNotSent
)

type moment struct {
	at    time.Time
	order int
	do    func()
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return m[i].at.Before(m[j].at) || m[i].at.Equal(m[j].at) && m[i].order < m[j].order
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)   { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// node is one entry host; its core is replaced when the entry is restarted.
type node struct {
	index       int
	id          requester.EntryID
	dataCentre  requester.DataCentre
	core        *Core
	incarnation int64
	skew        time.Duration
	pausedUntil time.Time
	cutFromDB   bool
	wanted      map[requester.EntryID]bool
	links       map[int]int64
	refused     map[int]bool
	draining    bool
	heads       map[tuner.ItemID]int64
	seats       string
}

type fakeEndpoint struct {
	host    keeper.Host
	running map[uint64]requester.RequestID
	next    uint64
	slow    float64
}

type pendingCall struct {
	call   requester.Call
	sentAt time.Time
	node   *node
}

const (
	testSites        = 2
	nodesPerSite     = 3
	endpointsPerSite = 3
	workersPerSite   = 4
	testSlots        = 4
	testSeats        = 5
	testTick         = 50 * time.Millisecond
	traceLength      = 400
)

var (
	testTerm   = 2 * time.Second
	testMargin = 200 * time.Millisecond
)

func siteName(site int) requester.DataCentre { return requester.DataCentre(fmt.Sprintf("dc%d", site)) }

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 7)),
		now:       time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		table:     standin.NewRows(),
		endpoints: make(map[requester.HostID]*fakeEndpoint),
		workers:   make(map[requester.HostID]*standin.Runtime),
		audit:     auditor.New(),
		pending:   make(map[uint64]*pendingCall),
		jobs:      make(map[requester.JobID]requester.Job),
		refused:   make(map[requester.JobID]bool),
		cut:       make(map[[2]int]bool),

		workerCutUntil: make(map[requester.HostID]time.Time),
	}
	w.kinds = drawKinds(w.random)
	for site := range testSites {
		w.addHosts(site)
	}
	for site := range testSites {
		for i := range nodesPerSite {
			n := &node{
				index:      len(w.nodes),
				id:         requester.EntryID(fmt.Sprintf("%s-e%d", siteName(site), i)),
				dataCentre: siteName(site),
				skew:       time.Duration(w.random.IntN(400)-200) * time.Millisecond,
			}
			w.nodes = append(w.nodes, n)
		}
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	w.every(300*time.Millisecond, w.connect)
	return w
}

func (w *world) addHosts(site int) {
	for i := range endpointsPerSite {
		host := keeper.Host{
			HostID:      requester.HostID(fmt.Sprintf("%s-p%d", siteName(site), i)),
			DataCentre:  siteName(site),
			Role:        keeper.RoleEndpoint,
			Address:     netip.MustParseAddrPort("127.0.0.1:1"),
			Service:     "service",
			Slots:       testSlots,
			Connections: 60,
		}
		w.hosts = append(w.hosts, host)
		w.endpoints[host.HostID] = &fakeEndpoint{host: host, running: make(map[uint64]requester.RequestID), slow: 1}
	}
	for i := range workersPerSite {
		host := keeper.Host{
			HostID:     requester.HostID(fmt.Sprintf("%s-w%d", siteName(site), i)),
			DataCentre: siteName(site),
			Role:       keeper.RoleWorker,
			Rack:       fmt.Sprint(i / 2),
			Total:      requester.Resources{MilliCores: 8000, MemoryMB: 8000},
		}
		w.hosts = append(w.hosts, host)
		w.workers[host.HostID] = standin.NewRuntime(host.HostID, host.Total, w.now)
	}
}

func (w *world) note(format string, arguments ...any) {
	if len(w.trace) >= 2*traceLength && os.Getenv("KUMQUATSTALL_TRACE") == "" {
		w.trace = append(w.trace[:0], w.trace[traceLength:]...)
	}
	w.trace = append(w.trace, w.now.Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

// fail ends the test with the trace.
func (w *world) fail(format string, arguments ...any) {
	w.t.Helper()
	w.t.Fatalf("%s\ntrace:\n%s", fmt.Sprintf(format, arguments...), strings.Join(w.trace, "\n"))
}

func (w *world) after(pause time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, moment{at: w.now.Add(pause), order: w.order, do: do})
}

func (w *world) every(pause time.Duration, do func()) {
	w.after(pause, func() {
		do()
		w.every(pause, do)
	})
}

// run lets time pass.
func (w *world) run(length time.Duration) {
	end := w.now.Add(length)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next, _ := heap.Pop(&w.queue).(moment)
		w.now = next.at
		next.do()
	}
	w.now = end
}

// delay draws the time that a message takes.
func (w *world) delay() time.Duration {
	delay := time.Duration(1+w.random.IntN(6)) * time.Millisecond
	if w.random.IntN(200) == 0 {
		delay += time.Duration(w.random.IntN(300)) * time.Millisecond
	}
	return delay
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) start(n *node) {
	n.incarnation = w.now.UnixNano() + int64(n.index)
	n.wanted = make(map[requester.EntryID]bool)
	n.links = make(map[int]int64)
	n.refused = make(map[int]bool)
	n.heads = make(map[tuner.ItemID]int64)
	n.draining = false
	options := Options{
		Self:            n.id,
		Incarnation:     n.incarnation,
		Address:         netip.MustParseAddrPort("127.0.0.1:2"),
		DataCentre:      n.dataCentre,
		SeatTerm:        testTerm,
		TaskTerm:        testTerm,
		Margin:          testMargin,
		RequestHorizon:  20 * time.Second,
		MaxCallLifetime: 8 * time.Second,
		SyncInterval:    300 * time.Millisecond,
	}
	for site := range testSites {
		options.DataCentres = append(options.DataCentres, DataCentreInfo{Name: siteName(site), Seats: testSeats})
	}
	n.core = New(options, w.clock(n))
	w.tickNode(n, n.incarnation)
}

func (w *world) clock(n *node) time.Time { return w.now.Add(n.skew) }

func (w *world) tickNode(n *node, incarnation int64) {
	w.after(testTick, func() {
		if n.core == nil || n.incarnation != incarnation {
			return
		}
		w.deliver(n, incarnation, Tick{})
		w.tickNode(n, incarnation)
	})
}

// deliver hands an event to a node; a paused node gets it when it resumes.
func (w *world) deliver(n *node, incarnation int64, event Event) {
	if n.core == nil || n.incarnation != incarnation {
		return
	}
	if w.now.Before(n.pausedUntil) {
		w.after(n.pausedUntil.Sub(w.now), func() { w.deliver(n, incarnation, event) })
		return
	}
	commands := slices.Clone(n.core.Handle(w.clock(n), event))
	for _, command := range commands {
		w.carryOut(n, command)
	}
	w.checkSeats()
}

// post delivers an event after a delay.
func (w *world) post(n *node, delay time.Duration, event Event) {
	incarnation := n.incarnation
	w.after(delay, func() { w.deliver(n, incarnation, event) })
}

func (w *world) reachable(a, b *node) bool {
	return !w.cut[[2]int{min(a.index, b.index), max(a.index, b.index)}]
}

func (w *world) nodeNamed(id requester.EntryID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// connect opens links between nodes that want one and can reach each other,
// and tells of addresses that refuse.
func (w *world) connect() {
	for _, a := range w.nodes {
		if a.core == nil || w.now.Before(a.pausedUntil) {
			continue
		}
		for _, b := range w.nodes {
			if a == b || !w.reachable(a, b) || !a.wanted[b.id] {
				continue
			}
			if refused := b.core == nil; refused != a.refused[b.index] {
				a.refused[b.index] = refused
				w.post(a, 0, PeerRefused{EntryID: b.id, Refused: refused})
			}
			if b.core != nil && a.links[b.index] == 0 && !w.now.Before(b.pausedUntil) {
				w.link(a, b)
			}
		}
	}
}

func (w *world) link(a, b *node) {
	serial := w.now.UnixNano()
	for _, pair := range [][2]*node{{a, b}, {b, a}} {
		from, to := pair[0], pair[1]
		from.links[to.index] = serial
		info := encoder.PeerInfo{EntryID: to.id, DataCentre: to.dataCentre, Address: netip.MustParseAddrPort("127.0.0.1:2")}
		w.post(from, 0, PeerUp{Peer: info, Incarnation: to.incarnation})
	}
}

// unlink closes the link between two nodes on both sides.
func (w *world) unlink(a, b *node) {
	for _, pair := range [][2]*node{{a, b}, {b, a}} {
		if from, to := pair[0], pair[1]; from.links[to.index] != 0 {
			from.links[to.index] = 0
			w.post(from, time.Millisecond, PeerDown{EntryID: to.id})
		}
	}
}

// checkSeats verifies that no seat has two holders.
func (w *world) checkSeats() {
	holders := make(map[leaser.Shard]requester.EntryID)
	for _, n := range w.nodes {
		if n.core == nil {
			continue
		}
		if seats := n.core.seatNames(); seats != n.seats {
			n.seats = seats
			w.note("%s holds %s", n.id, seats)
		}
		for _, holding := range n.core.leaser.Leases(w.clock(n)) {
			if other, ok := holders[holding.Seat]; ok {
				w.fail("seat %v is held by %s and %s", holding.Seat, other, n.id)
			}
			holders[holding.Seat] = n.id
		}
	}
}

func (w *world) carryOut(n *node, command Command) {
	switch command := command.(type) {
	case Send:
		w.send(n, command)
	case DialPeers:
		for _, info := range command.Peers {
			n.wanted[info.EntryID] = true
		}
	case DropPeer:
		w.unlink(n, w.nodeNamed(command.EntryID))
	case ReplyCall:
		w.told(command)
	case ReplyConfig:
		if command.Problem.Code == encoder.ProblemNone {
			w.accepted = append(w.accepted, command.Item)
		}
	case ReplyJob:
	case Transact:
		w.transact(n, command, false)
	case Read:
		w.read(n, command)
	case ListHosts:
		w.listHosts(n)
	case StartAttempt:
		w.attempt(n, command)
	case AskStatus:
		w.askStatus(n, command)
	case SyncWorker:
		w.syncWorker(n, command)
	case Violation:
		w.fail("%s found a broken invariant: %s: %s", n.id, command.Name, command.Detail)
	case Stopped:
		w.note("%s has shut down", n.id)
		w.kill(n)
	}
}

func (w *world) send(n *node, command Send) {
	to := w.nodeNamed(command.To)
	serial := n.links[to.index]
	if serial == 0 || to.links[n.index] != serial {
		return
	}
	if request, ok := command.Message.(*encoder.GrantRequest); ok && w.mutate == mutationPromisesForged {
		reply := leaser.GrantReply{Round: request.Request.Round}
		for _, seat := range request.Request.Seats {
			reply.Granted = append(reply.Granted, seat.Seat.Number)
		}
		for _, other := range w.nodes {
			if other.dataCentre == n.dataCentre && other != n {
				w.post(n, time.Millisecond, PeerMessage{From: other.id, Message: &encoder.GrantReply{Reply: reply}})
			}
		}
		return
	}
	// A message crosses the codec, as it would on a link.
	data, err := encoder.Encode(command.Message)
	if err != nil {
		w.fail("encode: %v", err)
	}
	incarnation := to.incarnation
	w.after(w.delay(), func() {
		if !w.reachable(n, to) || to.links[n.index] != serial || to.incarnation != incarnation {
			return
		}
		message, err := encoder.Decode(data)
		if err != nil {
			w.fail("decode: %v", err)
		}
		w.deliver(to, incarnation, PeerMessage{From: n.id, Message: message})
	})
}

func (w *world) storeReachable(n *node) bool { return !w.storeDown && !n.cutFromDB }

// transact behaves as the table client does: it sends a transaction again
// until it is resolved or its deadline has passed.
func (w *world) transact(n *node, command Transact, sent bool) {
	incarnation := n.incarnation
	if w.mutate == mutationIntentNotStored && strings.HasPrefix(command.Transaction.Conditions[0].Key, "intent/") {
		w.post(n, w.delay(), TransactDone{ID: command.ID, Result: keeper.TransactResult{Committed: true, Revision: 1}})
		return
	}
	w.after(w.delay(), func() {
		if w.clock(n).After(command.Deadline) {
			failure := TableNotTried
			if sent {
				failure = TableUnresolved
			}
			w.deliver(n, incarnation, TransactDone{ID: command.ID, Failure: failure})
			return
		}
		if !w.storeReachable(n) {
			w.after(50*time.Millisecond, func() { w.transact(n, command, sent) })
			return
		}
		result := w.apply(command.Transaction)
		if w.chance(w.faults.lostTableAnswer) {
			w.after(100*time.Millisecond, func() { w.transact(n, command, true) })
			return
		}
		if sent && !result.Committed && w.alreadyWritten(command.Transaction) {
			result = keeper.TransactResult{Committed: true, Revision: w.rowRevision(command.Transaction.Writes[0].Key)}
		}
		w.after(w.delay(), func() {
			w.deliver(n, incarnation, TransactDone{ID: command.ID, Result: result})
		})
	})
}

func (w *world) apply(transaction keeper.Transaction) keeper.TransactResult {
	if w.mutate == mutationTableIgnoresConditions {
		conditions := slices.Clone(transaction.Conditions)
		for i := range conditions {
			conditions[i].Revision = w.rowRevision(conditions[i].Key)
		}
		transaction.Conditions = conditions
	}
	return w.table.Apply(transaction)
}

func (w *world) rowRevision(key string) int64 {
	rows := w.table.Read(keeper.ReadRequest{Keys: []string{key}}).Rows
	if len(rows) == 0 {
		return 0
	}
	return rows[0].Revision
}

func (w *world) alreadyWritten(transaction keeper.Transaction) bool {
	for _, write := range transaction.Writes {
		rows := w.table.Read(keeper.ReadRequest{Keys: []string{write.Key}}).Rows
		if write.Delete != (len(rows) == 0) || len(rows) == 1 && string(rows[0].Value) != string(write.Value) {
			return false
		}
	}
	return true
}

func (w *world) read(n *node, command Read) {
	incarnation := n.incarnation
	w.after(w.delay(), func() {
		done := ReadDone{ID: command.ID, Failed: !w.storeReachable(n)}
		if !done.Failed {
			done.Result = w.table.Read(command.Request)
		}
		w.after(w.delay(), func() { w.deliver(n, incarnation, done) })
	})
}

func (w *world) listHosts(n *node) {
	var hosts []keeper.Host
	for _, host := range w.hosts {
		if host.DataCentre == n.dataCentre {
			hosts = append(hosts, host)
		}
	}
	w.post(n, w.delay(), HostsListed{Hosts: hosts})
}

// attempt sends a call to a fake endpoint. A node that is paused before the
// send checks its time to send when it resumes.
func (w *world) attempt(n *node, command StartAttempt) {
	incarnation := n.incarnation
	endpoint := w.endpoints[command.Endpoint]
	id := command.AttemptID
	if w.chance(w.faults.notSent) {
		w.post(n, w.delay(), AttemptDone{AttemptID: id, Kind: ResultNotSent})
		return
	}
	if !w.healed && w.chance(0.003) && w.now.After(n.pausedUntil) {
		// The process is paused between the decision and the send.
		n.pausedUntil = w.now.Add(time.Duration(w.random.IntN(4000)) * time.Millisecond)
		w.note("%s pauses before a send until %s", n.id, n.pausedUntil.Format("05.000"))
	}
	w.after(max(0, n.pausedUntil.Sub(w.now)), func() {
		if n.core == nil || n.incarnation != incarnation {
			return
		}
		if !w.clock(n).Before(command.SendBy) && w.mutate != mutationSendAfterLease {
			w.post(n, 0, AttemptDone{AttemptID: id, Kind: ResultNotSent})
			return
		}
		w.execute(n, incarnation, endpoint, command)
	})
}

func (w *world) execute(n *node, incarnation int64, endpoint *fakeEndpoint, command StartAttempt) {
	for _, other := range w.nodes {
		if other == n || other.core == nil || other.dataCentre != n.dataCentre {
			continue
		}
		number := other.core.seatOf(other.dataCentre, string(endpoint.host.HostID)).Number
		if _, held := other.core.leaser.Holds(number, w.clock(other)); held {
			w.fail("%s sends to %s, which %s owns", n.id, endpoint.host.HostID, other.id)
		}
	}
	endpoint.next++
	serial := endpoint.next
	call := w.original(command.Call)
	endpoint.running[serial] = call.RequestID
	if len(endpoint.running) > endpoint.host.Slots {
		w.overUses++
		w.note("%s is over-used by %s", endpoint.host.HostID, n.id)
	}
	work := time.Duration(float64(1+w.random.IntN(60))*endpoint.slow) * time.Millisecond
	if left := command.Call.Deadline.Sub(w.clock(n)); work > left && w.mutate != mutationSendAfterLease {
		work = left
	}
	execution := standin.Execution{
		RequestID:  call.RequestID,
		Endpoint:   endpoint.host.HostID,
		Idempotent: call.Idempotent,
		Exclusive:  call.Exclusive,
		StartedAt:  w.now,
		EndedAt:    w.now.Add(work),
	}
	w.ledger = append(w.ledger, execution)
	w.note("%s runs %s for %s", endpoint.host.HostID, call.RequestID, n.id)
	done := AttemptDone{AttemptID: command.AttemptID, Kind: ResultAnswered, Payload: standin.AnswerBody(call.RequestID)}
	lost := w.chance(w.faults.lostCallAnswer)
	if lost {
		done = AttemptDone{AttemptID: command.AttemptID, Kind: ResultLost}
		if w.mutate == mutationLostMeansNotSent {
			done.Kind = ResultNotSent
		}
		// The connection may be lost long before the call ends.
		w.after(time.Duration(w.random.Int64N(int64(work)+1)), func() { w.deliver(n, incarnation, done) })
	} else if w.chance(w.faults.failedCall) {
		done = AttemptDone{AttemptID: command.AttemptID, Kind: ResultFailed}
	}
	w.after(work, func() {
		delete(endpoint.running, serial)
		if !lost {
			w.after(w.delay(), func() { w.deliver(n, incarnation, done) })
		}
	})
}

func (w *world) askStatus(n *node, command AskStatus) {
	incarnation := n.incarnation
	sentAt := w.clock(n)
	w.after(w.delay(), func() {
		status := router.EndpointStatus{Now: w.now}
		if w.mutate != mutationStatusEmpty {
			for _, id := range w.endpoints[command.Endpoint.HostID].running {
				status.Running = append(status.Running, id)
			}
			slices.Sort(status.Running)
		}
		done := StatusDone{Endpoint: command.Endpoint.HostID, Service: command.Endpoint.Service, SentAt: sentAt, Status: status}
		w.after(w.delay(), func() { w.deliver(n, incarnation, done) })
	})
}

func (w *world) syncWorker(n *node, command SyncWorker) {
	incarnation := n.incarnation
	sync := command.Sync
	w.after(w.delay(), func() {
		done := SyncDone{Sync: sync}
		if w.now.Before(w.workerCutUntil[sync.Worker]) {
			w.after(500*time.Millisecond, func() { w.deliver(n, incarnation, SyncDone{Sync: sync, Failed: true}) })
			return
		}
		request := sync.Request
		request.Deadline = request.Deadline.Add(-n.skew)
		if w.mutate == mutationWorkersKeepLapsedTasks {
			request.Deadline = request.Deadline.Add(time.Hour)
		}
		done.Report = w.workers[sync.Worker].Sync(request, w.now)
		if w.chance(w.faults.lostTableAnswer) {
			w.after(time.Second, func() { w.deliver(n, incarnation, SyncDone{Sync: sync, Failed: true}) })
			return
		}
		w.after(w.delay(), func() { w.deliver(n, incarnation, done) })
	})
}

// Faults of whole nodes.

func (w *world) kill(n *node) {
	n.core = nil
	for _, other := range w.nodes {
		if other != n && n.links[other.index] != 0 {
			n.links[other.index] = 0
			if other.links[n.index] != 0 && w.reachable(n, other) {
				other.links[n.index] = 0
				w.post(other, time.Millisecond, PeerDown{EntryID: n.id})
			}
		}
	}
}

// Calls.

// original returns the call as the caller sent it.
func (w *world) original(call requester.Call) requester.Call {
	if w.mutate == mutationCallsSeemIdempotent {
		call.Idempotent = strings.HasPrefix(string(call.RequestID), "i")
	}
	return call
}

func (w *world) sendCall(call requester.Call) {
	var alive []*node
	for _, n := range w.nodes {
		if n.core != nil && !n.draining {
			alive = append(alive, n)
		}
	}
	if len(alive) == 0 {
		return
	}
	n := alive[w.random.IntN(len(alive))]
	w.nextToken++
	token := w.nextToken
	w.pending[token] = &pendingCall{call: call, sentAt: w.now, node: n}
	w.calls++
	sent := call
	sent.Deadline = call.Deadline.Add(n.skew)
	if w.mutate == mutationCallsSeemIdempotent {
		sent.Idempotent = true
	}
	w.post(n, w.delay(), CallArrived{Token: token, Call: sent})
	w.after(call.Deadline.Sub(w.now)+2*time.Second, func() { w.unanswered(token) })
	if !w.healed && w.chance(0.03) {
		w.post(n, time.Duration(w.random.IntN(200))*time.Millisecond, CallerLeft{Token: token})
	}
}

// unanswered ends a call whose entry has died or is paused: the caller learns
// nothing and may send it once more.
func (w *world) unanswered(token uint64) {
	known, ok := w.pending[token]
	if !ok {
		return
	}
	delete(w.pending, token)
	answer := requester.Answer{RequestID: known.call.RequestID, Outcome: requester.OutcomeUnknown}
	w.audit.Tell(auditor.Told{Call: known.call, Answer: answer, SentAt: known.sentAt})
	w.again(known.call)
}

func (w *world) told(reply ReplyCall) {
	known, ok := w.pending[reply.Token]
	if !ok {
		return
	}
	delete(w.pending, reply.Token)
	w.note("caller of %s attempt %d is told %s %s", known.call.RequestID, known.call.Attempt, reply.Answer.Outcome, reply.Answer.Reason)
	w.audit.Tell(auditor.Told{Call: known.call, Answer: reply.Answer, SentAt: known.sentAt})
	if reply.Answer.Outcome == requester.OutcomeAnswered {
		w.answered++
		return
	}
	w.again(known.call)
}

// again sends a call once more, under the same RequestID.
func (w *world) again(call requester.Call) {
	if call.Attempt >= 3 {
		return
	}
	call.Attempt++
	call.Deadline = w.now.Add(3 * time.Second)
	w.after(time.Duration(w.random.IntN(500))*time.Millisecond, func() { w.sendCall(call) })
}

func (w *world) drawCall(n int) requester.Call {
	call := requester.Call{
		Trade:    requester.Trade(fmt.Sprintf("t%d", w.random.IntN(3))),
		Service:  "service",
		Kind:     "kind",
		Urgency:  requester.Urgency(w.random.IntN(3)),
		Attempt:  1,
		Deadline: w.now.Add(time.Duration(300+w.random.IntN(5000)) * time.Millisecond),
	}
	prefix := "n"
	switch w.random.IntN(4) {
	case 0:
		call.Idempotent, prefix = true, "i"
	case 1:
		call.Idempotent, call.Exclusive, prefix = true, true, "ix"
	case 2:
		call.Exclusive, prefix = true, "x"
	}
	if w.random.IntN(2) == 0 {
		call.DataCentre = siteName(w.random.IntN(testSites))
	}
	call.RequestID = requester.RequestID(fmt.Sprintf("%s%d", prefix, n))
	return call
}

// Jobs.

func (w *world) submitJob(n int) {
	job := requester.Job{
		JobID:      requester.JobID(fmt.Sprintf("job%d", n)),
		Trade:      requester.Trade(fmt.Sprintf("t%d", w.random.IntN(3))),
		Kind:       "task",
		DataCentre: siteName(w.random.IntN(testSites)),
		Shape:      requester.JobShape(w.random.IntN(2)),
		Urgency:    requester.Urgency(w.random.IntN(3)),
		Tasks:      1 + w.random.IntN(5),
		Need:       requester.Resources{MilliCores: int64(500 + w.random.IntN(3000)), MemoryMB: int64(500 + w.random.IntN(3000))},
		RunMillis:  int64(100 + w.random.IntN(3000)),
	}
	w.jobs[job.JobID] = job
	w.ask(func(n *node) { w.post(n, w.delay(), JobAsked{Token: 1, Action: encoder.JobSubmit, Job: job}) })
}

// ask does something at a node that is alive.
func (w *world) ask(do func(*node)) {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if n.core != nil {
		do(n)
	}
}

// checkTasks verifies that no task of a batch or gang ran in two places at
// once and that none ran again after it had succeeded and been recorded.
func (w *world) checkTasks() {
	type key struct {
		job   requester.JobID
		index int
	}
	runs := make(map[key][]standin.TaskRun)
	for _, worker := range w.workers {
		if worker.CapacityViolations() > 0 {
			w.overUses += int(worker.CapacityViolations())
		}
		for _, run := range worker.Runs(w.now) {
			k := key{run.Task.Job, run.Task.Index}
			runs[k] = append(runs[k], run)
		}
	}
	for k, list := range runs {
		slices.SortFunc(list, func(a, b standin.TaskRun) int { return cmp.Compare(a.StartedAt.UnixNano(), b.StartedAt.UnixNano()) })
		for i := 1; i < len(list); i++ {
			if list[i].StartedAt.Before(list[i-1].EndedAt) {
				w.fail("task %v ran twice at once: %+v and %+v", k, list[i-1], list[i])
			}
		}
	}
}

// Configuration.

func (w *world) changeConfig(n int) {
	name := fmt.Sprintf("p%d", w.random.IntN(3))
	profile := tuner.DefaultProfile()
	profile.Name = name
	profile.QueueBound = 100 + n
	item := tuner.Item{ItemID: tuner.ItemID{Kind: tuner.ItemProfile, Name: name}, Profile: &profile}
	w.ask(func(node *node) {
		expected := int64(tuner.AnyRevision)
		if known, ok := node.core.Config().Item(item.ItemID); ok && w.random.IntN(2) == 0 {
			expected = known.Revision
		}
		w.post(node, w.delay(), ConfigAsked{Token: 1, Item: item, Expected: expected, ChangeID: fmt.Sprint(n)})
	})
}

// checkConfig verifies that no node's item has gone back.
func (w *world) checkConfig() {
	for _, n := range w.nodes {
		if n.core == nil {
			continue
		}
		for _, item := range n.core.Config().Items(tuner.ItemProfile) {
			if item.Revision < n.heads[item.ItemID] {
				w.fail("%s took profile %s back from revision %d to %d", n.id, item.Name, n.heads[item.ItemID], item.Revision)
			}
			n.heads[item.ItemID] = item.Revision
		}
	}
}

// seatNames tells which seats a core holds, for traces.
func (c *Core) seatNames() string {
	var names strings.Builder
	for _, holding := range c.leaser.Leases(c.now) {
		extended := ""
		if c.leaser.Extended(holding.Seat.Number) {
			extended = "x"
		}
		fmt.Fprintf(&names, "%d@%d%s ", holding.Seat.Number, holding.Epoch, extended)
	}
	return names.String()
}
