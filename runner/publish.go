package runner

import (
	"expvar"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/meter"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// profiles is the configuration as traffic goroutines read it; immutable.
type profiles struct {
	version int64
	items   map[tuner.ItemKind][]tuner.Item
	targets map[requester.Service]meter.Target
	none    meter.Target
}

func newProfiles(store *tuner.Store) *profiles {
	p := &profiles{
		version: store.Version(),
		items:   make(map[tuner.ItemKind][]tuner.Item),
		targets: make(map[requester.Service]meter.Target),
		none:    targetOf(store.ServiceProfile("")),
	}
	for _, kind := range []tuner.ItemKind{tuner.ItemProfile, tuner.ItemTrade, tuner.ItemService, tuner.ItemDrainMark} {
		p.items[kind] = store.Items(kind)
	}
	for _, item := range p.items[tuner.ItemService] {
		service := item.Service.Name
		p.targets[service] = targetOf(store.ServiceProfile(service))
	}
	return p
}

func targetOf(profile tuner.Profile) meter.Target {
	return meter.Target{
		Wait:  time.Duration(profile.WaitTargetMillis) * time.Millisecond,
		Share: profile.WaitTargetShare,
	}
}

func (p *profiles) target(service requester.Service) meter.Target {
	if target, ok := p.targets[service]; ok {
		return target
	}
	if p.none.Share == 0 {
		return targetOf(tuner.DefaultProfile())
	}
	return p.none
}

// observeTable counts the requests to the table.
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

// publish makes the entry's metrics readable.
func (e *Entry) publish() {
	e.vars.Set("LinkBytesSent", expvar.Func(func() any { return e.linker.BytesSent.Load() }))
	e.vars.Set("LinkBytesReceived", expvar.Func(func() any { return e.linker.BytesReceived.Load() }))
	e.vars.Set("LinkMessagesSent", expvar.Func(func() any { return e.linker.MessagesSent.Load() }))
	e.vars.Set("Core", expvar.Func(func() any { return e.View().Stats }))
	e.vars.Set("Calls", expvar.Func(func() any { return e.View().Calls }))
	e.vars.Set("Records", expvar.Func(func() any { return e.View().Records }))
	e.vars.Set("ConfigRevision", expvar.Func(func() any { return e.View().ConfigRevision }))
	e.vars.Set("Packing", expvar.Func(func() any { return e.View().Packing }))
	e.vars.Set("Burn", expvar.Func(func() any { return e.Burn() }))
}
