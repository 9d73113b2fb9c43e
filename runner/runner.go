// Package runner runs one entry: it joins the decision core with the parts
// that do input and output.
//
// One control goroutine owns the core. It takes events from a mailbox, hands
// each to the core with the time, and carries out the commands that come
// back; none of these blocks. Everything else (links, the table client,
// attempts at endpoints, syncs of workers, HTTP) runs on other goroutines and
// posts events. Those goroutines read the entry's View, an immutable snapshot.
package runner

import (
	"context"
	"crypto/tls"
	"expvar"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"kumquatstall/caller"
	"kumquatstall/configurer"
	"kumquatstall/decider"
	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/linker"
	"kumquatstall/meter"
	"kumquatstall/requester"
	"kumquatstall/server"
	"kumquatstall/tuner"
)

// tickInterval is how often the core is told that time has passed.
const tickInterval = 50 * time.Millisecond

// viewInterval is how often the snapshot is renewed.
const viewInterval = 100 * time.Millisecond

// Entry is one running entry.
type Entry struct {
	settings *configurer.Settings
	log      zerolog.Logger
	core     *decider.Core
	mailbox  *mailbox
	linker   *linker.Linker
	table    *keeper.Client
	hosts    *keeper.HostLister
	caller   *caller.Caller
	server   *server.Server
	meter    *meter.Meter
	vars     *expvar.Map
	view     atomic.Pointer[decider.View]
	profiles atomic.Pointer[profiles]
	tokens   atomic.Uint64
	waiters  sync.Map
	ctx      context.Context
	cancel   context.CancelFunc
	traffic  sync.WaitGroup
	stopped  chan struct{}
	done     chan struct{}
}

var (
	_ linker.Handler = (*Entry)(nil)
	_ server.Control = (*Entry)(nil)
)

// Start starts an entry by its settings. It is ready once View says so.
func Start(settings *configurer.Settings, log zerolog.Logger) (*Entry, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		settings: settings,
		log:      log.With().Str("Entry", string(settings.EntryID)).Logger(),
		mailbox:  newMailbox(),
		hosts:    keeper.NewHostLister(settings.Platform.HostList),
		caller:   caller.New(caller.Options{MaxAnswer: settings.Limits.MaxAnswerBytes}),
		meter:    meter.New(),
		vars:     new(expvar.Map).Init(),
		ctx:      ctx,
		cancel:   cancel,
		stopped:  make(chan struct{}),
		done:     make(chan struct{}),
	}
	e.profiles.Store(&profiles{})
	if err := e.start(); err != nil {
		cancel()
		return nil, err
	}
	return e, nil
}

func (e *Entry) start() error {
	s := e.settings
	tlsConfig, err := clientTLS(&s.TLS)
	if err != nil {
		return err
	}
	httpServer, err := server.Listen(s, e)
	if err != nil {
		return err
	}
	e.server = httpServer
	advertise := s.Advertise
	if advertise.Port() == 0 {
		advertise = netip.AddrPortFrom(advertise.Addr(), httpServer.Address().Port())
	}
	incarnation := time.Now().UnixNano()
	self := encoder.PeerInfo{EntryID: s.EntryID, DataCentre: s.DataCentre, Address: advertise}
	e.core = decider.New(coreOptions(s, self, incarnation), time.Now())
	e.view.Store(e.core.View(time.Now()))
	e.table = keeper.New(s.Platform.Table, keeper.Options{
		WritesPerSecond: s.Platform.WritesPerSecond,
		ReadsPerSecond:  s.Platform.ReadsPerSecond,
		Observe:         e.observeTable,
	})
	e.linker = linker.New(linker.Options{Self: self, Incarnation: incarnation, Key: s.Key(), TLS: tlsConfig}, e)
	e.publish()
	go e.control()
	e.dialSeeds()
	httpServer.Serve(e.linker)
	if !s.Guarded() {
		e.log.Warn().Str("Listen", httpServer.Address().String()).Msg("no tokens or no link key: listening on loopback only, open to every local user")
	}
	e.log.Info().Str("DataCentre", string(s.DataCentre)).Str("Listen", httpServer.Address().String()).Msg("entry started")
	return nil
}

func coreOptions(s *configurer.Settings, self encoder.PeerInfo, incarnation int64) decider.Options {
	options := decider.Options{
		Self:              s.EntryID,
		Incarnation:       incarnation,
		Address:           self.Address,
		DataCentre:        s.DataCentre,
		ShardLeaseTerm:    configurer.Millis(s.Timing.SeatTermMillis),
		WorkerLeaseTerm:   configurer.Millis(s.Timing.TaskTermMillis),
		Margin:            configurer.Millis(s.Timing.MarginMillis),
		HeartbeatInterval: configurer.Millis(s.Timing.HeartbeatMillis),
		SyncInterval:      configurer.Millis(s.Timing.SyncMillis),
		HostListInterval:  configurer.Millis(s.Timing.HostListMillis),
		RequestRetention:  configurer.Millis(s.Timing.RequestHorizonMillis),
		MaxCallLifetime:   configurer.Millis(s.Timing.MaxCallLifetimeMillis),
		JobRetention:      configurer.Millis(s.Timing.JobRetentionMillis),
	}
	for _, dataCentre := range s.DataCentres {
		options.DataCentres = append(options.DataCentres, decider.DataCentreInfo{Name: dataCentre.Name, Shards: dataCentre.Seats})
	}
	return options
}

