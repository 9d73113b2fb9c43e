package linker_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/encoder"
	"kumquatstall/linker"
	"kumquatstall/requester"
)

// livesWatch records the incarnations of links and of the senders of messages.
type livesWatch struct {
	mu            sync.Mutex
	ups, messages []int64
}

func (w *livesWatch) PeerUp(_ encoder.PeerInfo, incarnation int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ups = append(w.ups, incarnation)
}

func (w *livesWatch) PeerMessage(_ requester.EntryID, incarnation int64, _ encoder.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.messages = append(w.messages, incarnation)
}

func (w *livesWatch) PeerDown(requester.EntryID, error)   {}
func (w *livesWatch) PeerRefused(requester.EntryID, bool) {}

// seen returns copies of what was recorded.
func (w *livesWatch) seen() (ups, messages []int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.ups), slices.Clone(w.messages)
}

// TestFormerLifeDoesNotReplaceNext guards against a link to a dead incarnation, whose
// handshake ends after its successor has linked, that takes the place of the link to the
// successor; and against messages that don't tell which incarnation has sent them.
func TestFormerLifeDoesNotReplaceNext(t *testing.T) {
	const patience = 10 * time.Second
	is := is.New(t)
	watch := new(livesWatch)
	acceptor := linker.New(linker.Options{Self: encoder.PeerInfo{EntryID: "z"}, DialImmediately: true}, watch)
	mux := http.NewServeMux()
	mux.Handle(linker.Path, acceptor)
	server := httptest.NewServer(mux)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	var lives []*linker.Linker
	t.Cleanup(func() {
		for _, l := range append(lives, acceptor) {
			l.Close()
			<-l.Done()
		}
		server.Close()
	})
	link := func(incarnation int64) *end {
		e := new(end)
		e.Linker = linker.New(linker.Options{Self: encoder.PeerInfo{EntryID: "a"}, Incarnation: incarnation, DialImmediately: true}, e)
		lives = append(lives, e.Linker)
		e.Dial([]encoder.PeerInfo{{EntryID: "z", Address: address}})
		for until := time.Now().Add(patience); e.read(&e.ups) == 0 && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
		return e
	}
	present := link(2)
	time.Sleep(time.Second) // so that the two were not dialled at the same time
	former := link(1)
	is.True(former.read(&former.ups) > 0)
	present.Send("z", &encoder.ConfigRequest{})
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if _, messages := watch.seen(); len(messages) > 0 {
			break
		}
	}
	ups, messages := watch.seen()
	is.Equal(ups, []int64{2})
	is.Equal(messages, []int64{2})
	is.Equal(present.read(&present.downs), 0)
}
