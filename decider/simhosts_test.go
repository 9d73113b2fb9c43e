package decider

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/placer"
	"kumquatstall/requester"
	"kumquatstall/router"
	"kumquatstall/standin"
)

// The hosts of a simulation are endpoints, which run calls at random speeds and keep
// on running a call whose connection is lost, and workers, which are the stand-in
// ones and are reached over a link that may fail.

// fakeEndpoint runs calls. It runs them slowdown times as long as drawn.
type fakeEndpoint struct {
	host keeper.Host
	// boot identifies the incarnation.
	boot    int64
	running map[uint64]requester.RequestID
	// atReboot has what happens to each running call when the incarnation ends.
	atReboot map[uint64]func()
	next     uint64
	slowdown float64
}

func (s *simulation) addHosts(index int) {
	for i := range endpointsPerDataCentre {
		host := keeper.Host{
			HostID:      requester.HostID(fmt.Sprintf("%s-p%d", dataCentreName(index), i)),
			DataCentre:  dataCentreName(index),
			Role:        keeper.RoleEndpoint,
			Address:     netip.MustParseAddrPort("127.0.0.1:1"),
			Service:     "service",
			Slots:       testSlots,
			Connections: 60,
		}
		s.hosts = append(s.hosts, host)
		s.endpoints[host.HostID] = &fakeEndpoint{host: host, boot: s.now.UnixNano(), running: make(map[uint64]requester.RequestID), atReboot: make(map[uint64]func()), slowdown: 1}
		s.lives.endpoints = append(s.lives.endpoints, host.HostID)
	}
	for i := range workersPerDataCentre {
		host := keeper.Host{
			HostID:     requester.HostID(fmt.Sprintf("%s-w%d", dataCentreName(index), i)),
			DataCentre: dataCentreName(index),
			Role:       keeper.RoleWorker,
			Rack:       fmt.Sprint(i / 2),
			Total:      requester.Resources{MilliCores: 8000, MemoryMB: 8000},
		}
		s.hosts = append(s.hosts, host)
		s.workers[host.HostID] = standin.NewRuntime(host.HostID, host.Total, s.now)
		s.lives.names = append(s.lives.names, host.HostID)
	}
}

func (s *simulation) listHosts(n *node) {
	var hosts []keeper.Host
	for _, host := range s.hosts {
		if host.DataCentre == n.dataCentre {
			hosts = append(hosts, host)
		}
	}
	s.post(n, s.delay(), HostsListed{Hosts: hosts})
}

// startAttempt sends a call to a fake endpoint. A node that was paused before the
// send compares the time with SendBy when it resumes.
func (s *simulation) startAttempt(n *node, command StartAttempt) {
	incarnation := n.incarnation
	endpoint := s.endpoints[command.Endpoint]
	id := command.AttemptID
	if s.chance(s.faults.notSent) {
		s.post(n, s.delay(), AttemptDone{AttemptID: id, Kind: ResultNotSent})
		return
	}
	if !s.faultsEnded && s.chance(0.003) && s.now.After(n.pausedUntil) {
		// The process pauses between the decision and the send.
		n.pausedUntil = s.now.Add(time.Duration(s.random.IntN(4000)) * time.Millisecond)
		s.tracef("%s pauses before a send until %s", n.id, n.pausedUntil.Format("05.000"))
	}
	s.after(max(0, n.pausedUntil.Sub(s.now)), func() {
		if n.core == nil || n.incarnation != incarnation {
			return
		}
		if !s.clock(n).Before(command.SendBy) && s.mutate != mutationSendAfterLease {
			s.post(n, 0, AttemptDone{AttemptID: id, Kind: ResultNotSent})
			return
		}
		s.checkSender(n, endpoint)
		if s.delayCall(n, endpoint, command) {
			return
		}
		if s.rejects(endpoint, command) {
			s.post(n, s.delay(), AttemptDone{AttemptID: id, Kind: ResultNotSent, Boot: endpoint.boot})
			return
		}
		s.execute(n, incarnation, endpoint, command)
	})
}

// checkSender fails the test if another node than the sender of a call holds the
// endpoint's shard.
func (s *simulation) checkSender(n *node, endpoint *fakeEndpoint) {
	for _, other := range s.nodes {
		if other == n || other.core == nil || other.dataCentre != n.dataCentre {
			continue
		}
		number := other.core.shardOf(other.dataCentre, string(endpoint.host.HostID)).Number
		if _, held := other.core.leaser.Holds(number, s.clock(other)); held {
			s.failf("%s sends a call to %s, which %s owns", n.id, endpoint.host.HostID, other.id)
		}
	}
}

