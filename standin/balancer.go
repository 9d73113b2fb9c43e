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

// healthInterval is how often the balancer asks each entry whether it is
// ready.
const healthInterval = 200 * time.Millisecond

// Balancer is a stand-in for the platform's balancer: it hands each request to
// one of the entries that say they are ready, in turn.
type Balancer struct {
	server
	client  *http.Client
	next    atomic.Int64
	cancel  context.CancelFunc
	watched chan struct{}

	mu      sync.Mutex
	entries []netip.AddrPort
	ready   []netip.AddrPort
}

// NewBalancer starts a balancer on loopback in front of entries.
func NewBalancer(entries []netip.AddrPort) (*Balancer, error) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Balancer{
		entries: entries,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 30 * time.Second}},
		cancel:  cancel,
		watched: make(chan struct{}),
	}
	if err := b.start(http.HandlerFunc(b.serve)); err != nil {
		cancel()
		return nil, err
	}
	go func() {
		defer close(b.watched)
		b.watch(ctx)
	}()
	return b, nil
}

// SetEntries replaces the entries.
func (b *Balancer) SetEntries(entries []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = entries
}

// Close ends the balancer.
func (b *Balancer) Close() {
	b.cancel()
	<-b.watched
	b.server.Close()
	b.client.CloseIdleConnections()
}

// Ready returns the entries that get requests.
func (b *Balancer) Ready() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]netip.AddrPort(nil), b.ready...)
}

func (b *Balancer) watch(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		b.mu.Lock()
		entries := b.entries
		b.mu.Unlock()
		var ready []netip.AddrPort
		for _, entry := range entries {
			if b.healthy(ctx, entry) {
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

func (b *Balancer) healthy(ctx context.Context, entry netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, healthInterval)
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

func (b *Balancer) serve(w http.ResponseWriter, r *http.Request) {
	ready := b.Ready()
	if len(ready) == 0 {
		http.Error(w, "no entry is ready", http.StatusBadGateway)
		return
	}
	entry := ready[int(b.next.Add(1))%len(ready)]
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStandinBody))
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
