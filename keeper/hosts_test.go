package keeper

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"kumquatstall/requester"
)

const goodHost = `{"HostID":"h1","DataCentre":"here","Role":"Worker","Address":"10.0.0.1:80","Rack":"r1","Total":{"MilliCores":8000,"MemoryMB":16000}}`

// TestOddHostStopsList checks that an odd host does not hide the others, and that
// its key and the reason are reported.
func TestOddHostStopsList(t *testing.T) {
	change := func(old, replacement string) string {
		if !strings.Contains(goodHost, old) {
			panic(old)
		}
		return strings.Replace(goodHost, old, replacement, 1)
	}
	const huge = "9223372036854775807"
	tests := []struct{ reason, host string }{
		{"host role", change(`"Worker"`, `"Boss"`)},
		{"invalid port", change(`:80`, `:70000`)},
		{"Address", change(`:80`, `:0`)},
		{"Address", change(`10.0.0.1`, `0.0.0.0`)},
		{"Address", change(`10.0.0.1`, `224.0.0.1`)},
		{"Address", change(`"Address":"10.0.0.1:80",`, ``)},
		{"HostID", change(`"h1"`, `""`)},
		{"HostID", change(`"h1"`, `"h 1"`)},
		{"HostID", change(`"h1"`, `7`)},
		{"Total.MilliCores", change(`8000`, huge)},
		{"Total.MilliCores", change(`8000`, `-1`)},
		{"MilliCores", change(`8000`, `1e300`)},
		{"Slots", change(`"Rack"`, `"Slots":-1,"Rack"`)},
		{"Slots", change(`"Rack"`, `"Slots":`+huge+`,"Rack"`)},
		{"Connections", change(`"Rack"`, `"Connections":-1,"Rack"`)},
		{"depth", strings.Repeat("[", 9990) + strings.Repeat("]", 9990)},
		{"cannot unmarshal", `7`},
		{"HostID", `null`},
	}
	for _, test := range tests {
		t.Run(test.reason, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte("[" + goodHost + "," + test.host + "," + change("h1", "h3") + "]"))
			}))
			defer server.Close()
			lister := NewHostLister(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
			hosts, err := lister.List(t.Context(), "here")
			is.Equal(len(hosts), 2)
			is.Equal(hosts[0].HostID, requester.HostID("h1"))
			is.Equal(hosts[1].HostID, requester.HostID("h3"))
			var odd *OddHostsError
			is.True(errors.As(err, &odd))
			is.Equal(len(odd.Reasons), 1)
			if !strings.Contains(odd.Error(), test.reason) && test.reason != "depth" {
				t.Errorf("got %q, expected the reason %q", odd.Error(), test.reason)
			}
		})
	}
}
