package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// Intervals of a session.
const (
	// tickInterval is the shortest interval between ticks of the core.
	// Everything that arrives between two ticks is decided on in one pass, in
	// scheduling order.
	tickInterval = 10 * time.Millisecond
	// tickFactor times the duration of the last tick is also a lower bound of
	// the interval between ticks, which leaves a busy host time for orders and
	// commits.
	tickFactor = 3
	// idleInterval is the interval between ticks while nothing happens.
	idleInterval = 100 * time.Millisecond
	// commitInterval is the shortest interval between commits, startCommitInterval that
	// while starts wait for one.
	commitInterval      = 30 * time.Millisecond
	startCommitInterval = 10 * time.Millisecond
	// Options.OwnerTerm divided by renewFraction is the time since the last
	// commit after which a commit is sent also if it only renews the lease.
	renewFraction = 4
	// workerListInterval is the interval between reads of the list of workers.
	workerListInterval = 700 * time.Millisecond
	// maxLogLines is the most lines with events of the core that are written after a tick.
	maxLogLines = 1000
	// loadLogInterval is the interval between log lines with the cell's load.
	loadLogInterval = time.Second
	// pruneInterval is the interval between rounds that remove the rows of
	// ended jobs.
	pruneInterval = 2 * time.Second
	// maxDeletesPerCommit is the maximum number of pending deletes that a
	// commit includes. maxPrunedJobs is the maximum number of jobs in one
	// round of removals.
	maxDeletesPerCommit = 20
	// handoverRows is the number of rows for the successor in a commit.
	handoverRows  = 1
	maxPrunedJobs = 400
	// jobRetention is how long the row of an ended job is kept: as long as a
	// request with the same ID may arrive at an entry that does not know the
	// job yet. The state row is kept for much longer. Keeping fewer job rows
	// lets a successor load the cell sooner.
	jobRetention = 15 * time.Second
)

// session is one period in which this entry owns the cell.
type session struct {
	dispatcher *Dispatcher
	core       *scheduler.Core
	ctx        context.Context
	cancel     context.CancelFunc
	group      sync.WaitGroup
	done       chan struct{}

	mu sync.Mutex
	// mailbox has the functions that the control goroutine is to run. signal
	// wakes that goroutine.
	mailbox []func()
	signal  chan struct{}

	// acquiredRevision is the revision of the acquisition. Rows as of an earlier
	// one may lack what the previous owner has committed.
	acquiredRevision int64

	// The remaining fields are used by the control goroutine only, with the
	// exception of leaseValidUntil.

	// row and revision are those of the owner's row that was last committed.
	row       ownerRow
	revision  int64
	startedAt time.Time
	// leaseValidUntil is when the owner's lease expires. From then on the core
	// issues no orders and no start is sent. The control goroutine writes it
	// under mu, and other goroutines read it under mu.
	leaseValidUntil time.Time
	commitInFlight  bool
	// renewedAt is when the last successful commit was sent.
	renewedAt time.Time
	prunedAt  time.Time
	// pendingDeletes are removals that later commits include.
	pendingDeletes []keeper.Write
	// loaded is true once the core is recovered from the cell's rows.
	loaded bool
	// staleJobs are ended jobs whose rows a read or watch has returned again.
	// These rows are removed in case the store still has them.
	staleJobs []requester.JobID
	// leftovers are the rows among those of jobs that belong to no job, by key.
	leftovers map[string]leftover
	// pruneInFlight is true while rows of ended jobs are being removed.
	pruneInFlight bool
	// releasing is true if the next commit releases the cell.
	releasing bool
	// ended is true once the cell is released or lost.
	ended        bool
	tickedAt     time.Time
	tickDuration time.Duration
	loadLoggedAt time.Time
	// records are the log records of the core that are not written yet.
	records []scheduler.LogRecord
	adviser *adviser
}

