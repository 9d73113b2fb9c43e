package dispatcher

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// Intervals of a session.
const (
	// tickInterval separates decisions: what comes in between is decided on
	// together, in order.
	tickInterval = 10 * time.Millisecond
	// idleInterval is how often time is noticed when nothing happens.
	idleInterval = 100 * time.Millisecond
	// commitInterval separates commits while there is something to write.
	commitInterval = 30 * time.Millisecond
	// renewFraction of the owner's term is when a commit without rows renews.
	renewFraction = 4
	// orderTimeout bounds a start or stop. Without an answer by then the
	// worker counts as silent.
	orderTimeout = 700 * time.Millisecond
	// lookWait is how long a worker may wait for an end before it answers.
	lookWait = time.Second
	// lookTimeout bounds a look beyond its wait.
	lookTimeout = 700 * time.Millisecond
	// listInterval separates reads of the list of workers.
	listInterval = 700 * time.Millisecond
	// loadInterval separates lines in the log on how busy the cell is.
	loadInterval = time.Second
	// forgetInterval separates removals of the rows of jobs long ended.
	forgetInterval = 5 * time.Second
	// forgetLimit bounds the rows that one commit removes beside what it
	// writes, forgetJobs the jobs in one round.
	forgetLimit = 20
	forgetJobs  = 400
	// jobRetention is how long the row of an ended job stays: as long as a
	// request with its id may come again at an entry that doesn't know yet.
	jobRetention = 30 * time.Second
)

// session is the time during which this entry owns the cell.
type session struct {
	dispatcher *Dispatcher
	core       *scheduler.Core
	ctx        context.Context
	cancel     context.CancelFunc
	group      sync.WaitGroup
	done       chan struct{}

	mu      sync.Mutex
	mailbox []func()
	signal  chan struct{}

	// What follows is used by the control goroutine only.
	row      ownerRow
	revision int64
	// validUntil is until when orders may be given; read by others under mu.
	validUntil time.Time
	commitOpen bool
	committed  time.Time
	forgotAt   time.Time
	forgetting []keeper.Write
	loaded     bool
	// removing tells that rows of ended jobs are being removed.
	removing  bool
	releasing bool
	ended     bool
	tickedAt  time.Time
	loadAt    time.Time
	advisers  advisers
	asked     map[uint64]askedAdvice
	askNumber uint64
}

func newSession(d *Dispatcher, row ownerRow, revision int64, claimedAt time.Time, earlierEager bool) *session {
	ctx, cancel := context.WithCancel(d.ctx)
	now := d.clock.Now()
	s := &session{
		dispatcher: d,
		core: scheduler.New(scheduler.Options{
			Epoch:        row.Epoch,
			LongestLease: d.options.LongestLease,
			EarlierEager: earlierEager,
			EarlierTerm:  maxOwnerTerm + ownerMargin,
		}, now),
		ctx:        ctx,
		cancel:     cancel,
		done:       make(chan struct{}),
		signal:     make(chan struct{}, 1),
		row:        row,
		revision:   revision,
		validUntil: claimedAt.Add(row.term()),
		committed:  claimedAt,
		forgotAt:   now,
		asked:      make(map[uint64]askedAdvice),
	}
	s.advisers.add(d.options.Self)
	return s
}

// run is the control goroutine. It returns when the cell is lost or given up.
func (s *session) run() {
	d := s.dispatcher
	d.log.Info().Str("Event", "own").Int64("Epoch", s.row.Epoch).Msg("owns the cell")
	defer close(s.done)
	defer s.group.Wait()
	defer s.cancel()
	s.goDo(s.load)
	s.goDo(s.followWorkers)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for !s.ended && s.ctx.Err() == nil {
		select {
		case <-s.ctx.Done():
		case <-timer.C:
		case <-s.signal:
		}
		for _, do := range s.take() {
			do()
		}
		timer.Reset(s.step())
	}
	d.log.Info().Str("Event", "disown").Int64("Epoch", s.row.Epoch).Msg("gives the cell up")
}