// clientTLS returns how to dial other entries, nil for plain TCP.
func clientTLS(settings *configurer.TLS) (*tls.Config, error) {
	if settings.Certificate == "" {
		return nil, nil
	}
	pool, err := server.Authority(settings)
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, err
}

func (e *Entry) dialSeeds() {
	var seeds []encoder.PeerInfo
	for _, peer := range e.settings.Peers {
		seeds = append(seeds, encoder.PeerInfo{EntryID: peer.EntryID, DataCentre: peer.DataCentre, Address: peer.Address})
	}
	if len(seeds) > 0 {
		e.linker.Dial(seeds)
	}
}

// Address returns where the entry listens.
func (e *Entry) Address() netip.AddrPort { return e.server.Address() }

// View returns the entry's newest snapshot.
func (e *Entry) View() *decider.View { return e.view.Load() }

// Shutdown stops the entry gracefully: it gives up its seats, ends what runs
// and leaves. Calls are accepted, and handed on, until the balancer must have
// seen that the entry is not ready. It returns when that is done or the
// context ends.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.mailbox.post(decider.Drain{})
	noticed := time.NewTimer(configurer.Millis(e.settings.Timing.NoticeMillis))
	defer noticed.Stop()
	if await(ctx, e.stopped) {
		await(ctx, noticed.C)
	}
	e.server.Shutdown(ctx)
	e.Close()
	return errors.Wrap(ctx.Err(), "shut down before all work had ended")
}

// await waits for a channel and reports false where the context ended first.
func await[T any](ctx context.Context, channel <-chan T) bool {
	select {
	case <-channel:
		return true
	case <-ctx.Done():
		return false
	}
}

// Close ends the entry at once.
func (e *Entry) Close() {
	e.server.Close()
	e.cancel()
	e.linker.Close()
	e.table.Close()
	<-e.done
	<-e.linker.Done()
	<-e.table.Done()
	e.traffic.Wait()
	e.caller.Close()
}

// Done is closed when the control goroutine has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// control is the control goroutine: it alone uses the core.
func (e *Entry) control() {
	defer close(e.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var events []decider.Event
	var viewedAt time.Time
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
			e.handle(decider.Tick{})
		case <-e.mailbox.signal:
			events = e.mailbox.take(events)
			for i, event := range events {
				e.handle(event)
				events[i] = nil
			}
		}
		if now := time.Now(); now.Sub(viewedAt) >= viewInterval {
			viewedAt = now
			e.view.Store(e.core.View(now))
			if version := e.core.Config().Version(); version != e.profiles.Load().version {
				e.profiles.Store(newProfiles(e.core.Config()))
			}
		}
	}
}

func (e *Entry) handle(event decider.Event) {
	for _, command := range e.core.Handle(time.Now(), event) {
		e.carryOut(command)
	}
}

// carryOut carries out a command without blocking.
func (e *Entry) carryOut(command decider.Command) {
	switch command := command.(type) {
	case decider.Send:
		e.linker.Send(command.To, command.Message)
	case decider.DialPeers:
		e.linker.Dial(command.Peers)
	case decider.DropPeer:
		e.log.Warn().Str("Peer", string(command.EntryID)).Msg("link went silent")
		e.linker.Drop(command.EntryID)
	case decider.ReplyCall:
		e.resolve(command.Token, command.Answer)
	case decider.ReplyConfig:
		e.resolve(command.Token, command)
	case decider.ReplyJob:
		e.resolve(command.Token, command.Reply)
	case decider.Transact:
		e.transact(command)
	case decider.Read:
		e.table.Read(command.Request, command.Deadline, func(result keeper.ReadResult, err error) {
			e.mailbox.post(decider.ReadDone{ID: command.ID, Result: result, Failed: err != nil})
		})
	case decider.ListHosts:
		e.goTraffic(func(ctx context.Context) decider.Event {
			hosts, err := e.hosts.List(ctx, e.settings.DataCentre)
			return decider.HostsListed{Hosts: hosts, Failed: err != nil}
		})
	case decider.StartAttempt:
		e.goTraffic(func(ctx context.Context) decider.Event { return e.caller.Run(ctx, command) })
	case decider.PollStatus:
		e.goTraffic(func(ctx context.Context) decider.Event { return e.caller.Status(ctx, command.Endpoint) })
	case decider.SyncWorker:
		e.goTraffic(func(ctx context.Context) decider.Event { return e.caller.Sync(ctx, command.Sync) })
	case decider.Violation:
		e.log.Error().Str("Invariant", command.Name).Str("Detail", command.Detail).Stack().Err(errors.New("invariant broken")).Msg("invariant broken")
	case decider.Stopped:
		close(e.stopped)
	}
}

