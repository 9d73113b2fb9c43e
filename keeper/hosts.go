package keeper

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
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

// OddHostsError reports the hosts on the list that cannot be used. The others are
// returned beside it.
type OddHostsError struct {
	// Reasons says why, for each odd host.
	Reasons []error
}

// Error implements error.
func (e *OddHostsError) Error() string {
	texts := make([]string, len(e.Reasons))
	for i, reason := range e.Reasons {
		texts[i] = reason.Error()
	}
	return "odd hosts on the host list: " + strings.Join(texts, "; ")
}

// List returns the hosts of a data centre. If some are odd, it returns the others
// and an *OddHostsError.
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
	var list []json.RawMessage
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&list); err != nil {
		return nil, errors.Wrapf(err, "decode host list from %s", l.address)
	}
	hosts := make([]Host, 0, len(list))
	var odd []error
	for i, data := range list {
		host, err := decodeHost(data)
		if err != nil {
			odd = append(odd, errors.Wrapf(err, "host %d (%.100q)", i, host.HostID))
			continue
		}
		hosts = append(hosts, host)
	}
	if len(odd) > 0 {
		return hosts, &OddHostsError{Reasons: odd}
	}
	return hosts, nil
}

// Limits of what the list says of a host, far above what any has.
const (
	maxMilliCores   = 1e9
	maxMemoryMB     = 1e12
	maxAccelerators = 1e6
	maxSlots        = 1e6
)

// decodeHost decodes a host of the list. The error names the field.
func decodeHost(data []byte) (Host, error) {
	var host Host
	if err := json.Unmarshal(data, &host); err != nil {
		return host, errors.Wrap(err, "decode host")
	}
	if err := requester.CheckName("HostID", string(host.HostID)); err != nil {
		return host, err
	}
	ip := host.Address.Addr().Unmap()
	if !host.Address.IsValid() || host.Address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() {
		return host, errors.Newf("Address: got %s, expected the address of a host, with a port", host.Address)
	}
	ranges := []struct {
		field       string
		value, most int64
	}{
		{"Total.MilliCores", host.Total.MilliCores, maxMilliCores},
		{"Total.MemoryMB", host.Total.MemoryMB, maxMemoryMB},
		{"Total.Accelerators", host.Total.Accelerators, maxAccelerators},
		{"Slots", int64(host.Slots), maxSlots},
		{"Connections", int64(host.Connections), maxSlots},
	}
	for _, r := range ranges {
		if r.value < 0 || r.value > r.most {
			return host, errors.Newf("%s: got %d, expected between 0 and %d", r.field, r.value, r.most)
		}
	}
	return host, nil
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