// step decides what is due and returns how long nothing more will be.
func (s *session) step() time.Duration {
	now := s.dispatcher.clock.Now()
	s.commit(now)
	if s.core.Fenced() {
		s.dispatcher.log.Warn().Str("Event", "fenced").Int64("Epoch", s.row.Epoch).Msg("a worker has seen a higher epoch")
		s.ended = true
		return 0
	}
	if !s.loaded || s.releasing || !now.Before(s.validUntil) {
		return tickInterval
	}
	if wait := tickInterval - now.Sub(s.tickedAt); wait > 0 {
		return wait
	}
	s.tickedAt = now
	s.carryOut(s.core.Tick(now))
	s.ask(now)
	s.logNotes()
	s.logLoad(now)
	s.forget(now)
	if s.core.Dirty() {
		return tickInterval
	}
	return idleInterval
}

// carryOut gives orders without waiting for their answers.
func (s *session) carryOut(orders scheduler.Orders) {
	d := s.dispatcher
	for _, order := range orders.Stops {
		s.goDo(func() {
			result := withTimeout(s.ctx, orderTimeout, func(ctx context.Context) scheduler.OrderResult { return d.platform.Stop(ctx, order) })
			s.post(func() { s.core.StopDone(d.clock.Now(), order, result) })
		})
	}
	for _, order := range orders.Starts {
		s.goDo(func() {
			result := scheduler.OrderRefused
			if s.valid() {
				result = withTimeout(s.ctx, orderTimeout, func(ctx context.Context) scheduler.OrderResult { return d.platform.Start(ctx, order) })
			}
			s.post(func() { s.core.StartDone(d.clock.Now(), order, result) })
		})
	}
	for _, order := range orders.Looks {
		s.goDo(func() { s.look(order) })
	}
}

func (s *session) look(order scheduler.LookOrder) {
	var wait time.Duration
	if order.Wait {
		wait = lookWait
	}
	var report *scheduler.Report
	result := withTimeout(s.ctx, wait+lookTimeout, func(ctx context.Context) scheduler.OrderResult {
		got, result := s.dispatcher.platform.Look(ctx, order, wait)
		report = got
		return result
	})
	s.post(func() { s.core.LookDone(s.dispatcher.clock.Now(), order, report, result) })
}

func withTimeout[T any](parent context.Context, timeout time.Duration, do func(context.Context) T) T {
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	return do(ctx)
}

// valid reports whether orders may be given now.
func (s *session) valid() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.clock.Now().Before(s.validUntil)
}

// commit writes what has changed, or only renews.
func (s *session) commit(now time.Time) {
	d := s.dispatcher
	if s.commitOpen || now.Sub(s.committed) < commitInterval {
		return
	}
	var batch *scheduler.Batch
	if s.loaded {
		batch = s.core.TakeBatch(maxTransaction - forgetLimit)
	} else {
		batch = &scheduler.Batch{}
	}
	renew := now.Sub(s.committed) >= d.options.OwnerTerm/renewFraction
	if batch.Empty() && len(s.forgetting) == 0 && !renew && !s.releasing {
		return
	}
	s.commitOpen = true
	next := s.row
	next.Counter++
	next.Released = s.releasing
	next.TermMillis = d.ownerTerm().Milliseconds()
	next.Eager = s.eagerNext()
	transaction := keeper.Transaction{
		Conditions: []keeper.Condition{{Key: ownerKey, Revision: s.revision}},
		Writes:     []keeper.Write{{Key: ownerKey, Value: scheduler.EncodeRow(next)}},
	}
	forgetting := min(len(s.forgetting), forgetLimit)
	transaction.Writes = append(transaction.Writes, s.forgetting[:forgetting]...)
	s.forgetting = s.forgetting[forgetting:]
	for _, save := range batch.Saves {
		transaction.Writes = append(transaction.Writes, keeper.Write{Key: save.Key, Value: save.Value, Delete: save.Value == nil})
	}
	s.goDo(func() { s.write(next, batch, transaction) })
}

// eagerNext tells whether steps may start before they are stored as begun. With
// a slow store they do, as the workers' tickets would have aged otherwise. A
// successor that finds this in the owner's row takes every step as begun.
func (s *session) eagerNext() bool {
	latency := s.dispatcher.store.Latency()
	if !s.row.Eager {
		return latency > eagerFrom
	}
	if !s.loaded || latency > eagerUntil {
		return true
	}
	// From now on nothing starts early; once all that did is stored, the row
	// may say so.
	s.core.SetEager(false)
	return s.core.Dirty()
}

// The latencies of the store from which and until which steps start early.
const (
	eagerFrom  = 200 * time.Millisecond
	eagerUntil = 80 * time.Millisecond
)

