package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// server is the HTTP server that the stand-ins with an HTTP interface embed.
type server struct {
	listener net.Listener
	http     *http.Server
	// done is closed when the server has stopped accepting connections.
	done chan struct{}
}

// start serves handler on a free loopback port.
func (s *server) start(handler http.Handler) error {
	return s.startAt(netip.MustParseAddrPort("127.0.0.1:0"), handler)
}

// startAt serves handler on address.
func (s *server) startAt(address netip.AddrPort, handler http.Handler) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return errors.Wrap(err, "listen for stand-in")
	}
	s.listener = listener
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return nil
}

// Address returns the address on which the stand-in listens.
func (s *server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops the server and closes its connections, including those with requests
// in flight.
func (s *server) Close() {
	_ = s.http.Close()
	<-s.done
}

// maxBodyBytes limits the request body that a stand-in reads; a longer one gets
// status 400.
const maxBodyBytes = 64 << 20

// decodeJSON decodes the request body into value and reports whether that
// succeeded. If not, it has sent status 400.
func decodeJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encodeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// serveFaults serves PUT /faults: it decodes the faults in the request body and
// passes them to set.
func serveFaults[T any](w http.ResponseWriter, r *http.Request, set func(T)) {
	var faults T
	if decodeJSON(w, r, &faults) {
		set(faults)
		w.WriteHeader(http.StatusNoContent)
	}
}
