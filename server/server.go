// Package server is the HTTP interface of an entry: calls and jobs from callers,
// the administration API for operators, health and readiness for the load
// balancer, metrics, and the path at which other entries open links.
//
// The paths of the API begin with its version, and bodies are JSON with
// Pascal-case keys; docs/API.md describes each. The response to a request that
// fails is a Problem, which names the field at fault.
// Bearer tokens are compared by their SHA-256 hash. If no tokens are configured,
// requests are not authenticated and the entry may listen on loopback only,
// which package configurer enforces.
package server

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"kumquatstall/configurer"
	"kumquatstall/decider"
	"kumquatstall/encoder"
	"kumquatstall/limiter"
	"kumquatstall/linker"
	"kumquatstall/meter"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// Backend handles the requests that the server accepts; package runner
// implements it. An error of Call, ChangeConfig or Jobs means that the outcome
// is unknown, since the request's context or the entry ended first.
type Backend interface {
	Call(ctx context.Context, call requester.Call) (requester.Answer, error)
	// ChangeConfig changes an item if its current revision equals expected,
	// which may be tuner.AnyRevision. by is the name of the operator.
	ChangeConfig(ctx context.Context, item tuner.Item, expected int64, by string) (decider.ReplyConfig, error)
	Jobs(ctx context.Context, action encoder.JobAction, job requester.Job) (encoder.JobReply, error)
	// History returns the changes of the configuration. It reads the table.
	History(ctx context.Context) ([]tuner.Change, error)
	Items(kind tuner.ItemKind) []tuner.Item
	Burn() []meter.Burn
	// Vars returns the entry's metrics as a JSON object.
	Vars() string
	View() *decider.View
}

// Server is the HTTP listener of an entry.
type Server struct {
	settings *configurer.Settings
	backend  Backend
	listener net.Listener
	http     *http.Server
	done     chan struct{}
}

// headerTimeout bounds the reading of a request's headers.
const headerTimeout = 5 * time.Second

// Listen binds the listener, which is one of the guard's. Requests are served only
// after Serve was called.
func Listen(settings *configurer.Settings, guard *limiter.Guard, backend Backend) (*Server, error) {
	security, err := serverTLS(&settings.TLS)
	if err != nil {
		return nil, err
	}
	var listener net.Listener
	listener, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(settings.Listen))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", settings.Listen)
	}
	if security != nil {
		listener = tls.NewListener(listener, security)
	}
	listener = guard.Listen(listener, guard.CallerConnections(settings.Limits.MaxConnections))
	return &Server{settings: settings, backend: backend, listener: listener, done: make(chan struct{})}, nil
}

// serverTLS returns the TLS configuration of the listener; nil means plain TCP. The
// only protocol is HTTP/1.1, in which a connection has one request at a time: package
// limiter counts connections.
func serverTLS(settings *configurer.TLS) (*tls.Config, error) {
	if settings.Certificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(settings.Certificate, settings.PrivateKey)
	if err != nil {
		return nil, errors.Wrap(err, "read TLS.Certificate and TLS.PrivateKey")
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, NextProtos: []string{"http/1.1"}}, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() netip.AddrPort { return linker.AddressOf(s.listener) }

// Serve starts serving requests and returns at once. links handles the requests
// by which other entries open links.
func (s *Server) Serve(links http.Handler) {
	limits := &s.settings.Limits
	s.http = &http.Server{
		Handler:           BoundTransfers(s.routes(links)),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       configurer.Millis(limits.IdleMillis),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
	}
	limiter.Attach(s.http)
	go func() {
		defer close(s.done)
		_ = s.http.Serve(s.listener)
	}()
}

// Shutdown stops accepting connections and waits until the requests in flight
// have completed or the context ends.
func (s *Server) Shutdown(ctx context.Context) { _ = s.http.Shutdown(ctx) }

// Close closes the listener and all connections and waits for the serving
// goroutine.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

// LoadAuthority returns the certificate pool against which the certificates of
// entries are verified: the one in settings.Authority, or the entry's own
// certificate if no authority is configured.
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
		return nil, errors.Newf("read certificate authority: %s contains no PEM certificate", path)
	}
	return pool, nil
}

// routes returns the handler of all paths. Calls and job submissions need no
// role; the handlers check that the token may act for the trade.
func (s *Server) routes(links http.Handler) http.Handler {
	router := mux.NewRouter()
	read := func(handler http.HandlerFunc) http.HandlerFunc { return s.requireRole(configurer.RoleRead, handler) }
	operate := func(handler http.HandlerFunc) http.HandlerFunc { return s.requireRole(configurer.RoleOperate, handler) }

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
	router.HandleFunc("/v1/hosts/{id}/leave", operate(s.serveDrainMark(true))).Methods(http.MethodPost)
	router.HandleFunc("/v1/hosts/{id}/return", operate(s.serveDrainMark(false))).Methods(http.MethodPost)
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
	if !s.backend.View().Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(s.backend.Vars()))
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.backend.View())
}

func (s *Server) serveBurn(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.backend.Burn())
}

// retryAfterSeconds is when a client should send a request again whose body was not
// read for what other requests held.
const retryAfterSeconds = "1"

// readJSON decodes a request body of at most MaxBodyBytes. If that fails, it
// responds with a Problem and returns false.
func (s *Server) readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	if r.ContentLength > s.settings.Limits.MaxBodyBytes {
		writeProblem(w, tooLargeProblem)
		return false
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, s.settings.Limits.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	if err == nil {
		limiter.Decoded(r)
		return true
	}
	if errors.Is(err, limiter.ErrBusy) {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	writeProblem(w, decodeProblem(err))
	return false
}

// writeJSON responds with a status code and a JSON body.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
