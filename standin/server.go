package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// server is the HTTP server that each stand-in embeds.
type server struct {
	listener net.Listener
	http     *http.Server
	done     chan struct{}
}

// start listens on a free loopback port.
func (s *server) start(handler http.Handler) error {
	return s.startAt(netip.MustParseAddrPort("127.0.0.1:0"), handler)
}

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

// Address returns where the stand-in listens.
func (s *server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close ends the stand-in and breaks its connections.
func (s *server) Close() {
	_ = s.http.Close()
	<-s.done
}

// maxStandinBody bounds a request body, in bytes.
const maxStandinBody = 64 << 20

func decodeJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxStandinBody))
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

// serveFaults decodes the faults in the body and hands them to set.
func serveFaults[T any](w http.ResponseWriter, r *http.Request, set func(T)) {
	var faults T
	if decodeJSON(w, r, &faults) {
		set(faults)
		w.WriteHeader(http.StatusNoContent)
	}
}
