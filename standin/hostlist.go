package standin

import (
	"net/http"
	"sync"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/requester"
)

type listedHost struct {
	host  keeper.Host
	since time.Time
	gone  bool
}

// HostList is a stand-in for the platform's list of hosts. Changes show only
// after a lag.
type HostList struct {
	server
	mu  sync.Mutex
	lag time.Duration
	// changes holds each host's changes in order.
	changes map[requester.HostID][]listedHost
}

// NewHostList starts a host list on loopback whose changes show after lag.
func NewHostList(lag time.Duration) (*HostList, error) {
	l := &HostList{lag: lag, changes: make(map[requester.HostID][]listedHost)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", l.serveHosts)
	return l, l.start(mux)
}

// Put adds or replaces a host.
func (l *HostList) Put(host keeper.Host) { l.change(listedHost{host: host}) }

// PutNow adds a host that shows at once, as one listed long ago.
func (l *HostList) PutNow(host keeper.Host) {
	l.change(listedHost{host: host, since: time.Now().Add(-l.lag)})
}

// Remove takes a host off the list.
func (l *HostList) Remove(id requester.HostID) {
	l.change(listedHost{host: keeper.Host{HostID: id}, gone: true})
}

func (l *HostList) change(change listedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if change.since.IsZero() {
		change.since = time.Now()
	}
	id := change.host.HostID
	l.changes[id] = append(l.changes[id], change)
}

func (l *HostList) serveHosts(w http.ResponseWriter, r *http.Request) {
	dataCentre := requester.DataCentre(r.URL.Query().Get("datacentre"))
	encodeJSON(w, l.visible(dataCentre, time.Now()))
}

func (l *HostList) visible(dataCentre requester.DataCentre, now time.Time) []keeper.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := []keeper.Host{}
	for _, changes := range l.changes {
		var shown *listedHost
		for i := range changes {
			if !now.Before(changes[i].since.Add(l.lag)) {
				shown = &changes[i]
			}
		}
		if shown != nil && !shown.gone && shown.host.DataCentre == dataCentre {
			hosts = append(hosts, shown.host)
		}
	}
	return hosts
}