// write sends a transaction until its fate is known. The same bytes are sent
// each time: of several that were performed, also late, only one can count.
func (s *session) write(next ownerRow, batch *scheduler.Batch, transaction keeper.Transaction) {
	d := s.dispatcher
	sentAt := d.clock.Now()
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		result, err := d.store.Transact(ctx, transaction)
		cancel()
		d.counters.commits.Add(1)
		if err != nil {
			d.counters.commitsFailed.Add(1)
			if !sleep(s.ctx, retryInterval) {
				return
			}
			continue
		}
		revision, mine := result.Revision, result.Committed
		if !mine {
			var current keeper.Row
			current, mine = conflictAt(result, ownerKey, transaction.Writes[0].Value)
			revision = current.Revision
		}
		s.post(func() { s.written(next, batch, revision, mine, sentAt) })
		return
	}
}

func (s *session) written(next ownerRow, batch *scheduler.Batch, revision int64, mine bool, sentAt time.Time) {
	d := s.dispatcher
	now := d.clock.Now()
	s.commitOpen = false
	if !mine {
		d.log.Warn().Str("Event", "lost cell").Int64("Epoch", s.row.Epoch).Msg("another entry has claimed the cell")
		s.ended = true
		return
	}
	s.row, s.revision = next, revision
	s.committed = sentAt
	s.mu.Lock()
	s.validUntil = sentAt.Add(next.term())
	s.mu.Unlock()
	d.counters.commitTime.Observe(now.Sub(sentAt))
	s.core.Saved(now, batch)
	if s.loaded && next.Eager && d.store.Latency() > eagerUntil {
		s.core.SetEager(true)
	}
	s.tellStates(batch, revision)
	if next.Released {
		s.ended = true
	}
}

// release gives the cell up.
func (s *session) release() { s.post(func() { s.releasing = true }) }

// post hands something to the control goroutine.
func (s *session) post(do func()) {
	s.mu.Lock()
	s.mailbox = append(s.mailbox, do)
	s.mu.Unlock()
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

func (s *session) take() []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := s.mailbox
	s.mailbox = nil
	return waiting
}

func (s *session) goDo(do func()) {
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		do()
	}()
}

// load reads what an earlier owner left, then follows the jobs.
func (s *session) load() {
	for {
		revision, err := s.loadOnce()
		if err == nil {
			s.followJobs(revision)
			return
		}
		s.dispatcher.log.Warn().Str("Event", "load").Err(err).Msg("the cell's rows can't be read")
		if !sleep(s.ctx, retryInterval) {
			return
		}
	}
}

func (s *session) loadOnce() (int64, error) {
	d := s.dispatcher
	ctx, cancel := context.WithTimeout(s.ctx, 3*storeTimeout)
	defer cancel()
	progress, _, err := d.platform.List(ctx, scheduler.ProgressPrefix)
	if err != nil {
		return 0, err
	}
	rows, revision, err := s.listJobs(ctx)
	if err != nil {
		return 0, err
	}
	byKey := make(map[string][]byte, len(progress)+len(rows))
	for _, row := range progress {
		byKey[row.Key] = row.Value
	}
	for _, row := range rows {
		byKey[row.Key] = row.Value
	}
	s.post(func() { s.recover(byKey) })
	return revision, nil
}

// recover gives the core what the rows tell.
func (s *session) recover(rows map[string][]byte) {
	d := s.dispatcher
	if roster := rows[scheduler.RosterKey]; roster != nil {
		var row scheduler.RosterRow
		if err := scheduler.DecodeRow(roster, &row); err != nil {
			d.log.Error().Str("Event", "row").Str("Key", scheduler.RosterKey).Err(err).Msg("row can't be read")
		}
		s.core.SetRoster(row)
	}
	jobs := 0
	for key, value := range rows {
		if !strings.HasPrefix(key, scheduler.JobTable) || strings.HasSuffix(key, scheduler.CancelSuffix) {
			continue
		}
		job, ok := s.decodeJob(key, value)
		if !ok {
			continue
		}
		jobs++
		_, cancelled := rows[scheduler.CancelKey(job.JobID)]
		err := s.core.Recover(scheduler.JobRows{
			Job:       job,
			Progress:  rows[scheduler.ProgressKey(job.JobID)],
			Cancelled: cancelled,
		})
		if err != nil {
			d.log.Error().Str("Event", "row").Str("Job", string(job.JobID)).Err(err).Msg("row can't be read")
		}
	}
	s.removeOrphans(rows)
	s.loaded = true
	d.log.Info().Str("Event", "recovered").Int64("Epoch", s.row.Epoch).Int("Jobs", jobs).Msg("has read the cell's rows")
}

