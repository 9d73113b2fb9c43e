// Package server is the HTTP side of an entry: calls from callers, the
// administration API for operators, health for the balancer, metrics, and the
// point at which other entries open links.
//
// Paths are versioned and bodies are JSON with Pascal-case keys; docs/API.md
// describes each. A request that fails gets a Problem that names the field.
// Bearer tokens are compared by hash; without any configured, an entry listens
// on loopback only, which package configurer checks.
package server

import (
	"context"
	"crypto/x509"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"golang.org/x/net/netutil"

	"kumquatstall/configurer"
	"kumquatstall/decider"
	"kumquatstall/encoder"
	"kumquatstall/linker"
	"kumquatstall/meter"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// Backend is the entry as the server needs it.
type Backend interface {
	Call(ctx context.Context, call requester.Call) (requester.Answer, error)
	ChangeConfig(ctx context.Context, item tuner.Item, expected int64, by string) (decider.ReplyConfig, error)
	Jobs(ctx context.Context, action encoder.JobAction, job requester.Job) (encoder.JobReply, error)
	History(ctx context.Context) ([]tuner.Change, error)
	Items(kind tuner.ItemKind) []tuner.Item
	Burn() []meter.Burn
	Vars() string
	View() *decider.View
}

// Server is the HTTP listener of an entry.
type Server struct {
	settings *configurer.Settings
	control  Backend
	listener net.Listener
	http     *http.Server
	done     chan struct{}
}

// headerTimeout bounds the reading of a request's headers.
const headerTimeout = 5 * time.Second

// Listen binds the listener; nothing is served before Serve.
func Listen(settings *configurer.Settings, control Backend) (*Server, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(settings.Listen))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", settings.Listen)
	}
	return &Server{settings: settings, control: control, listener: listener, done: make(chan struct{})}, nil
}

// Address returns where the server listens.
func (s *Server) Address() netip.AddrPort { return linker.AddressOf(s.listener) }

// Serve starts to serve; links opens links of other entries.
func (s *Server) Serve(links http.Handler) {
	limits := &s.settings.Limits
	s.http = &http.Server{
		Handler:           s.routes(links),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       configurer.Millis(limits.IdleMillis),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
	}
	listener := netutil.LimitListener(s.listener, limits.MaxConnections)
	go func() {
		defer close(s.done)
		if s.settings.TLS.Certificate != "" {
			_ = s.http.ServeTLS(listener, s.settings.TLS.Certificate, s.settings.TLS.PrivateKey)
			return
		}
		_ = s.http.Serve(listener)
	}()
}

// Shutdown stops to accept and waits for requests in flight.
func (s *Server) Shutdown(ctx context.Context) { _ = s.http.Shutdown(ctx) }

// Close ends the server at once.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

// LoadAuthority returns the pool of certificates that other entries are checked
// against.
func LoadAuthority(settings *configurer.TLS) (*x509.CertPool, error) {
	path := settings.Authority
	if path == "" {
		path = settings.Certificate
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Newf("%s holds no certificate", path)
	}
	return pool, nil
}

func (s *Server) routes(links http.Handler) http.Handler {
	router := mux.NewRouter()
	read := func(handler http.HandlerFunc) http.HandlerFunc { return s.guard(configurer.RoleRead, handler) }
	operate := func(handler http.HandlerFunc) http.HandlerFunc { return s.guard(configurer.RoleOperate, handler) }

	router.HandleFunc("/v1/calls", s.serveCall).Methods(http.MethodPost)
	router.HandleFunc("/v1/jobs", s.serveJobSubmit).Methods(http.MethodPost)
	router.HandleFunc("/v1/jobs", read(s.serveJobList)).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{id}", read(s.serveJobStatus)).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{id}", operate(s.serveJobCancel)).Methods(http.MethodDelete)
	router.HandleFunc("/v1/workers", read(s.serveWorkers)).Methods(http.MethodGet)
	for path, kind := range itemPaths {
		router.HandleFunc("/v1/"+path, read(s.serveItems(kind))).Methods(http.MethodGet)
		router.HandleFunc("/v1/"+path+"/{name}", read(s.serveItem(kind))).Methods(http.MethodGet)
		router.HandleFunc("/v1/"+path+"/{name}", operate(s.servePutItem(kind))).Methods(http.MethodPut)
		router.HandleFunc("/v1/"+path+"/{name}", operate(s.serveDeleteItem(kind))).Methods(http.MethodDelete)
	}
	router.HandleFunc("/v1/history", read(s.serveHistory)).Methods(http.MethodGet)
	router.HandleFunc("/v1/hosts", read(s.serveHosts)).Methods(http.MethodGet)
	router.HandleFunc("/v1/hosts/{id}/leave", operate(s.serveMark(true))).Methods(http.MethodPost)
	router.HandleFunc("/v1/hosts/{id}/return", operate(s.serveMark(false))).Methods(http.MethodPost)
	router.HandleFunc("/v1/status", read(s.serveStatus)).Methods(http.MethodGet)
	router.HandleFunc("/v1/burn", read(s.serveBurn)).Methods(http.MethodGet)
	router.HandleFunc("/debug/vars", read(s.serveVars)).Methods(http.MethodGet)
	router.HandleFunc("/healthz", serveHealth).Methods(http.MethodGet)
	router.HandleFunc("/readyz", s.serveReady).Methods(http.MethodGet)
	router.Handle(linker.Path, links)
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, encoder.Problem{Code: encoder.ProblemNotFound, Field: "path", Expected: "a path of docs/API.md"})
	})
	return router
}

func serveHealth(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.control.View().Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(s.control.Vars()))
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.control.View())
}

func (s *Server) serveBurn(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.control.Burn())
}

// readJSON decodes a bounded body and reports a Problem where it can't.
func (s *Server) readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, s.settings.Limits.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	if err == nil {
		return true
	}
	writeProblem(w, decodeProblem(err))
	return false
}

// writeJSON answers with a JSON body.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
