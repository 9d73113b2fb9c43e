package standin

import (
	"net/http"
	"sync"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/requester"
)

// hostChange is an addition, replacement or removal of a host.
type hostChange struct {
	host      keeper.Host
	changedAt time.Time
	removed   bool
}

// HostList is a stand-in for the platform's host list. A change becomes visible
// to readers after a lag.
type HostList struct {
	server
	mu  sync.Mutex
	lag time.Duration
	// changes are the changes of each host, in the order of the calls.
	changes map[requester.HostID][]hostChange
}

// NewHostList starts an empty host list on loopback whose changes become visible
// after lag.
func NewHostList(lag time.Duration) (*HostList, error) {
	l := &HostList{lag: lag, changes: make(map[requester.HostID][]hostChange)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", l.serveHosts)
	return l, l.start(mux)
}

// Put adds or replaces a host.
func (l *HostList) Put(host keeper.Host) { l.addChange(hostChange{host: host}) }

// PutNow adds or replaces a host without the lag.
func (l *HostList) PutNow(host keeper.Host) {
	l.addChange(hostChange{host: host, changedAt: time.Now().Add(-l.lag)})
}

// Remove removes a host.
func (l *HostList) Remove(id requester.HostID) {
	l.addChange(hostChange{host: keeper.Host{HostID: id}, removed: true})
}

// addChange records a change. If changedAt is zero, it is set to the current time.
func (l *HostList) addChange(change hostChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if change.changedAt.IsZero() {
		change.changedAt = time.Now()
	}
	id := change.host.HostID
	l.changes[id] = append(l.changes[id], change)
}

func (l *HostList) serveHosts(w http.ResponseWriter, r *http.Request) {
	dataCentre := requester.DataCentre(r.URL.Query().Get("datacentre"))
	encodeJSON(w, l.visible(dataCentre, time.Now()))
}

// visible returns the hosts of a data centre that readers see at now.
func (l *HostList) visible(dataCentre requester.DataCentre, now time.Time) []keeper.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := []keeper.Host{}
	for _, changes := range l.changes {
		var latest *hostChange
		for i := range changes {
			if !now.Before(changes[i].changedAt.Add(l.lag)) {
				latest = &changes[i]
			}
		}
		if latest != nil && !latest.removed && latest.host.DataCentre == dataCentre {
			hosts = append(hosts, latest.host)
		}
	}
	return hosts
}