// removeOrphans removes the progress of jobs whose own rows are gone.
func (s *session) removeOrphans(rows map[string][]byte) {
	for key := range rows {
		id := requester.JobID(strings.TrimPrefix(key, scheduler.ProgressPrefix))
		if !strings.HasPrefix(key, scheduler.ProgressPrefix) || key == scheduler.RosterKey || s.core.Knows(id) {
			continue
		}
		s.forgetting = append(s.forgetting, keeper.Write{Key: key, Delete: true})
	}
}

func (s *session) decodeJob(key string, value []byte) (scheduler.Job, bool) {
	var job scheduler.Job
	if err := scheduler.DecodeRow(value, &job); err != nil {
		s.dispatcher.log.Error().Str("Event", "row").Str("Key", key).Err(err).Msg("row can't be read")
		return job, false
	}
	return job, true
}

// followJobs takes in jobs and cancellations as they are stored.
func (s *session) followJobs(revision int64) {
	d := s.dispatcher
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, watchWait+storeTimeout)
		changes, next, err := d.platform.Watch(ctx, scheduler.JobTable, revision, time.Now().Add(watchWait))
		cancel()
		if isGone(err) {
			changes, next, err = s.relistJobs()
		}
		if err != nil {
			if !sleep(s.ctx, retryInterval) {
				return
			}
			continue
		}
		revision = next
		if len(changes) > 0 {
			s.post(func() { s.takeJobs(changes) })
		}
		if !sleep(s.ctx, jobsInterval) {
			return
		}
	}
}

// jobsInterval separates watches of the jobs. Most jobs are told over links
// before.
const jobsInterval = 200 * time.Millisecond

// listJobs reads the jobs in all parts, and a revision after which changes are
// missing from them.
func (s *session) listJobs(ctx context.Context) ([]keeper.Row, int64, error) {
	type listed struct {
		rows     []keeper.Row
		revision int64
		err      error
	}
	parts := make([]listed, scheduler.JobParts)
	var group sync.WaitGroup
	for part := range parts {
		group.Go(func() {
			l := &parts[part]
			l.rows, l.revision, l.err = s.dispatcher.platform.List(ctx, scheduler.JobPrefix(part))
		})
	}
	group.Wait()
	var rows []keeper.Row
	revision := parts[0].revision
	for _, l := range parts {
		if l.err != nil {
			return nil, 0, l.err
		}
		rows = append(rows, l.rows...)
		revision = min(revision, l.revision)
	}
	return rows, revision, nil
}

func (s *session) relistJobs() ([]Change, int64, error) {
	ctx, cancel := context.WithTimeout(s.ctx, 2*storeTimeout)
	defer cancel()
	rows, revision, err := s.listJobs(ctx)
	changes := make([]Change, len(rows))
	for i, row := range rows {
		changes[i] = Change{Row: row}
	}
	return changes, revision, err
}

func (s *session) takeJobs(changes []Change) {
	now := s.dispatcher.clock.Now()
	for _, change := range changes {
		if change.Removed {
			continue
		}
		key := change.Row.Key
		if strings.HasSuffix(key, scheduler.CancelSuffix) {
			id := strings.TrimSuffix(key[strings.LastIndex(key, "/")+1:], scheduler.CancelSuffix)
			s.core.Cancel(now, requester.JobID(id))
			continue
		}
		if job, ok := s.decodeJob(key, change.Row.Value); ok {
			s.core.Add(now, job)
		}
	}
}

// followWorkers keeps the core's list of workers.
func (s *session) followWorkers() {
	d := s.dispatcher
	var failing bool
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		infos, err := d.platform.ListWorkers(ctx)
		cancel()
		d.noteDependency("worker list", err, &failing)
		wait := listInterval
		if err != nil {
			wait = retryInterval
		} else {
			s.post(func() { s.core.SetWorkers(d.clock.Now(), infos) })
		}
		if !sleep(s.ctx, wait) {
			return
		}
	}
}