// newSession returns a session of the cell that was acquired by committing row.
// acquiredAt is when that transaction was sent, and previous is the row that it
// replaced, as this entry observed it.
func newSession(d *Dispatcher, row ownerRow, revision int64, acquiredAt time.Time, previous ownerView) *session {
	ctx, cancel := context.WithCancel(d.ctx)
	now := d.clock.Now()
	s := &session{
		dispatcher: d,
		core: scheduler.New(scheduler.Options{
			Epoch:              row.Epoch,
			MaxLease:           d.options.MaxLease,
			LongestStop:        d.options.LongestStop,
			RowBytes:           d.options.RowBytes,
			MaxRuns:            d.options.MaxRuns,
			PreviousOwnerEager: previous.row.Eager,
			PreviousOwnerTerm:  previous.row.term() + ownerSafetyMargin,
			PreviousLeaseTerm:  previous.row.leaseTerm(),
			PreviousCommitAt:   previous.observedAt,
		}, now),
		ctx:              ctx,
		cancel:           cancel,
		done:             make(chan struct{}),
		signal:           make(chan struct{}, 1),
		row:              row,
		revision:         revision,
		acquiredRevision: revision,
		startedAt:        now,
		leaseValidUntil:  acquiredAt.Add(row.term()),
		renewedAt:        acquiredAt,
		prunedAt:         now,
		leftovers:        make(map[string]leftover),
	}
	s.core.Renewed(acquiredAt)
	s.adviser = newAdviser(s.core, d.options.Self, row.Epoch)
	return s
}

// run is the control goroutine. It returns once the cell is lost or released,
// or the entry is closing.
func (s *session) run() {
	d := s.dispatcher
	d.log.Info().Str("Event", "own").Int64("Epoch", s.row.Epoch).Msg("acquired the cell; loading its rows")
	defer close(s.done)
	defer s.group.Wait()
	defer s.cancel()
	s.spawn(s.load)
	s.spawn(s.refreshWorkers)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for !s.ended && s.ctx.Err() == nil {
		select {
		case <-s.ctx.Done():
		case <-timer.C:
		case <-s.signal:
		}
		for _, do := range s.drainMailbox() {
			do()
		}
		timer.Reset(s.advance())
	}
	s.logEnd()
}

// advance commits if a commit is due and, if a tick of the core is due and the
// lease is valid, runs the tick, sends the core's orders and advice requests,
// logs and prunes. It returns how long to wait before the next call if nothing
// is posted meanwhile.
func (s *session) advance() time.Duration {
	d := s.dispatcher
	now := d.clock.Now()
	s.commit(now)
	if s.core.Fenced() {
		d.log.Warn().Str("Event", "fenced").Int64("Epoch", s.row.Epoch).Msg("a worker rejected an order because it has seen a higher epoch; ownership of the cell ends")
		s.ended = true
		return 0
	}
	if !s.loaded || s.releasing || !now.Before(s.leaseValidUntil) {
		return tickInterval
	}
	if s.core.OrdersWaiting() {
		s.sendOrders(s.core.TakeOrders(now))
	}
	if wait := max(tickInterval, tickFactor*s.tickDuration) - now.Sub(s.tickedAt); wait > 0 {
		return wait
	}
	s.tickedAt = now
	s.core.SetCarriers(now, d.carriers(now))
	s.sendOrders(s.core.Tick(now))
	s.tickDuration = d.clock.Now().Sub(now)
	s.requestAdvice(now)
	s.writeLogRecords(maxLogLines)
	s.logLoad(now)
	s.prune(now)
	if s.core.Dirty() {
		// What the tick has placed starts only after this.
		s.commit(d.clock.Now())
		return tickInterval
	}
	return idleInterval
}

// sendOrders sends orders on goroutines of their own, which post the results.
// A start or a poll is not sent once the owner's lease has expired.
func (s *session) sendOrders(orders scheduler.Orders) {
	d := s.dispatcher
	for _, order := range orders.Stops {
		s.spawn(func() {
			result := withTimeout(s.ctx, scheduler.OrderTimeout, func(ctx context.Context) scheduler.OrderResult { return d.platform.Stop(ctx, order) })
			s.post(func() { s.core.StopDone(d.clock.Now(), order, result) })
		})
	}
	for _, batch := range orders.Batches {
		d.linker.Send(batch.Carrier, &encoder.StopRequest{Batch: batch, RemainingMicros: scheduler.CarryTime.Microseconds()})
	}
	for _, order := range orders.Starts {
		s.spawn(func() { s.start(order) })
	}
	for _, order := range orders.Paces {
		s.spawn(func() {
			result := withTimeout(s.ctx, scheduler.OrderTimeout, func(ctx context.Context) scheduler.OrderResult { return d.platform.Pace(ctx, order) })
			s.post(func() { s.core.PaceDone(d.clock.Now(), order, result) })
		})
	}
	for _, order := range orders.Polls {
		s.spawn(func() { s.poll(order) })
	}
}

