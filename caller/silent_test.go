package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/decider"
	"kumquatstall/placer"
	"kumquatstall/requester"
	"kumquatstall/router"
	"kumquatstall/standin"
)

// contactBound is after what time hosts are in touch again after their connections
// were reset or went silent.
const contactBound = 3 * time.Second

// newSilentHost returns the address of a host that answers all requests, behind a
// proxy.
func newSilentHost(t *testing.T) (netip.AddrPort, *standin.Proxy) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		w.Header().Set(router.HeaderRequestID, r.Header.Get(router.HeaderRequestID))
		_, _ = w.Write([]byte("{}"))
	}))
	proxy, err := standin.NewProxy(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { proxy.Close(); server.Close() })
	return proxy.Address(), proxy
}

// TestRequestsSucceedAfterConnectionsGoSilent checks that a host is reached again in
// time after all open connections to it have gone silent, however many they are.
func TestRequestsSucceedAfterConnectionsGoSilent(t *testing.T) {
	tests := []struct {
		name string
		do   func(ctx context.Context, c *Caller, address netip.AddrPort) bool
	}{
		{"sync", func(ctx context.Context, c *Caller, address netip.AddrPort) bool {
			return !c.Sync(ctx, placer.Sync{Worker: "worker", Address: address}).Failed
		}},
		{"status", func(ctx context.Context, c *Caller, address netip.AddrPort) bool {
			return !c.Status(ctx, router.EndpointInfo{HostID: "endpoint", Address: address}).Failed
		}},
		{"call after a status", func(ctx context.Context, c *Caller, address netip.AddrPort) bool {
			_ = c.Status(ctx, router.EndpointInfo{HostID: "endpoint", Address: address})
			now := time.Now()
			call := requester.Call{RequestID: "call", Deadline: now.Add(1500 * time.Millisecond)}
			return c.Run(ctx, decider.StartAttempt{Call: call, Address: address, SendBy: now.Add(time.Second)}).Kind == decider.ResultAnswered
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, proxy := newSilentHost(t)
			c := New(Options{})
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			var group sync.WaitGroup
			for range defaultConnections {
				group.Go(func() { _ = c.Status(ctx, router.EndpointInfo{Address: address}) })
			}
			group.Wait()
			proxy.BlackholeConnections()
			silentAt := time.Now()
			for !test.do(ctx, c, address) && ctx.Err() == nil {
				time.Sleep(50 * time.Millisecond)
			}
			took := time.Since(silentAt)
			t.Logf("succeeded %v after the connections went silent", took.Round(time.Millisecond))
			is.True(took < contactBound) // longer than the stated bound
		})
	}
}
