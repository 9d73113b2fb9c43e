package dispatcher

import (
	"context"
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
	// tickFactor times the time that the last decision took is the least
	// between two: a host that is busy keeps time for its orders and commits.
	tickFactor = 3
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
	forgetInterval = 2 * time.Second
	// forgetLimit bounds the rows that one commit removes beside what it
	// writes, forgetJobs the jobs in one round.
	forgetLimit = 20
	forgetJobs  = 400
	// jobRetention is how long the row of an ended job stays: as long as a
	// request with its id may come again at an entry that doesn't know yet.
	// Its state stays for much longer; fewer rows let a successor begin sooner.
	jobRetention = 15 * time.Second
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
	row       ownerRow
	revision  int64
	startedAt time.Time
	// validUntil is until when orders may be given; read by others under mu.
	validUntil time.Time
	commitOpen bool
	committed  time.Time
	forgotAt   time.Time
	forgetting []keeper.Write
	loaded     bool
	// strays are ended jobs whose rows were seen once more: they have to be
	// removed, in case they are there.
	strays []requester.JobID
	// removing tells that rows of ended jobs are being removed.
	removing  bool
	releasing bool
	ended     bool
	tickedAt  time.Time
	tickTook  time.Duration
	loadAt    time.Time
	advisers  advisers
	asked     map[uint64]askedAdvice
	askNumber uint64
}

func newSession(d *Dispatcher, row ownerRow, revision int64, claimedAt time.Time, earlier ownerRow) *session {
	ctx, cancel := context.WithCancel(d.ctx)
	now := d.clock.Now()
	s := &session{
		dispatcher: d,
		core: scheduler.New(scheduler.Options{
			Epoch:              row.Epoch,
			MaxLease:           d.options.LongestLease,
			PreviousOwnerEager: earlier.Eager,
			PreviousOwnerTerm:  earlier.term() + ownerMargin,
		}, now),
		ctx:        ctx,
		cancel:     cancel,
		done:       make(chan struct{}),
		signal:     make(chan struct{}, 1),
		row:        row,
		revision:   revision,
		startedAt:  now,
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
	d := s.dispatcher
	now := d.clock.Now()
	s.commit(now)
	if s.core.Fenced() {
		d.log.Warn().Str("Event", "fenced").Int64("Epoch", s.row.Epoch).Msg("a worker has seen a higher epoch")
		s.ended = true
		return 0
	}
	if !s.loaded || s.releasing || !now.Before(s.validUntil) {
		return tickInterval
	}
	if wait := max(tickInterval, tickFactor*s.tickTook) - now.Sub(s.tickedAt); wait > 0 {
		return wait
	}
	s.tickedAt = now
	s.carryOut(s.core.Tick(now))
	s.tickTook = d.clock.Now().Sub(now)
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
	for _, order := range orders.Polls {
		s.goDo(func() { s.look(order) })
	}
}

func (s *session) look(order scheduler.PollOrder) {
	var wait time.Duration
	if order.LongPoll {
		wait = lookWait
	}
	var report *scheduler.Report
	result := withTimeout(s.ctx, wait+lookTimeout, func(ctx context.Context) scheduler.OrderResult {
		got, result := s.dispatcher.platform.Look(ctx, order, wait)
		report = got
		return result
	})
	s.post(func() { s.core.PollDone(s.dispatcher.clock.Now(), order, report, result) })
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
	s.group.Go(do)
}

// logNotes writes the core's notes to the log.
func (s *session) logNotes() {
	d := s.dispatcher
	for _, note := range s.core.TakeLogRecords() {
		event := d.log.Info()
		if note.Violation {
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
	s.dispatcher.cellStats.Store(&stats)
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
