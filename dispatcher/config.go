package dispatcher

import (
	"strings"

	"kumquatstall/scheduler"
)

// Config is one version of the operator's configuration.
type Config struct {
	Version int64
	Queues  []Queue
	Limits  Limits
}

// Queue accepts the jobs at a host and path prefix, and sets their policy.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	Policy scheduler.Policy
}

// Limits bounds the requests of callers; 0 means the default.
type Limits struct {
	MaxBodyBytes int64
}

// Find returns the queue of a path at a host: of the queues whose prefix
// matches, the one with the longest prefix. It returns nil if there is none.
func (c *Config) Find(host, path string) *Queue {
	var found *Queue
	for i := range c.Queues {
		queue := &c.Queues[i]
		if !strings.EqualFold(queue.Host, host) || !strings.HasPrefix(path, queue.Prefix) {
			continue
		}
		if found == nil || len(queue.Prefix) > len(found.Prefix) {
			found = queue
		}
	}
	return found
}

// Config returns the configuration in force, or nil if there is none yet.
func (d *Dispatcher) Config() *Config { return d.config.Load() }

// applyConfig puts a version of the configuration in force, unless it is nil or
// no newer than the one in force.
func (d *Dispatcher) applyConfig(config *Config) {
	for {
		current := d.config.Load()
		if config == nil || current != nil && config.Version <= current.Version {
			return
		}
		if d.config.CompareAndSwap(current, config) {
			d.log.Info().Str("Event", "config").Int64("Version", config.Version).Int("Queues", len(config.Queues)).Msg("configuration in force")
			return
		}
	}
}
