package loader

import "kumquatstall/requester"

// Chikugo returns the mixed workload of the customer Chikugo: the calls and jobs
// of four fan workshops, which are the trades, on the fold planner. Its rates are
// those of the deployment of full size times scale.
func Chikugo(scale float64) Workload {
	const planner = "fold-planner"
	trades := []requester.Trade{"ogi-yame", "ogi-kurume", "ogi-okawa", "ogi-yanagawa"}
	dataCentres := []requester.DataCentre{"yame", "kurume"}
	var w Workload
	for _, trade := range trades {
		w.Streams = append(w.Streams,
			Stream{
				Trade: trade, Service: planner, Kind: "layout", Urgency: requester.UrgencyNormal,
				Exclusive: true, RatePerSecond: 40 * scale, WorkMillis: 400, DeadlineMillis: 8000, DataCentres: dataCentres, Attempts: 3,
			},
			Stream{
				Trade: trade, Service: planner, Kind: "crease-map", Urgency: requester.UrgencyNormal,
				Idempotent: true, RatePerSecond: 150 * scale, WorkMillis: 60, DeadlineMillis: 4000, Attempts: 3,
			},
			Stream{
				Trade: trade, Service: planner, Kind: "order-check", Urgency: requester.UrgencyUrgent,
				Idempotent: true, RatePerSecond: 400 * scale, WorkMillis: 5, DeadlineMillis: 2000, Attempts: 3,
			},
		)
	}
	w.Jobs = []JobStream{
		{
			Trade: "ogi-yame", Kind: "rib-survey", Shape: requester.ShapeBatch, Urgency: requester.UrgencyLow, Tasks: 20,
			Need: requester.Resources{MilliCores: 2000, MemoryMB: 4096}, RunMillis: 1500, RatePerSecond: 4 * scale, DataCentres: dataCentres,
		},
		{
			Trade: "ogi-kurume", Kind: "pattern-gang", Shape: requester.ShapeGang, Urgency: requester.UrgencyNormal, Tasks: 6,
			Need: requester.Resources{MilliCores: 8000, MemoryMB: 16384}, RunMillis: 1000, RatePerSecond: 2 * scale, DataCentres: dataCentres,
		},
		{
			Trade: "ogi-okawa", Kind: "press-monitor", Shape: requester.ShapeService, Urgency: requester.UrgencyNormal, Tasks: 3,
			Need: requester.Resources{MilliCores: 500, MemoryMB: 1024}, RatePerSecond: 0.5 * scale, DataCentres: dataCentres,
		},
	}
	return w
}

// Brennan returns the mixed workload of the customer Brennan: the calls and jobs
// of the helmet kiosks of two towns, which are the trades. Its rates are those of
// the deployment of full size times scale.
func Brennan(scale float64) Workload {
	const kiosk = "kiosk"
	dataCentres := []requester.DataCentre{"galway", "limerick"}
	trades := []requester.Trade{"kiosks-galway", "kiosks-limerick"}
	var w Workload
	for _, trade := range trades {
		w.Streams = append(w.Streams,
			Stream{
				Trade: trade, Service: kiosk, Kind: "unlock", Urgency: requester.UrgencyUrgent,
				Exclusive: true, RatePerSecond: 300 * scale, WorkMillis: 4, DeadlineMillis: 3000, DataCentres: dataCentres, Attempts: 3,
			},
			Stream{
				Trade: trade, Service: kiosk, Kind: "unlock-roaming", Urgency: requester.UrgencyUrgent,
				Exclusive: true, RatePerSecond: 60 * scale, WorkMillis: 4, DeadlineMillis: 3000, Attempts: 3,
			},
			Stream{
				Trade: trade, Service: kiosk, Kind: "rebalance", Urgency: requester.UrgencyNormal,
				Idempotent: true, RatePerSecond: 60 * scale, WorkMillis: 80, DeadlineMillis: 5000, Attempts: 3,
			},
			Stream{
				Trade: trade, Service: kiosk, Kind: "reconcile", Urgency: requester.UrgencyLow,
				Idempotent: true, RatePerSecond: 60 * scale, WorkMillis: 250, DeadlineMillis: 10_000, Attempts: 3,
			},
		)
	}
	w.Jobs = []JobStream{{
		Trade: "kiosks-galway", Kind: "sanitation", Shape: requester.ShapeBatch, Urgency: requester.UrgencyLow, Tasks: 16,
		Need: requester.Resources{MilliCores: 1000, MemoryMB: 2048}, RunMillis: 1200, RatePerSecond: 4 * scale, DataCentres: dataCentres,
	}}
	return w
}
