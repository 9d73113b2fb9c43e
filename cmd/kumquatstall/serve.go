package main

import (
	"context"
	"expvar"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"kumquatstall/configurer"
	"kumquatstall/dispatcher"
	"kumquatstall/limiter"
	"kumquatstall/linker"
	"kumquatstall/logger"
	"kumquatstall/platform"
	"kumquatstall/server"
)

// serveCommand runs an entry that schedules jobs on the users' platform (package
// platform).
type serveCommand struct {
	Config string `type:"path" env:"KUMQUATSTALL_SETTINGS" required:"" help:"Settings file."`
	// LongestStopMillis is a text, as a deploy file that fills it in may leave it empty.
	LongestStopMillis string `help:"How long a worker may take to end a run, in milliseconds; replaces Timing.LongestStopMillis of the settings unless it is empty."`
}

// override replaces the settings for which there are flags.
func (c *serveCommand) override(site *configurer.Site) error {
	if c.LongestStopMillis == "" {
		return nil
	}
	millis, err := strconv.ParseFloat(c.LongestStopMillis, 64)
	if err != nil || !(millis >= 0 && millis <= maxStopMillis) {
		return errors.Newf("--longest-stop-millis: got %q, expected a number between 0 and %d", c.LongestStopMillis, int64(maxStopMillis))
	}
	site.Timing.LongestStopMillis = int64(math.Ceil(millis))
	return nil
}

const (
	// unreadyDelay is the time within which the balancer stops sending requests
	// to an entry that is not ready: two health checks, a second apart, and a
	// margin.
	unreadyDelay = 2300 * time.Millisecond
	// defaultGrace is the grace period, from the signal to the end of the process,
	// if the settings specify none.
	defaultGrace = 6 * time.Second
	// graceMargin is the safety margin between the timeout of the shutdown and
	// the end of the grace period.
	graceMargin = time.Second
	// memoryShare is the fraction of the memory limit that is set as the limit
	// of the Go runtime. The rest is for memory that the runtime does not count.
	memoryShare = 0.7
	// runsPerMB is how many runs of the cell an owner may have for each binary megabyte of its
	// memory.
	runsPerMB = 300
	// reloadInterval is the interval at which the settings file is read.
	reloadInterval = 2 * time.Second
	// storeWriteShare is the fraction of the store's write rate that one entry
	// may use to store jobs and cancellations.
	storeWriteShare = 0.15
	// maxStopMillis bounds the flag, as the settings bound the value.
	maxStopMillis     = 86_400_000
	headerTimeout     = 5 * time.Second
	callerIdleTimeout = 60 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Run runs an entry until it receives SIGTERM or SIGINT or a listener fails, then
// shuts it down gracefully.
func (c *serveCommand) Run() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	site, err := configurer.LoadSite(c.Config)
	if err != nil {
		return err
	}
	if err := c.override(site); err != nil {
		return err
	}
	setMemoryLimit(site.Limits.MemoryMB)
	level, err := zerolog.ParseLevel(site.Log.Level)
	if err != nil || level == zerolog.NoLevel {
		level = zerolog.InfoLevel
	}
	log := logger.New(os.Stdout, level)
	defer func() {
		log.Close()
		<-log.Done()
	}()
	s := &siteServer{site: site, log: log.Logger}
	if err := s.start(); err != nil {
		return err
	}
	s.waitForSignal(c.Config, signals)
	return s.shutdown()
}

// setMemoryLimit sets the limit of the Go runtime for a process that may use the given
// memory, in binary megabytes; 0 means that it is not known. The limit bounds nothing,
// but makes the garbage collector work harder near it.
func setMemoryLimit(memoryMB int64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(memoryMB<<20) * memoryShare))
	}
}

// siteServer is a running entry with its listeners.
type siteServer struct {
	site       *configurer.Site
	log        zerolog.Logger
	client     *platform.Client
	dispatcher *dispatcher.Dispatcher
	guard      *limiter.Guard
	servers    []*http.Server
	// callerServer is the element of servers that serves the API for callers.
	callerServer *http.Server
	// serveErrors receives the error of each listener that fails.
	serveErrors chan error
}

