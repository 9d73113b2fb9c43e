package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/scheduler"
)

// ErrHistoryTruncated reports that the store has dropped changes before they
// were read, so that a watch cannot continue and the rows have to be listed.
var ErrHistoryTruncated = errors.New("store no longer has the changes after the watched revision")

// Intervals and timeouts of watches.
const (
	// storeTimeout bounds one call to the store. It allows for a slow store.
	storeTimeout = 2200 * time.Millisecond
	// watchWait is how long a watch waits for a change. It is much shorter than
	// the time in which an entry has to detect that the store is unreachable.
	watchWait = 300 * time.Millisecond
	// configWait is how long a watch of the configuration waits. Changes have
	// to be in force within 2 s, even if one watch gets no response.
	configWait = 800 * time.Millisecond
	// statesWatchInterval is the interval between watches of the states. The
	// owner publishes most of them over links before a watch returns them.
	statesWatchInterval = 350 * time.Millisecond
	// retryInterval is the interval between attempts after a call has failed.
	retryInterval = 100 * time.Millisecond
)

// watchConfig watches the configuration and applies each new version.
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
			// Changes may have been missed, so read it again.
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

// watchStates keeps the state cache up to date.
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

// loadStates lists all states and replaces those in the cache. It returns the
// revision from which to watch them.
func (d *Dispatcher) loadStates() (int64, error) {
	ctx, cancel := context.WithTimeout(d.ctx, 2*storeTimeout)
	defer cancel()
	rows, revision, err := d.platform.List(ctx, scheduler.StatePrefix)
	if err != nil {
		return 0, err
	}
	d.cache.replace(d.clock.Now(), rows, revision, func(key string, err error) {
		d.logOddRow(key, err, oddStateConsequence)
	})
	return revision, nil
}

// watchStatesOnce waits for changes of the states after a revision and applies
// them. It returns the revision from which to continue.
func (d *Dispatcher) watchStatesOnce(after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(d.ctx, watchWait+storeTimeout)
	defer cancel()
	sentAt := time.Now()
	changes, revision, err := d.platform.Watch(ctx, scheduler.StatePrefix, after, sentAt.Add(watchWait))
	if err != nil {
		return after, err
	}
	// The latency of the store excludes the wait that was requested.
	d.readLatency.Observe(time.Since(sentAt) - watchWait)
	for _, change := range changes {
		d.applyChange(change)
	}
	return revision, nil
}

// logDependency logs when a dependency becomes unavailable or available again.
// failing has its previous status and is updated.
func (d *Dispatcher) logDependency(name string, err error, failing *bool) {
	if (err != nil) == *failing || d.ctx.Err() != nil {
		return
	}
	*failing = err != nil
	if err != nil {
		d.log.Warn().Str("Event", "lost").Str("Dependency", name).Err(err).Msg("dependency is unavailable; retrying")
	} else {
		d.log.Info().Str("Event", "regained").Str("Dependency", name).Msg("dependency is available again")
	}
}
