package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// readinessCheckInterval is the period of the rounds of readiness checks, and the
// timeout of each check. A round takes longer if several entries do not respond.
const readinessCheckInterval = 200 * time.Millisecond

// Balancer is a stand-in for the platform's load balancer. It forwards requests
// round-robin to the entries that passed their last readiness check.
type Balancer struct {
	server
	client *http.Client
	// next counts the requests; modulo the number of ready entries, it selects the
	// entry for a request.
	next   atomic.Int64
	cancel context.CancelFunc
	// checksDone is closed when the readiness checks have stopped.
	checksDone chan struct{}

	mu      sync.Mutex
	entries []netip.AddrPort
	// ready are the entries that passed their last readiness check.
	ready []netip.AddrPort
}

// NewBalancer starts a balancer on loopback in front of entries.
func NewBalancer(entries []netip.AddrPort) (*Balancer, error) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Balancer{
		entries:    entries,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 30 * time.Second}},
		cancel:     cancel,
		checksDone: make(chan struct{}),
	}
	if err := b.start(http.HandlerFunc(b.serve)); err != nil {
		cancel()
		return nil, err
	}
	go func() {
		defer close(b.checksDone)
		b.checkReadiness(ctx)
	}()
	return b, nil
}

// SetEntries replaces the entries. The next round of readiness checks uses the
// new list.
func (b *Balancer) SetEntries(entries []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = entries
}

// Close stops the readiness checks and the server, and closes all connections.
func (b *Balancer) Close() {
	b.cancel()
	<-b.checksDone
	b.server.Close()
	b.client.CloseIdleConnections()
}

// Ready returns the entries that passed their last readiness check.
func (b *Balancer) Ready() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]netip.AddrPort(nil), b.ready...)
}

// checkReadiness runs a round of readiness checks per readinessCheckInterval, one
// entry after the other, until ctx ends.
func (b *Balancer) checkReadiness(ctx context.Context) {
	ticker := time.NewTicker(readinessCheckInterval)
	defer ticker.Stop()
	for {
		b.mu.Lock()
		entries := b.entries
		b.mu.Unlock()
		var ready []netip.AddrPort
		for _, entry := range entries {
			if b.isReady(ctx, entry) {
				ready = append(ready, entry)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// isReady reports whether GET /readyz of an entry returns status 200.
func (b *Balancer) isReady(ctx context.Context, entry netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessCheckInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// serve forwards a request to the next ready entry. It does not retry: if no entry
// is ready or the entry does not respond, the caller gets status 502.
func (b *Balancer) serve(w http.ResponseWriter, r *http.Request) {
	ready := b.Ready()
	if len(ready) == 0 {
		http.Error(w, "no entry is ready", http.StatusBadGateway)
		return
	}
	entry := ready[int(b.next.Add(1))%len(ready)]
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+entry.String()+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request.Header = r.Header.Clone()
	response, err := b.client.Do(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}
