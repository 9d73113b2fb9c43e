package pooler

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// countingServer is a server that counts the connections that it accepts.
type countingServer struct {
	*httptest.Server
	accepted atomic.Int64
	// silent makes it answer no request.
	silent atomic.Bool
}

func newCountingServer(t *testing.T) *countingServer {
	s := &countingServer{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if s.silent.Load() {
			<-r.Context().Done()
		}
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.accepted.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// get sends a request over connections that were opened after the given time.
func (s *countingServer) get(t *testing.T, p *Pooler, after time.Time) error {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	sentAt := time.Now()
	response, err := p.Client(address, after).Do(request)
	p.RetireAfter(err, address, sentAt)
	if err == nil {
		_ = response.Body.Close()
	}
	return err
}

// TestTimeoutOfOneHostKeepsConnectionsToOthers checks that a host that does not answer
// costs no new connections to the others.
func TestTimeoutOfOneHostKeepsConnectionsToOthers(t *testing.T) {
	is := is.New(t)
	p := New(Options{Connections: 4, IdleTimeout: time.Minute})
	defer p.Close()
	sound, dead := newCountingServer(t), newCountingServer(t)
	is.NoErr(sound.get(t, p, time.Time{}))
	is.NoErr(dead.get(t, p, time.Time{}))
	dead.silent.Store(true)
	is.True(IsTimeout(dead.get(t, p, time.Time{})))
	is.NoErr(sound.get(t, p, time.Time{}))
	is.Equal(sound.accepted.Load(), int64(1))
	dead.silent.Store(false)
	is.NoErr(dead.get(t, p, time.Time{}))
	is.Equal(dead.accepted.Load(), int64(2))
}

// TestUnusedPoolsAreRemoved checks that addresses that are not used any more, such as
// those of workers that have left, are forgotten.
func TestUnusedPoolsAreRemoved(t *testing.T) {
	is := is.New(t)
	p := New(Options{Connections: 4, IdleTimeout: 5 * time.Millisecond})
	defer p.Close()
	for port := range uint16(100) {
		p.Client(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port+1), time.Time{})
	}
	time.Sleep(20 * time.Millisecond)
	p.Client(netip.MustParseAddrPort("127.0.0.1:200"), time.Time{})
	is.Equal(len(p.byAddress), 1)
}
