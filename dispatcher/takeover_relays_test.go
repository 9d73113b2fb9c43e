package dispatcher

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/requester"
)

// TestRelayWhoseLinkClosesAtATakeover guards against a relay without a link, which an
// owner would ask for as long as it owns the cell.
func TestRelayWhoseLinkClosesAtATakeover(t *testing.T) {
	is := is.New(t)
	d := &Dispatcher{
		options: Options{Self: "self"}.withDefaults(), clock: NewClock(), log: zerolog.Nop(), cache: newStateCache(),
		ctx: t.Context(), store: keeper.NewHedged(silentTable{}), linked: make(map[requester.EntryID]linkedEntry),
	}
	for _, id := range []requester.EntryID{"closes", "stays"} {
		d.PeerUp(encoder.PeerInfo{EntryID: id}, 1)
	}
	s := newSession(d, ownerRow{Holder: "self", Epoch: 1}, 1, d.clock.Now(), ownerView{})
	d.session.Store(s)
	d.PeerDown("closes", errors.New("silent"))
	s.post(s.addLinkedRelays)
	for _, do := range s.drainMailbox() {
		do()
	}
	var ids []requester.EntryID
	for _, r := range s.adviser.relays {
		ids = append(ids, r.id)
	}
	is.Equal(ids, []requester.EntryID{"self", "stays"})
}
