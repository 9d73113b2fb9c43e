package dispatcher

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/linker"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// stopPlatform is a platform whose workers accept stops, or don't answer.
type stopPlatform struct {
	Platform
	silent         atomic.Bool
	inFlight, most atomic.Int64
	stops          atomic.Int64
}

func (p *stopPlatform) Stop(ctx context.Context, _ scheduler.StopOrder) scheduler.OrderResult {
	count := p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	for most := p.most.Load(); count > most && !p.most.CompareAndSwap(most, count); most = p.most.Load() {
	}
	p.stops.Add(1)
	if p.silent.Load() {
		<-ctx.Done()
		return scheduler.OrderUnknown
	}
	time.Sleep(time.Millisecond)
	return scheduler.OrderAccepted
}

// newCarrier returns an entry that has only what it needs to send stops for owners.
func newCarrier(t *testing.T) (*Dispatcher, *stopPlatform) {
	p := &stopPlatform{}
	d := &Dispatcher{
		options: Options{Self: "self"}.withDefaults(), clock: NewClock(), log: zerolog.Nop(), cache: newStateCache(), platform: p,
		ctx: t.Context(), linked: make(map[requester.EntryID]linkedEntry),
	}
	d.linker = linker.New(linker.Options{Self: encoder.PeerInfo{EntryID: "self"}}, d)
	t.Cleanup(func() {
		d.linker.Close()
		<-d.linker.Done()
	})
	return d, p
}

func stopRequest(epoch int64, runs int) *encoder.StopRequest {
	request := &encoder.StopRequest{RemainingMicros: 50_000, Batch: scheduler.StopBatch{
		Number: 7, Worker: scheduler.WorkerRef{HostID: "w", Address: netip.MustParseAddrPort("127.0.0.1:1")}, Fence: scheduler.Fence(epoch << 30),
	}}
	for i := range runs {
		request.Batch.Runs = append(request.Batch.Runs, scheduler.NumberedRun{Job: "job", Index: i, Run: 1})
	}
	return request
}

// TestStopsOfABatch checks that a batch is sent whole, a few stops at a time, and that one to a
// worker that doesn't answer ends with its time: what was not sent is said not to be.
func TestStopsOfABatch(t *testing.T) {
	is := is.New(t)
	d, p := newCarrier(t)
	request := stopRequest(1, scheduler.MaxBatchStops)
	request.RemainingMicros = scheduler.CarryTime.Microseconds()
	for _, result := range d.sendStops(request) {
		is.Equal(result, scheduler.OrderAccepted)
	}
	is.Equal(p.stops.Load(), int64(scheduler.MaxBatchStops))
	is.True(p.most.Load() <= scheduler.CarrierCalls)

	p.silent.Store(true)
	begin := time.Now()
	counts := make(map[scheduler.OrderResult]int)
	for _, result := range d.sendStops(stopRequest(1, scheduler.MaxBatchStops)) {
		counts[result]++
	}
	is.True(time.Since(begin) < 2*time.Second)
	is.Equal(counts, map[scheduler.OrderResult]int{scheduler.OrderUnknown: scheduler.CarrierCalls, scheduler.OrderUnsent: scheduler.MaxBatchStops - scheduler.CarrierCalls})
}

// TestBatchesThatAreRefused checks that an entry sends no stops of an owner that has been replaced,
// of a request out of bounds, or beyond the batches that it may have.
func TestBatchesThatAreRefused(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(*Dispatcher, *encoder.StopRequest)
		sent  int64
	}{
		{"none", func(*Dispatcher, *encoder.StopRequest) {}, 3},
		{"earlier epoch", func(_ *Dispatcher, r *encoder.StopRequest) { r.Batch.Fence = 4 << 30 }, 0},
		{"later epoch than known", func(_ *Dispatcher, r *encoder.StopRequest) { r.Batch.Fence = 6 << 30 }, 3},
		{"too many batches", func(d *Dispatcher, _ *encoder.StopRequest) { d.batches.Store(maxBatches) }, 0},
		{"no runs", func(_ *Dispatcher, r *encoder.StopRequest) { r.Batch.Runs = nil }, 0},
		{"too many runs", func(_ *Dispatcher, r *encoder.StopRequest) {
			r.Batch.Runs = make([]scheduler.NumberedRun, scheduler.MaxBatchStops+1)
		}, 0},
		{"no address", func(_ *Dispatcher, r *encoder.StopRequest) { r.Batch.Worker.Address = netip.AddrPort{} }, 0},
		{"no time", func(_ *Dispatcher, r *encoder.StopRequest) { r.RemainingMicros = 0 }, 0},
		{"too much time", func(_ *Dispatcher, r *encoder.StopRequest) { r.RemainingMicros = time.Hour.Microseconds() }, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d, p := newCarrier(t)
			d.applyChange(Change{Row: keeper.Row{Key: ownerKey, Value: scheduler.EncodeRow(ownerRow{Holder: "owner", Epoch: 5, TermMillis: 800}), Revision: 1}})
			is.Equal(d.cache.ownerView().row.Epoch, int64(5))
			request := stopRequest(5, 3)
			before := d.batches.Load()
			test.spoil(d, request)
			held := max(before, d.batches.Load())
			d.carryStops("owner", request)
			is.Equal(p.stops.Load(), test.sent)
			is.Equal(d.batches.Load(), held) // none is counted any more
		})
	}
}

// TestEntriesThatSendStops checks that an owner hands stops only to entries that have said lately
// that they send some: earlier versions close the link on which they get a batch.
func TestEntriesThatSendStops(t *testing.T) {
	is := is.New(t)
	d, _ := newCarrier(t)
	now := d.clock.Now()
	for _, id := range []requester.EntryID{"b", "a", "earlier", "draining"} {
		d.PeerUp(encoder.PeerInfo{EntryID: id}, 1)
	}
	d.PeerMessage("a", 1, &encoder.EntryCapacity{Cores: 0.4, SendsStops: true})
	d.PeerMessage("b", 1, &encoder.EntryCapacity{SendsStops: true}) // it doesn't reach the store
	d.PeerMessage("earlier", 1, &encoder.EntryCapacity{Cores: 0.4})
	d.PeerMessage("draining", 1, &encoder.EntryCapacity{Cores: 0.4, SendsStops: true})
	d.PeerMessage("draining", 1, &encoder.EntryCapacity{})
	is.Equal(d.carriers(now), []requester.EntryID{"a", "b"})
	d.PeerDown("b", nil)
	is.Equal(d.carriers(now), []requester.EntryID{"a"})
	is.Equal(len(d.carriers(d.clock.Now().Add(capacityValidity+time.Second))), 0)
}