// execute runs a call at a fake endpoint and delivers the result. It counts calls beyond
// the endpoint's slots.
func (s *simulation) execute(n *node, incarnation int64, endpoint *fakeEndpoint, command StartAttempt) {
	endpoint.next++
	serial := endpoint.next
	call := s.originalCall(command.Call)
	endpoint.running[serial] = call.RequestID
	if len(endpoint.running) > endpoint.host.Slots {
		s.overcommits++
		s.tracef("%s gets more calls than it has slots from %s", endpoint.host.HostID, n.id)
	}
	work := time.Duration(float64(1+s.random.IntN(60))*endpoint.slowdown) * time.Millisecond
	if left := command.Call.Deadline.Sub(s.clock(n)); work > left && s.mutate != mutationSendAfterLease {
		work = max(0, left)
	}
	execution := standin.Execution{
		RequestID:  call.RequestID,
		Endpoint:   endpoint.host.HostID,
		Idempotent: call.Idempotent,
		Exclusive:  call.Exclusive,
		StartedAt:  s.now,
		EndedAt:    s.now.Add(work),
	}
	s.executions = append(s.executions, execution)
	s.tracef("%s runs %s for %s", endpoint.host.HostID, call.RequestID, n.id)
	done := AttemptDone{AttemptID: command.AttemptID, Kind: ResultAnswered, Payload: standin.AnswerBody(call.RequestID)}
	lost := s.chance(s.faults.lostConnection)
	if lost {
		done = AttemptDone{AttemptID: command.AttemptID, Kind: ResultLost}
		if s.mutate == mutationLostConnectionNotSent {
			done.Kind = ResultNotSent
		}
		// The connection may break long before the call ends.
		s.after(time.Duration(s.random.Int64N(int64(work)+1)), func() { s.deliver(n, incarnation, done) })
	} else if s.chance(s.faults.failedCall) {
		done = AttemptDone{AttemptID: command.AttemptID, Kind: ResultFailed}
	}
	index := len(s.executions) - 1
	endpoint.atReboot[serial] = func() {
		s.executions[index].EndedAt = s.now
		if !lost {
			s.deliver(n, incarnation, AttemptDone{AttemptID: command.AttemptID, Kind: ResultLost})
		}
	}
	s.after(work, func() {
		if endpoint.atReboot[serial] == nil {
			return // it has ended with its incarnation
		}
		delete(endpoint.atReboot, serial)
		delete(endpoint.running, serial)
		if !lost {
			s.after(s.delay(), func() { s.deliver(n, incarnation, done) })
		}
	})
}

func (s *simulation) requestStatus(n *node, command PollStatus) {
	incarnation := n.incarnation
	sentAt := s.clock(n)
	s.after(s.delay(), func() {
		status := router.EndpointStatus{Now: s.now, Boot: s.endpoints[command.Endpoint.HostID].boot}
		if s.mutate != mutationStatusEmpty {
			for _, id := range s.endpoints[command.Endpoint.HostID].running {
				status.Running = append(status.Running, id)
			}
			slices.Sort(status.Running)
		}
		done := StatusDone{Endpoint: command.Endpoint.HostID, Service: command.Endpoint.Service, SentAt: sentAt, Status: status}
		s.after(s.delay(), func() { s.deliver(n, incarnation, done) })
	})
}

func (s *simulation) syncWorker(n *node, command SyncWorker) {
	incarnation := n.incarnation
	sync := command.Sync
	s.after(s.delay(), func() {
		done := SyncDone{Sync: sync}
		if s.now.Before(s.workerUnreachableUntil[sync.Worker]) || s.delaySync(n, sync) {
			s.after(500*time.Millisecond, func() { s.deliver(n, incarnation, SyncDone{Sync: sync, Failed: true}) })
			return
		}
		done.Report = s.carryOut(n, sync)
		if s.chance(s.faults.lostResponse) {
			s.after(time.Second, func() { s.deliver(n, incarnation, SyncDone{Sync: sync, Failed: true}) })
			return
		}
		s.after(s.delay(), func() { s.deliver(n, incarnation, done) })
	})
}

// carryOut carries out a sync at its worker.
func (s *simulation) carryOut(n *node, sync placer.Sync) placer.SyncReport {
	request := sync.Request
	request.Deadline = request.Deadline.Add(-n.clockSkew)
	if s.mutate == mutationWorkersKeepExpiredTasks {
		request.Deadline = request.Deadline.Add(time.Hour)
	}
	return s.workers[sync.Worker].Sync(request, s.now)
}
