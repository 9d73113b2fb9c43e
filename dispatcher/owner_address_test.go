package dispatcher

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/encoder"
	"kumquatstall/linker"
	"kumquatstall/requester"
)

// quietHandler is a linker.Handler that ignores every event.
type quietHandler struct{}

func (quietHandler) PeerUp(encoder.PeerInfo, int64)                        {}
func (quietHandler) PeerDown(requester.EntryID, error)                     {}
func (quietHandler) PeerRefused(requester.EntryID, bool)                   {}
func (quietHandler) PeerMessage(requester.EntryID, int64, encoder.Message) {}

// TestOwnerAtANewAddress guards against an entry that goes on dialling the address of
// an owner's earlier row: it is no relay of that owner, and the refusal there counts
// against an owner that is well.
func TestOwnerAtANewAddress(t *testing.T) {
	is := is.New(t)
	owner := linker.New(linker.Options{Self: encoder.PeerInfo{EntryID: "owner"}, DialImmediately: true}, quietHandler{})
	mux := http.NewServeMux()
	mux.Handle(linker.Path, owner)
	server := httptest.NewServer(mux)
	d := &Dispatcher{options: Options{Self: "self"}}
	d.linker = linker.New(linker.Options{Self: encoder.PeerInfo{EntryID: "self"}, DialImmediately: true}, quietHandler{})
	defer func() {
		d.linker.Close()
		owner.Close()
		<-d.linker.Done()
		<-owner.Done()
		server.Close()
	}()
	closed := httptest.NewServer(mux)
	old := netip.MustParseAddrPort(strings.TrimPrefix(closed.URL, "http://"))
	closed.Close()
	view := ownerView{known: true, row: ownerRow{Holder: "owner", Address: old, Epoch: 1}}
	d.dialOwner(view)
	view.row.Address, view.row.Epoch = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), 2
	for until := time.Now().Add(5 * time.Second); d.linker.Age("owner").Open == 0; time.Sleep(10 * time.Millisecond) {
		d.dialOwner(view)
		is.True(time.Now().Before(until)) // there is a link to the new address
	}
}
