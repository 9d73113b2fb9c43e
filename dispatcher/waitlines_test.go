package dispatcher

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// loggedSession returns a session whose lines go to the buffer.
func loggedSession(t *testing.T, previous ownerView) (*session, *bytes.Buffer) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	out := &bytes.Buffer{}
	d := &Dispatcher{
		options: Options{Self: "self"}.withDefaults(), clock: NewClock(), log: zerolog.New(out), cache: newStateCache(),
		ctx: ctx, store: keeper.NewHedged(silentTable{}), linked: make(map[requester.EntryID]linkedEntry),
	}
	return newSession(d, ownerRow{Holder: "self", Epoch: 2, TermMillis: maxOwnerTerm.Milliseconds()}, 1, d.clock.Now(), previous), out
}

// TestWaitLineLacksItsStart guards against a line about a wait that loses what the core names.
func TestWaitLineLacksItsStart(t *testing.T) {
	is := is.New(t)
	s, out := loggedSession(t, ownerView{})
	until := time.Date(2026, 12, 8, 3, 31, 8, 0, time.UTC)
	s.writeLogRecord(&scheduler.LogRecord{Job: "j", Event: "step waits", Why: "why", Wait: &scheduler.WaitDetail{
		For: 3 * time.Second, OpenStarts: 16,
		Starts:     []scheduler.AwaitedStart{{Task: 4, Run: 6291457, Epoch: 7, Worker: "w", Standing: "answers", Sent: scheduler.SentListed, Until: until, Latest: until.Add(time.Second), LeaseCounted: true}},
		Unreported: 9, Workers: []scheduler.AwaitedWorker{{Worker: "x", Standing: "silent", Until: until}},
		UnknownOn: 8, UnknownUntil: until, UnknownWorkers: []scheduler.AwaitedWorker{{Worker: "y", Standing: "answers", Until: until}},
		LeasesUnknownUntil: until,
	}})
	is.Equal(out.String(), `{"level":"info","Event":"step waits","Epoch":2,"Job":"j","Why":"why","WaitingMillis":3000,"OpenStarts":16,`+
		`"Starts":[{"Task":4,"Run":6291457,"Epoch":7,"Worker":"w","Standing":"answers","Sent":"listed","LeaseCounted":true,"Until":"2026-12-08T03:31:08Z","Latest":"2026-12-08T03:31:09Z"}],`+
		`"Unreported":9,"Workers":[{"Worker":"x","Standing":"silent","Until":"2026-12-08T03:31:08Z"}],"UnknownUntil":"2026-12-08T03:31:08Z","UnknownOn":8,`+
		`"UnknownWorkers":[{"Worker":"y","Standing":"answers","Until":"2026-12-08T03:31:08Z"}],"LeasesUnknownUntil":"2026-12-08T03:31:08Z"}`+"\n")
	out.Reset()
	s.writeLogRecord(&scheduler.LogRecord{Job: "j", Event: "step waits", Why: "why", Wait: &scheduler.WaitDetail{For: time.Second}})
	is.Equal(out.String(), `{"level":"info","Event":"step waits","Epoch":2,"Job":"j","Why":"why","WaitingMillis":1000}`+"\n") // no empty fields
}

// TestLoadHidesWhatIsWaitedFor guards against a load line and metrics that show no silent worker
// and nothing else while the cell waits for what lost owners have left.
func TestLoadHidesWhatIsWaitedFor(t *testing.T) {
	is := is.New(t)
	s, out := loggedSession(t, ownerView{row: ownerRow{Eager: true}})
	s.core.RestoreLeasedWorkers(scheduler.LeasedWorkersRow{Workers: []scheduler.LeasedWorker{{HostID: "w"}}})
	s.logLoad(s.dispatcher.clock.Now().Add(time.Hour))
	is.True(strings.Contains(out.String(), `"Awaited":{"SilentListed":0,"Unreported":1,"UnreportedUnlisted":1,"UnknownOn":1,"OpenOwn":0,"OpenInherited":0,"OpenAnswering":0,"OpenOver":0,"OpenByEpoch":{}},"OpenStarts":0,"Repeated":0,"OpenStartWaitMillis":0,"UnknownRunsWaitMillis":0}`))
	is.True(strings.Contains(s.dispatcher.Metrics(), `"Awaited":{"SilentListed":0,"Unreported":1,"UnreportedUnlisted":1,"UnknownOn":1,`))
	is.True(strings.Contains(s.dispatcher.Metrics(), `"UnknownRunsWaitMillis":0`))
}

// TestTakeoverHidesWhatIsInherited guards against a takeover whose log doesn't say which starts it
// inherits, nor that the predecessor may have started eagerly.
func TestTakeoverHidesWhatIsInherited(t *testing.T) {
	for _, eager := range []bool{true, false} {
		is := is.New(t)
		s, out := loggedSession(t, ownerView{row: ownerRow{Eager: eager}})
		s.recover(nil)
		is.Equal(strings.Count(out.String(), `"Event":"inherited"`), 1)
		is.True(strings.Contains(out.String(), `"Event":"inherited","Epoch":2,"OpenStored":0,"OpenListed":0,"ListedEnded":0,"OpenByEpoch":{},"Workers":0,"PreviousEager":`))
		is.Equal(strings.Contains(out.String(), `"PreviousEager":true,"UnknownUntil":"`), eager)
		is.Equal(strings.Contains(out.String(), `"PreviousEager":false,"Until":"`), !eager)
	}
}

// TestStartAfterTheLeaseIsNotSentSilently guards against a start that looks sent in the log,
// as the owner's lease has ended before and the core hears of that no more.
func TestStartAfterTheLeaseIsNotSentSilently(t *testing.T) {
	is := is.New(t)
	s, out := loggedSession(t, ownerView{})
	s.limitLease(s.dispatcher.clock.Now().Add(-time.Second))
	s.start(scheduler.StartOrder{Worker: scheduler.WorkerRef{HostID: "w"}, Task: scheduler.TaskName{StepName: scheduler.StepName{Job: "j", Step: 1}, Index: 3}, Run: 7, Fence: 2 << 30})
	is.Equal(out.String(), `{"level":"info","Event":"start not sent","Epoch":2,"Job":"j","Occurrence":0,"Step":1,"Task":3,"Run":7,"Worker":"w","Why":"the owner's lease is over"}`+"\n")
}

// TestOwnerEndsWithoutAWord guards against an owner that ends without saying whether it has named
// starts which it hasn't sent.
func TestOwnerEndsWithoutAWord(t *testing.T) {
	is := is.New(t)
	s, out := loggedSession(t, ownerView{})
	s.logEnd()
	is.True(strings.HasPrefix(out.String(), `{"level":"info","Event":"disown","Epoch":2,"StartsUnsent":0,"StartsUnanswered":0,`))
}
