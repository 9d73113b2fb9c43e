package keeper

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/requester"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=HostRole -trimprefix=Role

// HostRole is the role of a host: a worker runs tasks, an endpoint runs calls, and
// an entry schedules both.
type HostRole int

const (
	RoleWorker HostRole = iota
	RoleEndpoint
	RoleEntry
)

// Host is a host on the platform's host list.
type Host struct {
	HostID     requester.HostID
	DataCentre requester.DataCentre
	Role       HostRole
	Address    netip.AddrPort
	Rack       string
	// Total is the capacity of a worker.
	Total requester.Resources `json:",omitzero"`
	// Service, Slots and Connections describe an endpoint. Slots and Connections
	// are its limits of calls that run and of connections open at a time.
	Service     requester.Service `json:",omitempty"`
	Slots       int               `json:",omitempty"`
	Connections int               `json:",omitempty"`
	// Leaving is true if the platform is about to remove the host.
	Leaving bool `json:",omitempty"`
}

// HostLister reads the platform's host list.
type HostLister struct {
	client  *http.Client
	address netip.AddrPort
}

// NewHostLister returns a HostLister for the host list at address.
func NewHostLister(address netip.AddrPort) *HostLister {
	return &HostLister{client: &http.Client{Timeout: 2 * time.Second}, address: address}
}

// List returns the hosts of a data centre.
func (l *HostLister) List(ctx context.Context, dataCentre requester.DataCentre) ([]Host, error) {
	target := "http://" + l.address.String() + "/v1/hosts?datacentre=" + url.QueryEscape(string(dataCentre))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create host list request")
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "read host list from %s", l.address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("read host list from %s: got status %d, expected 200", l.address, response.StatusCode)
	}
	var hosts []Host
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&hosts)
	return hosts, errors.Wrapf(err, "decode host list from %s", l.address)
}

// MarshalText encodes the role as its name.
func (r HostRole) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText decodes the name of a role.
func (r *HostRole) UnmarshalText(text []byte) error {
	for _, role := range []HostRole{RoleWorker, RoleEndpoint, RoleEntry} {
		if role.String() == string(text) {
			*r = role
			return nil
		}
	}
	return errors.Newf("decode host role: got %q, expected Worker, Endpoint or Entry", text)
}
