package decider

import (
	"fmt"
	"strings"
	"time"

	"kumquatstall/auditor"
	"kumquatstall/encoder"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// The callers of a simulation send calls, retry those that are not answered under the
// same RequestID, and pass each attempt with its answer to the audit. Others submit
// jobs and change the configuration, and do not retry.

// pendingCall is an attempt that awaits its answer.
type pendingCall struct {
	call   requester.Call
	sentAt time.Time
	node   *node
}

// sendCall sends a call to a random running node. Some callers disconnect before
// they have an answer.
func (s *simulation) sendCall(call requester.Call) {
	var alive []*node
	for _, n := range s.nodes {
		if n.core != nil && !n.draining {
			alive = append(alive, n)
		}
	}
	if len(alive) == 0 {
		return
	}
	n := alive[s.random.IntN(len(alive))]
	s.nextToken++
	token := s.nextToken
	s.pending[token] = &pendingCall{call: call, sentAt: s.now, node: n}
	s.calls++
	sent := call
	sent.Deadline = call.Deadline.Add(n.clockSkew)
	if s.mutate == mutationCallsMarkedIdempotent {
		sent.Idempotent = true
	}
	s.post(n, s.delay(), CallArrived{Token: token, Call: sent})
	s.after(call.Deadline.Sub(s.now)+2*time.Second, func() { s.onNoReply(token) })
	if !s.faultsEnded && s.chance(0.03) {
		s.post(n, time.Duration(s.random.IntN(200))*time.Millisecond, CallerDisconnected{Token: token})
	}
}

// originalCall returns the call as the caller sent it.
func (s *simulation) originalCall(call requester.Call) requester.Call {
	if s.mutate == mutationCallsMarkedIdempotent {
		call.Idempotent = strings.HasPrefix(string(call.RequestID), "i")
	}
	return call
}

// onNoReply ends an attempt whose entry has crashed or is paused. The caller does
// not know the outcome and may retry.
func (s *simulation) onNoReply(token uint64) {
	known, ok := s.pending[token]
	if !ok {
		return
	}
	delete(s.pending, token)
	answer := requester.Answer{RequestID: known.call.RequestID, Outcome: requester.OutcomeUnknown}
	s.audit.Record(auditor.Attempt{Call: known.call, Answer: answer, SentAt: known.sentAt})
	s.retryCall(known.call)
}

// onReply passes an answer to the audit; the caller retries a call that was not
// answered.
func (s *simulation) onReply(reply ReplyCall) {
	known, ok := s.pending[reply.Token]
	if !ok {
		return
	}
	delete(s.pending, reply.Token)
	s.tracef("caller of %s attempt %d receives %s %s", known.call.RequestID, known.call.Attempt, reply.Answer.Outcome, reply.Answer.Reason)
	s.audit.Record(auditor.Attempt{Call: known.call, Answer: reply.Answer, SentAt: known.sentAt})
	if reply.Answer.Outcome == requester.OutcomeAnswered {
		s.answered++
		return
	}
	s.retryCall(known.call)
}

// retryCall sends a call again under the same RequestID, up to the third attempt.
func (s *simulation) retryCall(call requester.Call) {
	if call.Attempt >= 3 {
		return
	}
	call.Attempt++
	call.Deadline = s.now.Add(3 * time.Second)
	s.after(time.Duration(s.random.IntN(500))*time.Millisecond, func() { s.sendCall(call) })
}

// drawCall draws a call. The prefix of its RequestID shows whether it is
// idempotent (i) and exclusive (x).
func (s *simulation) drawCall(n int) requester.Call {
	call := requester.Call{
		Trade:    requester.Trade(fmt.Sprintf("t%d", s.random.IntN(3))),
		Service:  "service",
		Kind:     "kind",
		Urgency:  requester.Urgency(s.random.IntN(3)),
		Attempt:  1,
		Deadline: s.now.Add(time.Duration(300+s.random.IntN(5000)) * time.Millisecond),
	}
	prefix := "n"
	switch s.random.IntN(4) {
	case 0:
		call.Idempotent, prefix = true, "i"
	case 1:
		call.Idempotent, call.Exclusive, prefix = true, true, "ix"
	case 2:
		call.Exclusive, prefix = true, "x"
	}
	if s.random.IntN(2) == 0 {
		call.DataCentre = dataCentreName(s.random.IntN(testDataCentres))
	}
	call.RequestID = requester.RequestID(fmt.Sprintf("%s%d", prefix, n))
	return call
}

func (s *simulation) submitJob(n int) {
	job := requester.Job{
		JobID:      requester.JobID(fmt.Sprintf("job%d", n)),
		Trade:      requester.Trade(fmt.Sprintf("t%d", s.random.IntN(3))),
		Kind:       "task",
		DataCentre: dataCentreName(s.random.IntN(testDataCentres)),
		Shape:      requester.JobShape(s.random.IntN(2)),
		Urgency:    requester.Urgency(s.random.IntN(3)),
		Tasks:      1 + s.random.IntN(5),
		Need:       requester.Resources{MilliCores: int64(500 + s.random.IntN(3000)), MemoryMB: int64(500 + s.random.IntN(3000))},
		RunMillis:  int64(100 + s.random.IntN(3000)),
	}
	s.jobs[job.JobID] = job
	s.withRandomNode(func(n *node) { s.post(n, s.delay(), JobActionRequested{Token: 1, Action: encoder.JobSubmit, Job: job}) })
}

func (s *simulation) changeConfig(n int) {
	name := fmt.Sprintf("p%d", s.random.IntN(3))
	profile := tuner.DefaultProfile()
	profile.Name = name
	profile.QueueBound = 100 + n
	item := tuner.Item{ItemID: tuner.ItemID{Kind: tuner.ItemProfile, Name: name}, Profile: &profile}
	s.withRandomNode(func(node *node) {
		expected := int64(tuner.AnyRevision)
		if known, ok := node.core.Config().Item(item.ItemID); ok && s.random.IntN(2) == 0 {
			expected = known.Revision
		}
		s.post(node, s.delay(), ConfigChangeRequested{Token: 1, Item: item, Expected: expected, ChangeID: fmt.Sprint(n)})
	})
}

// withRandomNode calls do with a random node, if that node runs.
func (s *simulation) withRandomNode(do func(*node)) {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	if n.core != nil {
		do(n)
	}
}