// goTraffic does something on a goroutine of its own and posts the event that
// comes of it.
func (e *Entry) goTraffic(do func(context.Context) decider.Event) {
	e.traffic.Add(1)
	go func() {
		defer e.traffic.Done()
		e.mailbox.post(do(e.ctx))
	}()
}

func (e *Entry) transact(command decider.Transact) {
	e.table.Transact(command.Transaction, command.Deadline, func(result keeper.TransactResult, err error) {
		done := decider.TransactDone{ID: command.ID, Result: result}
		switch {
		case errors.Is(err, keeper.ErrUnresolved):
			done.Failure = decider.TableUnresolved
		case err != nil:
			done.Failure = decider.TableNotApplied
		}
		e.mailbox.post(done)
	})
}

// PeerUp implements linker.Handler.
func (e *Entry) PeerUp(peer encoder.PeerInfo, incarnation int64) {
	e.log.Info().Str("Peer", string(peer.EntryID)).Msg("link up")
	e.mailbox.post(decider.PeerUp{Peer: peer, Incarnation: incarnation})
}

// PeerDown implements linker.Handler.
func (e *Entry) PeerDown(id requester.EntryID) {
	e.log.Info().Str("Peer", string(id)).Msg("link down")
	e.mailbox.post(decider.PeerDown{EntryID: id})
}

// PeerRefused implements linker.Handler.
func (e *Entry) PeerRefused(id requester.EntryID, refused bool) {
	e.mailbox.post(decider.PeerRefused{EntryID: id, Refused: refused})
}

// PeerMessage implements linker.Handler.
func (e *Entry) PeerMessage(from requester.EntryID, message encoder.Message) {
	e.mailbox.post(decider.PeerMessage{From: from, Message: message})
}

// resolve hands a result to the goroutine that waits for it.
func (e *Entry) resolve(token uint64, result any) {
	if waiter, ok := e.waiters.LoadAndDelete(token); ok {
		waiter.(chan any) <- result
	}
}

// ask posts an event and waits for its result.
func ask[T any](ctx context.Context, e *Entry, event func(token uint64) decider.Event) (T, error) {
	var none T
	token := e.tokens.Add(1)
	waiter := make(chan any, 1)
	e.waiters.Store(token, waiter)
	e.mailbox.post(event(token))
	select {
	case result := <-waiter:
		return result.(T), nil
	case <-ctx.Done():
		e.waiters.Delete(token)
		e.mailbox.post(decider.CallerDisconnected{Token: token})
		return none, errors.Wrap(ctx.Err(), "caller left")
	case <-e.done:
		return none, errors.New("entry has stopped")
	}
}

// Call implements server.Control.
func (e *Entry) Call(ctx context.Context, call requester.Call) (requester.Answer, error) {
	arrivedAt := time.Now()
	answer, err := ask[requester.Answer](ctx, e, func(token uint64) decider.Event {
		return decider.CallArrived{Token: token, Call: call}
	})
	if err == nil && answer.Reason != requester.ReasonInvalid {
		e.meter.Observe(&call, &answer, arrivedAt, time.Now(), e.profiles.Load().target(call.Service))
	}
	return answer, err
}

// ChangeConfig implements server.Control.
func (e *Entry) ChangeConfig(ctx context.Context, item tuner.Item, expected int64, by string) (decider.ReplyConfig, error) {
	changeID := uuid.NewString()
	return ask[decider.ReplyConfig](ctx, e, func(token uint64) decider.Event {
		return decider.ConfigChangeRequested{Token: token, Item: item, Expected: expected, ChangeID: changeID, By: by}
	})
}

// Jobs implements server.Control.
func (e *Entry) Jobs(ctx context.Context, action encoder.JobAction, job requester.Job) (encoder.JobReply, error) {
	return ask[encoder.JobReply](ctx, e, func(token uint64) decider.Event {
		return decider.JobActionRequested{Token: token, Action: action, Job: job}
	})
}

// History implements server.Control.
func (e *Entry) History(ctx context.Context) ([]tuner.Change, error) {
	type outcome struct {
		result keeper.ReadResult
		err    error
	}
	answered := make(chan outcome, 1)
	deadline := time.Now().Add(historyTimeout)
	e.table.Read(keeper.ReadRequest{Prefixes: []string{tuner.HistoryPrefix}}, deadline, func(result keeper.ReadResult, err error) {
		answered <- outcome{result, err}
	})
	select {
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "read history")
	case got := <-answered:
		if got.err != nil {
			return nil, errors.Wrap(got.err, "read history")
		}
		return tuner.DecodeHistory(got.result.Rows)
	}
}

// historyTimeout bounds a read of the history.
const historyTimeout = 3 * time.Second

// Items implements server.Control.
func (e *Entry) Items(kind tuner.ItemKind) []tuner.Item { return e.profiles.Load().items[kind] }

// Burn implements server.Control.
func (e *Entry) Burn() []meter.Burn { return e.meter.Report(time.Now()) }

// Vars implements server.Control.
func (e *Entry) Vars() string { return e.vars.String() }
