package scheduler

import (
	"fmt"
	"strings"
	"time"

	"kumquatstall/requester"
)

// The owners of the model of lives: how they are lost, take over and commit to the store.

func (m *livesModel) endedInStore(id requester.JobID) bool { return m.endedJobs[id] }

// loseOwner loses the owner. The next one begins once the lease of the lost one has
// expired.
func (m *livesModel) loseOwner(f livesFault) {
	if m.lost {
		return
	}
	if m.awaitsStart(f) {
		m.after(3*time.Millisecond, func() { m.loseOwner(f) })
		return
	}
	if m.storedFirst && m.startsUnstored() {
		if m.now.Before(m.base.Add(f.at + livesStoredWait)) {
			m.after(10*time.Millisecond, func() { m.loseOwner(f) })
		}
		return
	}
	m.tracef("owner %d is lost, its batch in flight lands %v, it goes on until its lease expires %v", m.epoch, f.lands && m.inFlight != nil, f.lingers)
	m.lost, m.lingers = true, f.lingers
	if f.lands && m.inFlight != nil {
		m.store(m.inFlight, m.eager)
	}
	m.inFlight = nil
	wait := max(0, m.leaseValidUntil().Sub(m.now)) + 200*time.Millisecond + f.length
	m.after(wait, func() {
		m.lost, m.lingers = false, false
		m.takeOver()
	})
	if at := m.now.Add(wait); at.After(m.calmFrom) {
		m.calmFrom = at
	}
}

// startsUnstored reports whether the store lacks a start that is not answered.
func (m *livesModel) startsUnstored() bool {
	for _, c := range m.unansweredStarts {
		if m.endedInStore(c.name.Job) || m.now.After(m.base.Add(c.at+maxOrderDelay)) {
			continue
		}
		var row progressRow
		if DecodeRow(m.rows[ProgressKey(c.name.Job)], &row) != nil || len(row.Occurrences) == 0 {
			return true
		}
		s := row.Occurrences[0].Steps[c.name.Step]
		if !s.AllDone && !bitSet(s.Done, c.name.Index) && s.Open[c.name.Index].Run < c.run {
			return true
		}
	}
	return false
}

// term is the term of the owner's lease.
func (m *livesModel) term() time.Duration {
	if m.slow {
		return 3 * time.Second
	}
	return 800 * time.Millisecond
}

func (m *livesModel) leaseValidUntil() time.Time { return m.sentAt.Add(m.term()) }

// takeOver begins an owner that is recovered from the store, with dispatcher's options.
func (m *livesModel) takeOver() {
	m.epoch++
	m.clock = m.ownerClock()
	clear(m.unansweredStarts)
	m.tracef("owner %d begins", m.epoch)
	m.core = New(Options{
		Epoch: m.epoch, MaxLease: livesMaxLease, PreviousOwnerEager: m.eager, PreviousOwnerTerm: m.term() + 200*time.Millisecond,
		PreviousLeaseTerm: m.leaseTerm, PreviousCommitAt: m.shown(m.storedAt),
	}, m.ownerNow())
	m.sentAt, m.storedAt, m.startsEagerly = m.now, m.now, false
	if !m.plain {
		m.core.Renewed(m.ownerNow())
	}
	m.restoreRows()
	for _, job := range m.accepted {
		rows := JobRows{Job: job, Progress: m.rows[ProgressKey(job.JobID)], Details: storedDetails(m.rows, job.JobID)}
		if err := m.core.Recover(rows); err != nil {
			m.fail("recover", err.Error())
		}
	}
	if err := restoreIntended(m.core, m.rows); err != nil {
		m.fail("decode", err.Error())
	}
	m.core.JobsKnown(m.revision)
	m.readList()
}

func (m *livesModel) restoreRows() {
	if value, ok := m.rows[LeasedWorkersKey]; ok {
		var row LeasedWorkersRow
		if err := DecodeRow(value, &row); err != nil {
			m.fail("decode", err.Error())
		}
		m.core.RestoreLeasedWorkers(row)
	}
	if value, ok := m.rows[BirthsKey]; ok {
		var row BirthsRow
		if err := DecodeRow(value, &row); err != nil {
			m.fail("decode", err.Error())
		}
		m.core.RestoreBirths(row)
	}
	if err := restoreHandover(m.core, m.rows); err != nil {
		m.fail("decode", err.Error())
	}
}

