package main

import (
	"io"
	"net/http"
	"net/url"

	"kumquatstall/decider"
)

type hostCommands struct {
	List   hostListCommand   `cmd:"" help:"List the hosts of the entry's data centre."`
	Leave  hostLeaveCommand  `cmd:"" help:"Drain a host: it gets no new work."`
	Return hostReturnCommand `cmd:"" help:"Return a drained host to service."`
}

type hostListCommand struct {
	remote
}

// Run lists hosts.
func (c *hostListCommand) Run() error {
	return fetchAndPrint(&c.remote, http.MethodGet, "/v1/hosts", nil, func(w io.Writer, hosts []decider.HostView) {
		for _, host := range hosts {
			state := "active"
			if host.Leaving {
				state = "leaving"
			}
			printf(w, "%s\t%s\t%s\t%s%s\n", host.HostID, host.Role, state, host.Rack, host.Service)
		}
	})
}

type hostLeaveCommand struct {
	remote
	HostID string `arg:"" help:"ID of the host."`
}

// Run sets the drain mark of a host.
func (c *hostLeaveCommand) Run() error {
	return changeItem(&c.remote, http.MethodPost, "/v1/hosts/"+url.PathEscape(c.HostID)+"/leave", -1, nil)
}

type hostReturnCommand struct {
	remote
	HostID string `arg:"" help:"ID of the host."`
}

// Run clears the drain mark of a host.
func (c *hostReturnCommand) Run() error {
	return changeItem(&c.remote, http.MethodPost, "/v1/hosts/"+url.PathEscape(c.HostID)+"/return", -1, nil)
}
