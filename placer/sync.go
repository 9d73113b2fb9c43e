package placer

import (
	"net/netip"
	"slices"
	"time"

	"kumquatstall/requester"
)

// Sync is a request to send to a worker. Its result is passed to OnReport or
// OnSyncFailed.
type Sync struct {
	Worker  requester.HostID
	Address netip.AddrPort
	// Request has its Deadline on the holder's clock. The sender converts it to
	// the worker's clock.
	Request SyncRequest
	SentAt  time.Time
}

// maxStarts bounds the starts of one sync.
const maxStarts = 64

// Syncs returns the requests to send now: at once to responsive workers for which
// starts, stops, throttles or acknowledgements are pending, and to all others
// once per SyncInterval. The lease of an unresponsive worker is not renewed. A
// removed worker gets no requests. A worker has at most one request in flight.
func (f *Fleet) Syncs(now time.Time) []Sync {
	var syncs []Sync
	for _, w := range f.workerList {
		pending := !w.unresponsive && len(w.starts)+len(w.stops)+len(w.throttles)+len(w.acks) > 0
		due := now.Sub(w.lastSyncAt) >= f.limits.SyncInterval
		if w.inFlight != 0 || w.removed || !pending && !due {
			continue
		}
		syncs = append(syncs, f.newSync(w, now))
	}
	return syncs
}

func (f *Fleet) newSync(w *worker, now time.Time) Sync {
	starts := w.starts[:min(maxStarts, len(w.starts))]
	if !w.unresponsive && w.boot != 0 {
		// The lease counts as granted from the moment the request is sent.
		w.leaseDeadline = now.Add(f.limits.LeaseTerm)
	}
	f.lastNumber++
	request := SyncRequest{
		Holder:   f.holder,
		Epoch:    f.epoch,
		Worker:   w.info.HostID,
		Boot:     w.boot,
		Number:   f.lastNumber,
		Deadline: w.leaseDeadline,
		Since:    w.sequence,
		Starts:   starts,
		Stops:    w.stops,
		Acks:     w.acks,

		Throttles: w.throttles,
	}
	w.starts = w.starts[len(starts):]
	w.stops = nil
	w.throttles = nil
	w.acks = nil
	w.inFlight = request.Number
	w.lastSyncAt = now
	return Sync{Worker: w.info.HostID, Address: w.info.Address, Request: request, SentAt: now}
}

// OnSyncFailed handles a sync that received no response. All that it contained is
// sent again. The starts may have taken effect; the next report is a full one and
// shows which runs there are.
func (f *Fleet) OnSyncFailed(now time.Time, sync Sync) {
	w := f.endSync(&sync)
	if w == nil {
		return
	}
	w.unresponsive = true
	w.sequence = 0
	w.putBack(&sync.Request)
}

// endSync returns the worker of a sync that has ended, or nil if it isn't the one in flight:
// the worker has been off the list since, and what is known of it begins anew.
func (f *Fleet) endSync(sync *Sync) *worker {
	w, ok := f.workers[sync.Worker]
	if !ok || w.inFlight != sync.Request.Number {
		return nil
	}
	w.inFlight = 0
	return w
}

// putBack queues again what a request contained that may not have been carried out, but
// no start of a task that isn't bound to the worker any more, as its lease has expired.
func (w *worker) putBack(request *SyncRequest) {
	w.stops = append(request.Stops, w.stops...)
	w.throttles = append(request.Throttles, w.throttles...)
	w.acks = append(request.Acks, w.acks...)
	// A repeated start is idempotent: the worker recognises its TaskID.
	bound := slices.DeleteFunc(slices.Clone(request.Starts), func(start TaskStart) bool { return w.tasks[start.Task] == nil })
	w.starts = append(bound, w.starts...)
}

// OnReport applies a worker's response to a sync. It ignores the report of a
// worker that has rejected the request, since a newer holder has taken over.
func (f *Fleet) OnReport(now time.Time, sync Sync, report SyncReport) {
	w := f.endSync(&sync)
	if w == nil {
		return
	}
	if report.Fenced {
		return
	}
	w.unresponsive = false
	w.reported = true
	w.sequence = report.Sequence
	full := sync.Request.Since == 0
	if report.Boot == sync.Request.Boot && !report.Overtaken {
		f.markRunning(now, w, sync.Request.Starts)
	} else {
		full = true
		f.onNotCarriedOut(now, w, &sync.Request, &report)
	}
	for _, run := range report.Tasks {
		f.onTaskReport(now, w, run)
	}
	if full {
		f.requeueMissing(now, w, report.Tasks)
	}
	f.resolveOvercommit(w)
}

// onNotCarriedOut handles that a request was not carried out: another incarnation than it
// names has answered it, or one that has seen a later request of this epoch. What it
// contained is sent again at once, to that incarnation and with a higher number. What runs
// there may hold a lease of an earlier holder, which can't have extended it since this
// one's epoch arrived.
func (f *Fleet) onNotCarriedOut(now time.Time, w *worker, request *SyncRequest, report *SyncReport) {
	w.boot = report.Boot
	f.lastNumber = max(f.lastNumber, report.Number)
	w.putBack(request)
	if expiry := now.Add(f.limits.LeaseTerm); expiry.After(w.leaseDeadline) {
		w.leaseDeadline = expiry
	}
	w.lastSyncAt = time.Time{}
}

// markRunning moves the tasks whose starts the worker has acknowledged to the
// state Running, and stops the replicas that they replace.
func (f *Fleet) markRunning(now time.Time, w *worker, starts []TaskStart) {
	for _, start := range starts {
		t, ok := w.tasks[start.Task]
		if !ok || !t.machine.Can("Start") {
			continue
		}
		_ = t.machine.Fire("Start")
		t.startedAt = now
		if t.replaces != nil {
			f.stop(t.replaces)
			t.replaces = nil
		}
	}
}
