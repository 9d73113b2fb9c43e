package main

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"kumquatstall/configurer"
	"kumquatstall/dispatcher"
	"kumquatstall/linker"
	"kumquatstall/logger"
	"kumquatstall/platform"
)

// serveCommand runs an entry that runs jobs on the users' platform.
type serveCommand struct {
	Config string `type:"path" env:"KUMQUATSTALL_SETTINGS" required:"" help:"Settings file."`
}

// Bounds of a serving entry.
const (
	// unreadyDelay is how long the balancer takes to notice that an entry is
	// not ready: two looks, a second apart, and a little more.
	unreadyDelay = 2300 * time.Millisecond
	// defaultGrace is how long a process may take to end.
	defaultGrace = 6 * time.Second
	// graceMargin is kept free at the end of the grace time.
	graceMargin = time.Second
	// memoryShare is the share of the memory limit that the garbage
	// collector keeps to; the rest is for what it doesn't count.
	memoryShare = 0.7
	// reloadInterval is how often the settings file is looked at.
	reloadInterval = 2 * time.Second
	// storeWriteShare is the share of the store's rate of writes that one entry uses.
	storeWriteShare   = 0.15
	headerTimeout     = 5 * time.Second
	callerIdleTimeout = 60 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Run runs an entry until it is told to stop.
func (c *serveCommand) Run() error {
	site, err := configurer.LoadSite(c.Config)
	if err != nil {
		return err
	}
	if site.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(site.Limits.MemoryMB<<20) * memoryShare))
	}
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
	s.waitForSignal(c.Config)
	return s.shutdown()
}

// siteServer is one serving entry.
type siteServer struct {
	site         *configurer.Site
	log          zerolog.Logger
	client       *platform.Client
	dispatcher   *dispatcher.Dispatcher
	servers      []*http.Server
	callerServer *http.Server
	serveErrors  chan error
}

func (s *siteServer) start() error {
	site := s.site
	s.serveErrors = make(chan error, 4)
	s.client = platform.New(platform.Options{Store: site.Store.Address, Advice: site.Advice})
	s.dispatcher = dispatcher.Start(dispatcher.Options{
		Self:            site.EntryID,
		DataCentre:      site.DataCentre,
		Address:         site.Listen.Links,
		Cores:           site.Limits.Cores,
		MaxLease:        configurer.Millis(site.Timing.LongestLeaseMillis),
		WritesPerSecond: site.Store.WritesPerSecond * storeWriteShare,
	}, s.client, nil, s.log)
	expvar.Publish("kumquatstall", jsonVar(s.dispatcher.Metrics))
	links := http.NewServeMux()
	links.Handle(linker.Path, s.dispatcher.Links())
	listeners := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"ready", site.Listen.Ready, platform.NewReady(s.dispatcher.Ready)},
		{"links", site.Listen.Links, links},
		{"metrics", site.Listen.Metrics, expvar.Handler()},
		{"callers", site.Listen.Callers, platform.NewFront(s.dispatcher, s.log)},
	}
	for _, l := range listeners {
		if !l.address.IsValid() {
			continue
		}
		server, err := s.listen(l.name, l.address, l.handler)
		if err != nil {
			return err
		}
		if l.address == site.Listen.Callers {
			s.callerServer = server
		}
	}
	s.log.Info().Str("Event", "start").Str("Entry", string(site.EntryID)).Str("DataCentre", string(site.DataCentre)).Msg("entry started")
	return nil
}

func (s *siteServer) listen(name string, address netip.AddrPort, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	s.servers = append(s.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.serveErrors <- errors.Wrapf(err, "serve %s", name)
		}
	}()
	return server, nil
}

// jsonVar is a variable that is JSON already.
type jsonVar func() string

func (t jsonVar) String() string { return t() }

// waitForSignal returns once the entry is to stop. Settings are read again on
// SIGHUP and when the file changes.
func (s *siteServer) waitForSignal(path string) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				s.log.Info().Str("Event", "stop").Str("Signal", received.String()).Msg("told to stop")
				return
			}
			s.reload(path)
		case <-ticker.C:
			s.reload(path)
		case err := <-s.serveErrors:
			s.log.Error().Str("Event", "stop").Err(err).Msg("a listener has failed")
			return
		}
	}
}

// reload reads the settings again. Addresses of services can change while the
// entry runs; its own addresses can't.
func (s *siteServer) reload(path string) {
	site, err := configurer.LoadSite(path)
	if err != nil {
		s.log.Error().Str("Event", "reload").Err(err).Msg("settings can't be used; the earlier ones stay")
		return
	}
	if *site == *s.site {
		return
	}
	s.site = site
	s.client.SetAddresses(platform.Options{Store: site.Store.Address, Advice: site.Advice})
	s.log.Info().Str("Event", "reload").Msg("settings in force")
}

// shutdown ends the entry gracefully: it stops being ready, gives up the cell,
// serves until the balancer must have noticed, then ends what is in flight.
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
	for _, server := range s.servers {
		// What is still open on the way down has nobody to answer to.
		_ = server.Close()
	}
	s.dispatcher.Close()
	s.client.Close()
	s.log.Info().Str("Event", "stopped").Msg("entry has stopped")
	return errors.Wrap(err, "requests in flight were cut off")
}
