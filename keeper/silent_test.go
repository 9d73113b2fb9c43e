package keeper_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/keeper"
	"kumquatstall/standin"
)

// TestTableIsReachedAfterConnectionsGoSilent checks that the table and the host list
// are reached again, 3 s after their connections went silent, as after a reset.
func TestTableIsReachedAfterConnectionsGoSilent(t *testing.T) {
	const contactBound = 3 * time.Second
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		if strings.HasPrefix(r.URL.Path, "/v1/hosts") {
			_, _ = w.Write([]byte("[]"))
			return
		}
		_, _ = w.Write([]byte(`{"Committed":true}`))
	}))
	defer server.Close()
	tests := []struct {
		name string
		// start returns how to make a request to the service.
		start func(t *testing.T, address netip.AddrPort) func(ctx context.Context) error
	}{
		{"transaction", func(t *testing.T, address netip.AddrPort) func(ctx context.Context) error {
			client := keeper.New(address, keeper.Options{})
			t.Cleanup(func() { client.Close(); <-client.Done() })
			return func(ctx context.Context) error {
				done := make(chan error, 2)
				client.Read(keeper.ReadRequest{Keys: []string{"a"}}, time.Now().Add(time.Minute), func(_ keeper.ReadResult, err error) { done <- err })
				client.Transact(keeper.Transaction{}, time.Now().Add(time.Minute), func(_ keeper.TransactResult, err error) { done <- err })
				if err := <-done; err != nil {
					<-done
					return err
				}
				return <-done
			}
		}},
		{"host list", func(_ *testing.T, address netip.AddrPort) func(ctx context.Context) error {
			lister := keeper.NewHostLister(address)
			return func(ctx context.Context) error {
				_, err := lister.List(ctx, "here")
				return err
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			proxy, err := standin.NewProxy(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
			is.NoErr(err)
			defer proxy.Close()
			request := test.start(t, proxy.Address())
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			for range 4 {
				is.NoErr(request(ctx))
			}
			proxy.BlackholeConnections()
			silentAt := time.Now()
			for request(ctx) != nil && ctx.Err() == nil {
				time.Sleep(50 * time.Millisecond)
			}
			took := time.Since(silentAt)
			t.Logf("succeeded %v after the connections went silent", took.Round(time.Millisecond))
			is.True(took < contactBound) // longer than the stated bound
		})
	}
}
