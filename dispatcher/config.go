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

// Queue is a way by which jobs come in.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	Policy scheduler.Policy
}

// Limits bounds what callers may send; 0 means the default.
type Limits struct {
	MaxBodyBytes int64
}

// Find returns the queue to which a path at a host belongs: the one with the
// longest prefix.
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

// Config returns the configuration in force; nil before there is one.
func (d *Dispatcher) Config() *Config { return d.config.Load() }

// put puts a version in force, unless a newer one is.
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
