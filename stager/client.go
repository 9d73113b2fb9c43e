package stager

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Exchange sends a JSON request to the deployment's balancer and decodes the
// answer. Any status but 200 is an error.
func (d *Deployment) DoJSON(ctx context.Context, method, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "encode %s %s", method, path)
	}
	url := "http://" + d.Balancer.Address().String() + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrapf(err, "make %s %s", method, path)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "send %s %s", method, path)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s %s: status %d", method, path, response.StatusCode)
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(answer), "decode answer to %s %s", method, path)
}

// AwaitRevision waits until a revision of the configuration is in force on
// every entry.
func (d *Deployment) AwaitRevision(ctx context.Context, revision int64) error {
	return d.Await(ctx, "configuration in force", func() bool {
		for _, entry := range d.Entries {
			if entry.View().ConfigRevision < revision {
				return false
			}
		}
		return true
	})
}
