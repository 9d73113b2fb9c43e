package stager

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// DoJSON sends a request with body encoded as JSON through the balancer and
// decodes the response into answer. Any status but 200 is an error.
func (d *Deployment) DoJSON(ctx context.Context, method, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "encode %s %s", method, path)
	}
	url := "http://" + d.Balancer.Address().String() + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrapf(err, "create request %s %s", method, path)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "send %s %s", method, path)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s %s: status %d instead of 200", method, path, response.StatusCode)
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(answer), "decode response to %s %s", method, path)
}

// AwaitRevision waits until every entry has applied the configuration at revision
// or a later one.
func (d *Deployment) AwaitRevision(ctx context.Context, revision int64) error {
	return d.Await(ctx, "configuration revision applied by all entries", func() bool {
		for _, entry := range d.Entries {
			if entry.View().ConfigRevision < revision {
				return false
			}
		}
		return true
	})
}