// start starts the dispatcher and the listeners. Listeners without an address are
// left out.
func (s *siteServer) start() error {
	site := s.site
	s.serveErrors = make(chan error, 4)
	var err error
	s.guard, err = limiter.New(limiter.Options{
		MemoryBytes: site.Limits.MemoryMB << 20,
		Descriptors: site.Limits.Descriptors,
		HeldBytes:   site.Limits.MaxHeldBytes,
	})
	if err != nil {
		return err
	}
	s.client = platform.New(platform.Options{Store: site.Store.Address, Advice: site.Advice, Log: s.log})
	s.dispatcher = dispatcher.Start(dispatcher.Options{
		Self:            site.EntryID,
		DataCentre:      site.DataCentre,
		Address:         site.LinksAddress(),
		Cores:           site.Limits.Cores,
		MaxLease:        configurer.Millis(site.Timing.LongestLeaseMillis),
		LongestStop:     configurer.Millis(site.Timing.LongestStopMillis),
		WritesPerSecond: site.Store.WritesPerSecond * storeWriteShare,
		RowBytes:        site.Store.RowBytes,
		MaxRuns:         int(site.Limits.MemoryMB * runsPerMB),
		LinkBytes:       s.guard.LinkBytes(),
	}, s.client, nil, s.log)
	expvar.Publish("kumquatstall", jsonVar(s.dispatcher.Metrics))
	expvar.Publish("kumquatstall_platform", jsonVar(s.client.Metrics))
	expvar.Publish("kumquatstall_clients", expvar.Func(func() any { return s.guard.Metrics() }))
	links := http.NewServeMux()
	links.Handle(linker.Path, s.dispatcher.Links())
	listeners := []struct {
		name        string
		address     netip.AddrPort
		connections int
		handler     http.Handler
	}{
		{"readiness checks", site.Listen.Ready, limiter.ProbeConnections, platform.NewReadinessHandler(s.dispatcher.Ready)},
		{"links", site.Listen.Links, s.guard.LinkConnections(), links},
		{"metrics", site.Listen.Metrics, limiter.ProbeConnections, expvar.Handler()},
		{"callers", site.Listen.Callers, s.guard.CallerConnections(site.Limits.MaxConnections), platform.NewJobHandler(s.dispatcher, s.log)},
	}
	for _, l := range listeners {
		if !l.address.IsValid() {
			continue
		}
		listening, err := s.listen(l.name, l.address, l.connections, l.handler)
		if err != nil {
			return err
		}
		if l.address == site.Listen.Callers {
			s.callerServer = listening
		}
	}
	s.log.Info().Str("Event", "start").Str("Entry", string(site.EntryID)).Str("DataCentre", string(site.DataCentre)).Msg("entry started")
	return nil
}

// listen starts an HTTP server on an address, with at most the given number of
// connections.
func (s *siteServer) listen(name string, address netip.AddrPort, connections int, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	listening := &http.Server{
		Handler:           server.BoundTransfers(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	limiter.Attach(listening)
	listener = s.guard.Listen(listener, connections)
	s.servers = append(s.servers, listening)
	go func() {
		if err := listening.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.serveErrors <- errors.Wrapf(err, "serve %s", name)
		}
	}()
	return listening, nil
}

// jsonVar is an expvar variable; the function returns its value as JSON.
type jsonVar func() string

func (t jsonVar) String() string { return t() }

// waitForSignal returns on SIGTERM, SIGINT or the failure of a listener. Until
// then it reloads the settings on SIGHUP and every reloadInterval.
func (s *siteServer) waitForSignal(path string, signals <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				s.log.Info().Str("Event", "stop").Str("Signal", received.String()).Msg("received signal; shutting down")
				return
			}
			s.reload(path)
		case <-ticker.C:
			s.reload(path)
		case err := <-s.serveErrors:
			s.log.Error().Str("Event", "stop").Err(err).Msg("listener failed; shutting down")
			return
		}
	}
}

// reload reads the settings and, if they have changed, applies the addresses of
// the store and of the advice service and the grace period. All others, such as
// the entry's own addresses, take effect at the next start. Settings that cannot
// be loaded are not applied.
func (s *siteServer) reload(path string) {
	site, err := configurer.LoadSite(path)
	if err != nil {
		s.log.Error().Str("Event", "reload").Err(err).Msg("cannot load settings; keeping the previous ones")
		return
	}
	if *site == *s.site {
		return
	}
	s.site = site
	s.client.SetAddresses(platform.Options{Store: site.Store.Address, Advice: site.Advice})
	s.log.Info().Str("Event", "reload").Msg("settings reloaded")
}

// shutdown shuts the entry down gracefully, within the grace period: it makes the
// entry not ready, releases the cell, serves requests until unreadyDelay has
// passed, and then stops accepting connections and waits for requests in
// flight.
func (s *siteServer) shutdown() error {
	grace := time.Duration(s.site.Timing.GraceSeconds * float64(time.Second))
	if grace <= 0 {
		grace = defaultGrace
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace-graceMargin)
	defer cancel()
	unreadyTimer := time.NewTimer(unreadyDelay)
	defer unreadyTimer.Stop()
	s.dispatcher.Drain(ctx)
	select {
	case <-unreadyTimer.C:
	case <-ctx.Done():
	}
	err := s.callerServer.Shutdown(ctx)
	for _, listening := range s.servers {
		// An error is ignored: the process is about to end, and it closes
		// what is still open.
		_ = listening.Close()
	}
	s.dispatcher.Close()
	s.client.Close()
	s.log.Info().Str("Event", "stopped").Msg("entry stopped")
	return errors.Wrap(err, "shutdown aborted requests of callers in flight")
}
