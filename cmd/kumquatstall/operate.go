package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"kumquatstall/decider"
)

// isDialError reports whether a request failed before a connection was
// established.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// readBody reads a YAML or JSON file as the JSON body of a request.
func readBody(file string) (json.RawMessage, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read file")
	}
	data, err := yaml.YAMLToJSON(text)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: expected YAML", file)
	}
	return data, nil
}

// fetchAndPrint sends a request and prints the value that the response holds, as text or in
// the format that the operator has chosen.
func fetchAndPrint[T any](r *remote, method, path string, body any, text func(io.Writer, T)) error {
	var value T
	if err := r.fetch(method, path, body, &value); err != nil {
		return err
	}
	return r.print(value, func(w io.Writer) { text(w, value) })
}

type statusCommand struct {
	remote
}

// Run prints the state of an entry.
func (c *statusCommand) Run() error {
	return fetchAndPrint(&c.remote, http.MethodGet, "/v1/status", nil, func(w io.Writer, view decider.View) {
		printf(w, "%s in %s: ready %t, draining %t, store down %t, configuration revision %d\n",
			view.EntryID, view.DataCentre, view.Ready, view.Draining, view.StoreDown, view.ConfigRevision)
		for _, shard := range view.Seats {
			printf(w, "shard %d\tepoch %d\tlease extended %t\n", shard.Number, shard.Epoch, shard.Extended)
		}
		for _, peer := range view.Peers {
			printf(w, "peer %s\t%s\tconnected %t\tround trip %d us\trevision %d\n",
				peer.EntryID, peer.DataCentre, peer.Connected, peer.RoundTripMicros, peer.ConfigRevision)
		}
		for _, service := range view.Services {
			printf(w, "service %s\tprofile %s\t%d endpoints\t%d calls waiting\n", service.Service, service.Profile, len(service.Endpoints), service.Waiting)
		}
	})
}

type reportCommands struct {
	Burn burnCommand `cmd:"" help:"Report the burn rates of service-level error budgets."`
}

type burnCommand struct {
	remote
}