// forget removes the rows of jobs that ended a while ago: first the jobs, so
// that no owner can take them for unfinished, then their progress, and much
// later their states.
func (s *session) forget(now time.Time) {
	if now.Sub(s.forgotAt) < forgetInterval {
		return
	}
	s.forgotAt = now
	before := now.Add(-s.dispatcher.options.StateRetention)
	if len(s.forgetting) == 0 {
		for _, id := range s.dispatcher.board.endedBefore(before, forgetJobs) {
			if !s.core.Knows(id) {
				s.forgetting = append(s.forgetting, keeper.Write{Key: scheduler.StateKey(id), Delete: true})
			}
		}
	}
	ids := s.core.Ended(now.Add(-jobRetention), forgetJobs)
	if len(ids) == 0 || s.removing {
		return
	}
	s.removing = true
	s.goDo(func() {
		removed := s.removeJobs(ids)
		s.post(func() {
			s.removing = false
			s.core.Drop(removed)
			for _, id := range removed {
				s.forgetting = append(s.forgetting, keeper.Write{Key: scheduler.ProgressKey(id), Delete: true})
			}
		})
	})
}

// removeJobs removes the rows of jobs, part by part, and returns those that are
// gone.
func (s *session) removeJobs(ids []requester.JobID) []requester.JobID {
	byPart := make(map[int][]requester.JobID)
	for _, id := range ids {
		part := scheduler.JobPart(id)
		byPart[part] = append(byPart[part], id)
	}
	var removed []requester.JobID
	for part := range scheduler.JobParts {
		for group := range slices.Chunk(byPart[part], maxTransaction/2) {
			var transaction keeper.Transaction
			for _, id := range group {
				transaction.Writes = append(transaction.Writes,
					keeper.Write{Key: scheduler.JobKey(id), Delete: true}, keeper.Write{Key: scheduler.CancelKey(id), Delete: true})
			}
			ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
			_, err := s.dispatcher.store.Transact(ctx, transaction)
			cancel()
			if err != nil {
				// They are tried again with the next round.
				s.dispatcher.log.Warn().Str("Event", "forget").Err(err).Msg("rows of ended jobs can't be removed")
				return removed
			}
			removed = append(removed, group...)
		}
	}
	return removed
}

// logNotes writes the core's notes to the log.
func (s *session) logNotes() {
	d := s.dispatcher
	for _, note := range s.core.TakeNotes() {
		event := d.log.Info()
		if note.Broken {
			event = d.log.Error()
		}
		event = event.Str("Event", note.Event).Int64("Epoch", s.row.Epoch)
		if note.Job != "" {
			event = event.Str("Job", string(note.Job))
		}
		if note.Task.Job != "" {
			event = event.Int64("Occurrence", note.Task.Occurrence).Int("Step", note.Task.Step).Int("Task", note.Task.Index).Int64("Run", int64(note.Run))
		}
		if note.Worker != "" {
			event = event.Str("Worker", string(note.Worker))
		}
		if note.Waited != 0 {
			event = event.Dur("WaitedMillis", note.Waited).Int("Tier", note.Tier)
		}
		if note.Why != "" {
			event = event.Str("Why", note.Why)
		}
		event.Send()
	}
}

// logLoad says once a second how busy the cell is.
func (s *session) logLoad(now time.Time) {
	if now.Sub(s.loadAt) < loadInterval {
		return
	}
	s.loadAt = now
	load, stats := s.core.Load(), s.core.Stats()
	s.dispatcher.log.Info().Str("Event", "load").Int64("Epoch", s.row.Epoch).
		Int("Jobs", load.Jobs).Int("OpenTasks", load.OpenTasks).Int("Unasked", load.Unasked).Int("Runs", load.RunningRuns).
		Int("Workers", load.Workers).Int("Silent", load.Silent).Int("Asking", len(s.asked)).Int("Advisers", len(s.advisers)).
		Int64("UsedMilliCores", load.Used.MilliCores).Int64("MilliCores", load.Total.MilliCores).
		Int64("Starts", stats.Starts).Int64("Done", stats.Done).Int64("Failed", stats.Failed).Int64("Lapsed", stats.Lapsed).Int64("AdviceAsked", stats.AdviceAsked).Int64("AdviceFailed", s.dispatcher.counters.adviceFailed.Load()).Dur("StoreMillis", s.dispatcher.store.Latency()).
		Send()
}

func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
