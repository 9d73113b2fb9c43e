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

// HostRole tells what a host is for.
type HostRole int

// The roles of hosts.
const (
	RoleWorker HostRole = iota
	RoleEndpoint
	RoleEntry
)

// Host is one host on the platform's list.
type Host struct {
	HostID     requester.HostID
	DataCentre requester.DataCentre
	Role       HostRole
	Address    netip.AddrPort
	Rack       string
	// Total is what a worker has.
	Total requester.Resources `json:",omitzero"`
	// Service, Slots and Connections describe an endpoint.
	Service     requester.Service `json:",omitempty"`
	Slots       int               `json:",omitempty"`
	Connections int               `json:",omitempty"`
	// Leaving tells that the platform is about to take the host away.
	Leaving bool `json:",omitempty"`
}

// HostLister reads the platform's host list.
type HostLister struct {
	client  *http.Client
	address netip.AddrPort
}

// NewHostLister returns a reader of the host list at address.
func NewHostLister(address netip.AddrPort) *HostLister {
	return &HostLister{client: &http.Client{Timeout: 2 * time.Second}, address: address}
}

// List returns the hosts of a data centre.
func (l *HostLister) List(ctx context.Context, dataCentre requester.DataCentre) ([]Host, error) {
	target := "http://" + l.address.String() + "/v1/hosts?datacentre=" + url.QueryEscape(string(dataCentre))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make host list request")
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "host list at %s", l.address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("host list at %s: status %d", l.address, response.StatusCode)
	}
	var hosts []Host
	err = json.NewDecoder(io.LimitReader(response.Body, maxTableAnswer)).Decode(&hosts)
	return hosts, errors.Wrapf(err, "decode host list of %s", l.address)
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
	return errors.Newf("host role %q is not defined", text)
}
