package dispatcher

import (
	"bytes"
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// TestLogOfALife checks how the log has what the core knows of a worker's incarnation and
// its lease, that a released run which is active is a warning, and that the load line and
// the metrics count it.
func TestLogOfALife(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var out bytes.Buffer
	d := &Dispatcher{
		options: Options{Self: "self"}.withDefaults(), clock: NewClock(), log: zerolog.New(&out), cache: newStateCache(),
		ctx: ctx, store: keeper.NewHedged(silentTable{}), linked: make(map[requester.EntryID]linkedEntry),
	}
	s := newSession(d, ownerRow{Holder: "self", Epoch: 2, TermMillis: maxOwnerTerm.Milliseconds()}, 1, d.clock.Now(), ownerView{})
	s.writeLogRecord(&scheduler.LogRecord{
		Worker: "w", Event: "released run is active", Address: netip.MustParseAddrPort("10.0.0.1:80"), BootedAt: time.UnixMilli(2000), FormerBootedAt: time.UnixMilli(1000),
		Lease: scheduler.LeaseCount{Deadline: 9000, Clock: 500, ClockAge: 250 * time.Millisecond, GrantAge: 100 * time.Millisecond}, Why: "why", Warning: true,
	})
	is.Equal(out.String(), `{"level":"warn","Event":"released run is active","Epoch":2,"Worker":"w","Address":"10.0.0.1:80","BootedMS":2000,"FormerBootedMS":1000,"Deadline":9000,"Clock":500,"ClockAgeMillis":250,"GrantAgeMillis":100,"Why":"why"}`+"\n")
	out.Reset()
	s.writeLogRecord(&scheduler.LogRecord{Worker: "w", Event: "worker answers"})
	is.Equal(out.String(), `{"level":"info","Event":"worker answers","Epoch":2,"Worker":"w"}`+"\n") // no empty fields
	out.Reset()
	s.logLoad(d.clock.Now().Add(time.Hour))
	is.True(strings.Contains(out.String(), `"Resurfaced":0,"ReleasedActive":0,`))
	is.True(strings.Contains(d.Metrics(), `"ReleasedActive":0`))
}
