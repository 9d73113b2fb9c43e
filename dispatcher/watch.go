package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/scheduler"
)

// ErrHistoryTruncated reports that changes were dropped before they were read.
var ErrHistoryTruncated = errors.New("history of changes is gone")

// Intervals and bounds of what is followed.
const (
	// storeTimeout bounds one call to the store, which may be slow.
	storeTimeout = 2200 * time.Millisecond
	// watchWait is how long a watch waits for a change. It is short against
	// the time in which an entry has to notice that the store is out of reach.
	watchWait = 300 * time.Millisecond
	// configWait is how long a watch of the configuration waits; changes must
	// be in force within 2 s, also where a watch goes silent.
	configWait = 800 * time.Millisecond
	// statesWatchInterval separates watches of the states. The owner tells most
	// of them over links before.
	statesWatchInterval = 350 * time.Millisecond
	// retryInterval separates attempts at a store that doesn't answer.
	retryInterval = 100 * time.Millisecond
)

// watchConfig keeps the newest configuration in force.
func (d *Dispatcher) watchConfig() {
	var revision int64
	known := false
	var failing bool
	for d.ctx.Err() == nil {
		var config *Config
		var err error
		if !known {
			ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
			config, revision, err = d.platform.Config(ctx)
			cancel()
		} else {
			ctx, cancel := context.WithTimeout(d.ctx, configWait+storeTimeout)
			config, revision, err = d.platform.WatchConfig(ctx, revision, time.Now().Add(configWait))
			cancel()
		}
		d.logDependency("config", err, &failing)
		if err != nil {
			// Changes may have been missed: read it again.
			known = false
			if !d.pause(retryInterval) {
				return
			}
			continue
		}
		known = true
		d.applyConfig(config)
	}
}

// watchStates keeps the board.
func (d *Dispatcher) watchStates() {
	var revision int64
	known := false
	var failing bool
	for d.ctx.Err() == nil {
		var err error
		if !known {
			revision, err = d.loadStates()
		} else {
			revision, err = d.watchStatesOnce(revision)
		}
		d.logDependency("store", err, &failing)
		wait := statesWatchInterval
		if err != nil {
			known = known && !errors.Is(err, ErrHistoryTruncated)
			wait = retryInterval
		} else {
			known = true
			d.storeContactedAt.Store(d.clock.Now().UnixNano())
		}
		if !d.pause(wait) {
			return
		}
	}
}

func (d *Dispatcher) loadStates() (int64, error) {
	ctx, cancel := context.WithTimeout(d.ctx, 2*storeTimeout)
	defer cancel()
	rows, revision, err := d.platform.List(ctx, scheduler.StatePrefix)
	if err != nil {
		return 0, err
	}
	return revision, d.cache.replace(d.clock.Now(), rows, revision)
}

func (d *Dispatcher) watchStatesOnce(after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(d.ctx, watchWait+storeTimeout)
	defer cancel()
	askedAt := time.Now()
	changes, revision, err := d.platform.Watch(ctx, scheduler.StatePrefix, after, askedAt.Add(watchWait))
	if err != nil {
		return after, err
	}
	// What the store took beyond the time that it was to wait.
	d.readLatency.Observe(time.Since(askedAt) - watchWait)
	for _, change := range changes {
		d.applyChange(change)
	}
	return revision, nil
}

// logDependency logs when something outside is lost or regained.
func (d *Dispatcher) logDependency(name string, err error, failing *bool) {
	if (err != nil) == *failing || d.ctx.Err() != nil {
		return
	}
	*failing = err != nil
	if err != nil {
		d.log.Warn().Str("Event", "lost").Str("Dependency", name).Err(err).Msg("dependency lost")
	} else {
		d.log.Info().Str("Event", "regained").Str("Dependency", name).Msg("dependency regained")
	}
}