// start sends a start, unless the owner's lease has expired, and posts the result.
func (s *session) start(order scheduler.StartOrder) {
	var clock scheduler.WorkerTime
	result := scheduler.OrderRefused
	if !s.leaseValid() {
		s.logNotSent(order)
	} else {
		result = withTimeout(s.ctx, scheduler.OrderTimeout, func(ctx context.Context) scheduler.OrderResult {
			shown, result := s.dispatcher.platform.Start(ctx, order)
			clock = shown
			return result
		})
	}
	s.post(func() {
		now := s.dispatcher.clock.Now()
		if result == scheduler.OrderAccepted {
			s.core.StartAccepted(now, order, clock)
		} else {
			s.core.StartDone(now, order, result)
		}
	})
}

// poll polls a worker, unless the owner's lease has expired, and posts its report and the
// result. A poll grants a lease, for which a successor waits only if it is sent in time.
func (s *session) poll(order scheduler.PollOrder) {
	var wait time.Duration
	if order.LongPoll {
		wait = scheduler.PollWait
	}
	var report *scheduler.Report
	result := scheduler.OrderUnsent
	if s.leaseValid() {
		result = withTimeout(s.ctx, wait+scheduler.PollTimeout, func(ctx context.Context) scheduler.OrderResult {
			received, result := s.dispatcher.platform.Poll(ctx, order, wait)
			report = received
			return result
		})
	}
	s.post(func() { s.core.PollDone(s.dispatcher.clock.Now(), order, report, result) })
}

func withTimeout[T any](parent context.Context, timeout time.Duration, do func(context.Context) T) T {
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	return do(ctx)
}

// leaseValid reports whether the owner's lease has not expired, so that a start or a
// poll may be sent.
func (s *session) leaseValid() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.clock.Now().Before(s.leaseValidUntil)
}

// post queues a function for the control goroutine.
func (s *session) post(do func()) {
	s.mu.Lock()
	s.mailbox = append(s.mailbox, do)
	s.mu.Unlock()
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// drainMailbox removes and returns the functions in the mailbox.
func (s *session) drainMailbox() []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	posted := s.mailbox
	s.mailbox = nil
	return posted
}

// spawn runs a function on a goroutine that the end of the session waits for.
func (s *session) spawn(do func()) {
	s.group.Go(do)
}

// writeLogRecords writes the core's log records to the log, up to limit of them. The others
// wait: when very many runs end at once, their lines would take longer than the owner's lease
// allows.
func (s *session) writeLogRecords(limit int) {
	s.records = append(s.records, s.core.TakeLogRecords()...)
	count := min(len(s.records), limit)
	for i := range s.records[:count] {
		s.writeLogRecord(&s.records[i])
	}
	if s.records = s.records[count:]; len(s.records) == 0 {
		s.records = nil
	}
}

func (s *session) writeLogRecord(record *scheduler.LogRecord) {
	event := s.dispatcher.log.Info()
	switch {
	case record.Violation:
		event = s.dispatcher.log.Error()
	case record.Warning:
		event = s.dispatcher.log.Warn()
	}
	event = event.Str("Event", record.Event).Int64("Epoch", s.row.Epoch)
	if record.Job != "" {
		event = event.Str("Job", string(record.Job))
	}
	if record.Task.Job != "" {
		logRun(event, record.Task, record.Run)
	}
	if record.Worker != "" {
		event = event.Str("Worker", string(record.Worker))
	}
	logLife(event, record)
	if record.Waited != 0 {
		event = event.Dur("WaitedMillis", record.Waited).Int("Tier", record.Tier)
	}
	if record.Why != "" {
		event = event.Str("Why", record.Why)
	}
	logWaitDetail(event, record.Wait)
	event.Send()
}

