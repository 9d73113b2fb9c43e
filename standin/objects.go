package standin

import (
	"io"
	"net/http"
	"sync"
)

// Objects is a stand-in for the platform's object store. It keeps objects in
// memory.
type Objects struct {
	server
	mu      sync.Mutex
	objects map[string][]byte
	down    bool
}

// NewObjects starts an empty object store on loopback.
func NewObjects() (*Objects, error) {
	o := &Objects{objects: make(map[string][]byte)}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/objects/{name...}", o.servePut)
	mux.HandleFunc("GET /v1/objects/{name...}", o.serveGet)
	return o, o.start(mux)
}

// SetDown starts or ends an outage, during which every request gets status 503.
func (o *Objects) SetDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

func (o *Objects) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		http.Error(w, "object store is down", http.StatusServiceUnavailable)
		return
	}
	o.objects[r.PathValue("name")] = data
	w.WriteHeader(http.StatusNoContent)
}

func (o *Objects) serveGet(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.objects[r.PathValue("name")]
	switch {
	case o.down:
		http.Error(w, "object store is down", http.StatusServiceUnavailable)
	case !ok:
		http.NotFound(w, r)
	default:
		_, _ = w.Write(data)
	}
}
