package decider

import (
	"net/netip"
	"time"

	"kumquatstall/requester"
)

// DataCentreInfo is a data centre and its number of shards, the placement
// shard included.
type DataCentreInfo struct {
	Name   requester.DataCentre
	Shards int
}

// Options configures a Core. Self, Incarnation, Address, DataCentre and
// DataCentres must be set; a duration that is not positive means its default.
type Options struct {
	Self        requester.EntryID
	Incarnation int64
	Address     netip.AddrPort
	DataCentre  requester.DataCentre
	DataCentres []DataCentreInfo
	// ShardLeaseTerm is how long a lease of a shard lasts; default 3 s.
	ShardLeaseTerm time.Duration
	// WorkerLeaseTerm is how long a lease of a worker lasts; default 6 s.
	WorkerLeaseTerm time.Duration
	// Margin is the safety margin between the end of a lease, or the deadline
	// of a lost attempt, and the reuse of its shard, tasks or slot. It covers
	// differing clock rates and messages in flight; default 300 ms.
	Margin time.Duration
	// HeartbeatInterval is the time between heartbeats; default 500 ms.
	HeartbeatInterval time.Duration
	// SyncInterval is the time between syncs of an idle worker; default 1 s.
	SyncInterval time.Duration
	// HostListInterval is the time between reads of the host list; default
	// 2 s.
	HostListInterval time.Duration
	// RequestRetention is how long the record of an ended request and its
	// write-ahead record are kept; default 2 min.
	RequestRetention time.Duration
	// MaxCallLifetime bounds how far in the future a call's deadline may be;
	// default 1 min.
	MaxCallLifetime time.Duration
	// JobRetention is how long an ended job is kept; default 10 min.
	JobRetention time.Duration
}

func (o Options) withDefaults() Options {
	defaults := []struct {
		value    *time.Duration
		standard time.Duration
	}{
		{&o.ShardLeaseTerm, 3 * time.Second},
		{&o.WorkerLeaseTerm, 6 * time.Second},
		{&o.Margin, 300 * time.Millisecond},
		{&o.HeartbeatInterval, 500 * time.Millisecond},
		{&o.SyncInterval, time.Second},
		{&o.HostListInterval, 2 * time.Second},
		{&o.RequestRetention, 2 * time.Minute},
		{&o.MaxCallLifetime, time.Minute},
		{&o.JobRetention, 10 * time.Minute},
	}
	for _, d := range defaults {
		if *d.value <= 0 {
			*d.value = d.standard
		}
	}
	return o
}

// dataCentre returns the data centre with a name; false if there is none.
func (o *Options) dataCentre(name requester.DataCentre) (DataCentreInfo, bool) {
	for _, info := range o.DataCentres {
		if info.Name == name {
			return info, true
		}
	}
	return DataCentreInfo{}, false
}
