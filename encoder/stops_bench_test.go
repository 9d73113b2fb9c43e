package encoder

import (
	"net/netip"
	"testing"
	"time"

	"kumquatstall/scheduler"
)

// BenchmarkStopBatch encodes a full batch of stops and decodes its results, which is what an owner
// does for stops that another entry sends. The metric ns/stop is for one of them.
func BenchmarkStopBatch(b *testing.B) {
	request := &StopRequest{RemainingMicros: scheduler.CarryTime.Microseconds(), Batch: scheduler.StopBatch{
		Number: 1 << 40, Carrier: "entry-1", Fence: 1 << 40,
		Worker: scheduler.WorkerRef{HostID: "worker-01", Address: netip.MustParseAddrPort("10.0.0.1:8000"), BootedAt: time.Unix(1_900_000_000, 0)},
	}}
	reply := &StopReply{Number: 1 << 40}
	for i := range scheduler.MaxBatchStops {
		request.Batch.Runs = append(request.Batch.Runs, scheduler.NumberedRun{Job: "00000000000000aa", Index: i, Run: 1 << 20})
		reply.Results = append(reply.Results, scheduler.OrderAccepted)
	}
	results, err := Encode(reply)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Encode(request); err != nil {
			b.Fatal(err)
		}
		if _, err := Decode(results); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/scheduler.MaxBatchStops, "ns/stop")
}