// logRun adds to a line which run of a job's task it is about.
func logRun(event *zerolog.Event, task scheduler.TaskName, run scheduler.RunNumber) {
	event.Int64("Occurrence", task.Occurrence).Int("Step", task.Step).Int("Task", task.Index).Int64("Run", int64(run))
}

// logLife adds to a line what the core knows of the worker's incarnation and its lease.
func logLife(event *zerolog.Event, record *scheduler.LogRecord) {
	if record.Address.IsValid() {
		event.Str("Address", record.Address.String())
	}
	if !record.BootedAt.IsZero() {
		event.Int64("BootedMS", record.BootedAt.UnixMilli())
	}
	if !record.FormerBootedAt.IsZero() {
		event.Int64("FormerBootedMS", record.FormerBootedAt.UnixMilli())
	}
	lease := &record.Lease
	if lease.Deadline != 0 {
		event.Int64("Deadline", int64(lease.Deadline))
	}
	if lease.Clock != 0 {
		event.Int64("Clock", int64(lease.Clock)).Dur("ClockAgeMillis", lease.ClockAge)
	}
	if lease.GrantAge != 0 {
		event.Dur("GrantAgeMillis", lease.GrantAge)
	}
}

// logLoad logs the load of the cell once per loadLogInterval, and publishes the
// core's counters.
func (s *session) logLoad(now time.Time) {
	if now.Sub(s.loadLoggedAt) < loadLogInterval {
		return
	}
	s.loadLoggedAt = now
	load, stats := s.core.Load(), s.core.Stats()
	s.dispatcher.cellStats.Store(&stats)
	s.dispatcher.cellAwaited.Store(&load.Awaited)
	s.dispatcher.log.Info().Str("Event", "load").Int64("Epoch", s.row.Epoch).
		Int("Jobs", load.Jobs).Int("OpenTasks", load.OpenTasks).Int("Unasked", load.Unasked).Int("Runs", load.RunningRuns).
		Int("Workers", load.Workers).Int("Silent", load.Silent).Int("Asking", len(s.adviser.pending)).Int("Advisers", len(s.adviser.relays)).Int("AdvisersLate", s.adviser.relays.suspects()).
		Dict("Waits", waits(&load)).Int64("UsedMilliCores", load.Used.MilliCores).Int64("MilliCores", load.Total.MilliCores).
		Int("StartsUnderWay", load.StartsUnderWay).Int("OrdersInFlight", load.OrdersInFlight).Int("OrdersWaiting", load.OrdersWaiting).Int("Carriers", load.Carriers).Int("StopsCarried", load.StopsCarried).Int("Suspects", load.Suspects).Int("Trials", load.Trials).Int64("FreeMilliCores", load.FreeMilliCores).Int64("WantedMilliCores", load.WantedMilliCores).
		Int64("Starts", stats.Starts).Int64("Done", stats.Done).Int64("Failed", stats.Failed).Int64("Lapsed", stats.Lapsed).Int64("Acknowledged", stats.Acknowledged).Int64("Vanished", stats.Vanished).Int64("Resurfaced", stats.Resurfaced).Int64("ReleasedActive", stats.ReleasedActive).Int64("ForeignRuns", stats.ForeignRuns).Int64("EndsMissing", stats.EndsMissing).Int64("DoubtfulAcks", stats.DoubtfulAcks).Int64("MisdirectedAcks", stats.MisdirectedAcks).Int64("UnknownLives", stats.UnknownLives).Int64("AdviceAsked", stats.AdviceAsked).Int64("AdviceFailed", s.dispatcher.counters.adviceFailed.Load()).Dur("StoreMillis", s.dispatcher.store.Latency()).
		Dict("Awaited", awaitedFields(&load.Awaited)).Int64("OpenStarts", stats.OpenStarts).Int64("Repeated", stats.Repeated).Int64("OpenStartWaitMillis", stats.OpenStartWaitMillis).Int64("UnknownRunsWaitMillis", stats.UnknownRunsWaitMillis).
		Send()
}
