package runner

import (
	"expvar"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/meter"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// configSnapshot is an immutable copy of the configuration that goroutines other
// than the control goroutine may read.
type configSnapshot struct {
	version       int64
	items         map[tuner.ItemKind][]tuner.Item
	targets       map[requester.Service]meter.Target
	defaultTarget meter.Target
}

func newConfigSnapshot(store *tuner.Store) *configSnapshot {
	snapshot := &configSnapshot{
		version:       store.Version(),
		items:         make(map[tuner.ItemKind][]tuner.Item),
		targets:       make(map[requester.Service]meter.Target),
		defaultTarget: targetOf(store.ServiceProfile("")),
	}
	for _, kind := range []tuner.ItemKind{tuner.ItemProfile, tuner.ItemTrade, tuner.ItemService, tuner.ItemDrainMark} {
		snapshot.items[kind] = store.Items(kind)
	}
	for _, item := range snapshot.items[tuner.ItemService] {
		service := item.Service.Name
		snapshot.targets[service] = targetOf(store.ServiceProfile(service))
	}
	return snapshot
}

// targetOf returns the service level objective that a profile sets for calls.
func targetOf(profile tuner.Profile) meter.Target {
	return meter.Target{
		Wait:  time.Duration(profile.WaitTargetMillis) * time.Millisecond,
		Share: profile.WaitTargetShare,
	}
}

// target returns the objective of a service, or defaultTarget if the service has
// no item. The first snapshot, which is stored before the configuration has been
// read, has no defaultTarget; target then returns that of tuner.DefaultProfile.
func (s *configSnapshot) target(service requester.Service) meter.Target {
	if target, ok := s.targets[service]; ok {
		return target
	}
	if s.defaultTarget.Share == 0 {
		return targetOf(tuner.DefaultProfile())
	}
	return s.defaultTarget
}

// observeTable counts a request to the table and, if err is not nil, its failure.
func (e *Entry) observeTable(operation keeper.Operation, err error) {
	name := "TableReads"
	if operation == keeper.OperationTransact {
		name = "TableTransactions"
	}
	e.vars.Add(name, 1)
	if err != nil {
		e.vars.Add(name+"Failed", 1)
	}
}

// publish adds the entry's metrics to its expvar map.
func (e *Entry) publish() {
	e.vars.Set("LinkBytesSent", expvar.Func(func() any { return e.linker.BytesSent.Load() }))
	e.vars.Set("LinkBytesReceived", expvar.Func(func() any { return e.linker.BytesReceived.Load() }))
	e.vars.Set("LinkMessagesSent", expvar.Func(func() any { return e.linker.MessagesSent.Load() }))
	e.vars.Set("Clients", expvar.Func(func() any { return e.guard.Metrics() }))
	e.vars.Set("Core", expvar.Func(func() any { return e.View().Stats }))
	e.vars.Set("Calls", expvar.Func(func() any { return e.View().Calls }))
	e.vars.Set("Records", expvar.Func(func() any { return e.View().Records }))
	e.vars.Set("ConfigRevision", expvar.Func(func() any { return e.View().ConfigRevision }))
	e.vars.Set("Packing", expvar.Func(func() any { return e.View().Packing }))
	e.vars.Set("Burn", expvar.Func(func() any { return e.Burn() }))
}