// readList tells the core the list, in which a worker that is down stands.
func (m *livesModel) readList() {
	m.listReadAt = m.now
	var infos []WorkerInfo
	for _, w := range m.workers {
		if !w.hidden {
			infos = append(infos, w.entry())
		}
	}
	m.core.SetWorkers(m.ownerNow(), infos)
}

func (m *livesModel) takeLogRecords() {
	for _, r := range m.core.TakeLogRecords() {
		if r.Violation {
			m.fail("violation", fmt.Sprintf("%+v", r))
		}
		if m.tracing && r.Event != "start" {
			m.tracef("  owner %d logs: %s %s %s run %s: %s", m.epoch, r.Event, r.Worker, shortName(r.Task), shortRun(r.Run), r.Why)
		}
	}
}

// commit commits a batch, one at a time.
func (m *livesModel) commit() {
	if m.inFlight != nil || m.lost {
		return
	}
	batch := m.core.TakeBatch(80)
	if batch.Empty() && m.now.Sub(m.sentAt) < 200*time.Millisecond && !m.core.HandoverOutdated() {
		return
	}
	m.core.HandOver(batch)
	m.inFlight = batch
	core, sentAt, eager := m.core, m.now, m.nextEager()
	if m.leaseTerm == 0 && !m.plain && core.LeasesBounded() {
		m.leaseTerm = DefaultLeaseTerm
	}
	m.after(m.commitTime(), func() {
		if core != m.core || m.lost {
			return
		}
		m.store(batch, eager)
		m.awake(func() { m.committed(core, batch, sentAt, eager) })
	})
}

// committed tells the core that a batch is committed.
func (m *livesModel) committed(core *Core, batch *Batch, sentAt time.Time, eager bool) {
	if core != m.core || m.lost {
		return
	}
	m.inFlight, m.sentAt = nil, sentAt
	if !m.plain {
		core.Renewed(m.shown(sentAt))
	}
	core.Committed(m.ownerNow(), batch)
	core.StoreReached(m.shown(sentAt), m.revision)
	core.JobsKnown(m.revision)
	m.startsEagerly = eager && m.slow && m.ofEarlierVersion()
}

func (m *livesModel) commitTime() time.Duration {
	r := m.draw(uint64(m.now.Sub(m.base)))
	if m.slow {
		return time.Duration(250+r.IntN(650)) * time.Millisecond
	}
	return time.Duration(10+r.IntN(50)) * time.Millisecond
}

// ofEarlierVersion reports whether the owner is of a version that starts eagerly.
func (m *livesModel) ofEarlierVersion() bool { return m.draw(^uint64(m.epoch)).IntN(2) == 0 }

// nextEager follows dispatcher's nextEager, also that of earlier versions. The store of a case is
// slow or isn't.
func (m *livesModel) nextEager() bool {
	if m.slow && m.ofEarlierVersion() {
		return true
	}
	return m.eager && m.core.StartsMayBeUnknown()
}

// tickCore returns the owner's orders, which start only what the store names.
func (m *livesModel) tickCore() Orders {
	if m.startsEagerly {
		defer m.core.startEagerly()()
		return m.core.Tick(m.ownerNow())
	}
	orders := m.core.Tick(m.ownerNow())
	if problem := unnamed(m.rows, orders.Starts); problem != "" {
		m.fail("unnamed", problem)
	}
	return orders
}

func (m *livesModel) store(batch *Batch, eager bool) {
	for _, write := range batch.Writes {
		if write.Value == nil {
			delete(m.rows, write.Key)
		} else {
			m.rows[write.Key] = write.Value
		}
		if id, isState := strings.CutPrefix(write.Key, StatePrefix); isState {
			var row StateRow
			m.endedJobs[requester.JobID(id)] = DecodeRow(write.Value, &row) == nil && row.State.Ended()
		}
	}
	m.eager, m.storedAt = eager, m.now
	m.revision++
}
