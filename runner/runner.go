// Package runner runs one entry: it connects the decision core (package
// decider) with the components that do input and output.
//
// One control goroutine owns the core. It takes events from a mailbox, passes
// each of them to the core with the current time, and executes the commands
// that the core returns; no command blocks it. All input and output (links, the
// table client, calls to endpoints, syncs of workers, HTTP) runs on other
// goroutines, which post their results as events. They read the state of the
// core only from two immutable snapshots, the entry's View and the
// configSnapshot.
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
	"github.com/rs/zerolog"

	"kumquatstall/caller"
	"kumquatstall/configurer"
	"kumquatstall/decider"
	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/limiter"
	"kumquatstall/linker"
	"kumquatstall/meter"
	"kumquatstall/server"
)

// Entry is a running entry: the core, its mailbox and the components that do input
// and output.
type Entry struct {
	settings *configurer.Settings
	log      zerolog.Logger
	core     *decider.Core
	mailbox  *mailbox
	linker   *linker.Linker
	table    *keeper.Client
	hosts    *keeper.HostLister
	// lastOddHosts is the last error about odd hosts that was logged.
	lastOddHosts atomic.Pointer[string]
	caller       *caller.Caller
	guard        *limiter.Guard
	server       *server.Server
	meter        *meter.Meter
	vars         *expvar.Map
	view         atomic.Pointer[decider.View]
	config       atomic.Pointer[configSnapshot]
	// lastToken is the token of the last event that expects a reply; waiters
	// maps each pending token to the channel for its reply.
	lastToken atomic.Uint64
	waiters   sync.Map
	ctx       context.Context
	cancel    context.CancelFunc
	// background counts the goroutines of runAsync.
	background sync.WaitGroup
	// drained is closed when the core has completed a graceful shutdown, done
	// when the control goroutine has ended.
	drained chan struct{}
	done    chan struct{}
}

var (
	_ linker.Handler = (*Entry)(nil)
	_ server.Backend = (*Entry)(nil)
)

// Start starts the only entry of a process. The entry accepts calls once its View
// reports that it is ready.
func Start(settings *configurer.Settings, log zerolog.Logger) (*Entry, error) {
	guard, err := limiter.New(limiter.Options{
		MemoryBytes: settings.Limits.MemoryMB << 20,
		Descriptors: settings.Limits.Descriptors,
		HeldBytes:   settings.Limits.MaxHeldBytes,
	})
	if err != nil {
		return nil, err
	}
	return StartShared(settings, guard, log)
}

// StartShared starts an entry that shares its process, and the process's guard, with
// others.
func StartShared(settings *configurer.Settings, guard *limiter.Guard, log zerolog.Logger) (*Entry, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		settings: settings,
		log:      log.With().Str("Entry", string(settings.EntryID)).Logger(),
		mailbox:  newMailbox(),
		hosts:    keeper.NewHostLister(settings.Platform.HostList),
		caller:   caller.New(caller.Options{MaxResponseBytes: settings.Limits.MaxAnswerBytes}),
		meter:    meter.New(),
		guard:    guard,
		vars:     new(expvar.Map).Init(),
		ctx:      ctx,
		cancel:   cancel,
		drained:  make(chan struct{}),
		done:     make(chan struct{}),
	}
	e.config.Store(&configSnapshot{})
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
	httpServer, err := server.Listen(s, e.guard, e)
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
	if !s.AuthConfigured() {
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

// clientTLS returns the TLS configuration for dialling other entries; nil means
// plain TCP.
func clientTLS(settings *configurer.TLS) (*tls.Config, error) {
	if settings.Certificate == "" {
		return nil, nil
	}
	pool, err := server.LoadAuthority(settings)
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, err
}

// Address returns the address on which the entry listens.
func (e *Entry) Address() netip.AddrPort { return e.server.Address() }

// View returns the entry's newest snapshot.
func (e *Entry) View() *decider.View { return e.view.Load() }

// Shutdown stops the entry gracefully: the entry releases its shards, completes
// the requests in flight and withdraws its registration as a member. For at least
// NoticeMillis it keeps accepting calls and forwards them to other entries; within
// that time the load balancer is expected to notice that the entry is not ready.
// If the context ends first, Shutdown closes the entry at once and returns an
// error. It also returns one if the entry was closed first.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.mailbox.post(decider.Drain{})
	noticeTimer := time.NewTimer(configurer.Millis(e.settings.Timing.NoticeMillis))
	defer noticeTimer.Stop()
	err := e.awaitDrained(ctx)
	if err == nil {
		await(ctx, noticeTimer.C)
	}
	e.server.Shutdown(ctx)
	e.Close()
	if err == nil {
		err = ctx.Err()
	}
	return errors.Wrap(err, "shut down: entry closed before the graceful shutdown was complete")
}

// awaitDrained waits until the core has completed a graceful shutdown. The error says
// that the context or the control goroutine has ended before.
func (e *Entry) awaitDrained(ctx context.Context) error {
	select {
	case <-e.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.done:
	}
	select {
	case <-e.drained:
		return nil // another Shutdown has completed it
	default:
		return errors.New("entry has stopped")
	}
}

// await receives from a channel and reports false if the context ended first.
func await[T any](ctx context.Context, channel <-chan T) bool {
	select {
	case <-channel:
		return true
	case <-ctx.Done():
		return false
	}
}

// Close stops the entry without draining and waits for its goroutines.
func (e *Entry) Close() {
	e.server.Close()
	e.cancel()
	e.linker.Close()
	e.table.Close()
	<-e.done
	<-e.linker.Done()
	<-e.table.Done()
	e.background.Wait()
	e.caller.Close()
}

// Done returns a channel that is closed when the control goroutine has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }
