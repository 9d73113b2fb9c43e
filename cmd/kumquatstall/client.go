package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/configurer"
	"kumquatstall/reporter"
	"kumquatstall/server"
)

// remote holds the flags of the commands that send requests to entries.
type remote struct {
	Entry     []string        `required:"" env:"KUMQUATSTALL_ENTRY" placeholder:"ADDRESS" help:"Addresses of entries. The first that can be reached is used; report burn uses all."`
	Token     string          `env:"KUMQUATSTALL_TOKEN" help:"Bearer token."`
	Authority string          `type:"path" help:"PEM file with the certificate authority of the entries; enables TLS."`
	Output    reporter.Format `enum:"text,json" default:"text" help:"Output format: ${enum}."`
	Timeout   time.Duration   `default:"15s" help:"How long to wait for the response of each entry."`
}

// entryResponse is the HTTP response of an entry.
type entryResponse struct {
	status int
	body   []byte
}

// send sends a request to the entries in turn until one responds. Unless it is a
// GET, a request that an entry may have received is not sent to another, because
// it may have taken effect.
func (r *remote) send(method, path string, body any) (entryResponse, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return entryResponse{}, errors.Wrap(err, "encode request")
		}
	}
	client, scheme, err := r.client()
	if err != nil {
		return entryResponse{}, err
	}
	var lastErr error
	for _, entry := range r.Entry {
		response, sent, err := r.sendTo(client, scheme+"://"+entry, method, path, data)
		if err == nil {
			return response, nil
		}
		lastErr = err
		if sent && method != http.MethodGet {
			return entryResponse{}, &exitError{status: exitUnknown, cause: errors.Wrap(err, "the request may have taken effect")}
		}
	}
	return entryResponse{}, lastErr
}

// client returns the HTTP client and the URL scheme with which to reach entries.
func (r *remote) client() (*http.Client, string, error) {
	if r.Authority == "" {
		return http.DefaultClient, "http", nil
	}
	pool, err := server.LoadAuthority(&configurer.TLS{Authority: r.Authority})
	if err != nil {
		return nil, "", err
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	return &http.Client{Transport: transport}, "https", nil
}

// sendTo sends a request to one entry. On an error, sent is true if the entry may
// have received the request.
func (r *remote) sendTo(client *http.Client, base, method, path string, data []byte) (result entryResponse, sent bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(data))
	if err != nil {
		return entryResponse{}, false, errors.Wrap(err, "create request")
	}
	if r.Token != "" {
		request.Header.Set("Authorization", "Bearer "+r.Token)
	}
	response, err := client.Do(request)
	if err != nil {
		return entryResponse{}, !isDialError(err), errors.Wrapf(err, "%s %s", method, base+path)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return entryResponse{status: response.StatusCode, body: body}, true, errors.Wrap(err, "read response")
}

// fetch sends a request and decodes the response into value. A response with an
// error status is returned as an error, as by problemError.
func (r *remote) fetch(method, path string, body, value any) error {
	response, err := r.send(method, path, body)
	if err != nil {
		return err
	}
	if response.status >= http.StatusBadRequest {
		return problemError(response)
	}
	return errors.Wrap(json.Unmarshal(response.body, value), "decode response")
}

// problemError returns the error that a response reports, with the exit status
// for its kind.
func problemError(response entryResponse) error {
	var problem server.ProblemBody
	if err := json.Unmarshal(response.body, &problem); err != nil {
		return errors.Newf("entry responded with status %d and no problem report", response.status)
	}
	cause := errors.Newf("%s: %s: expected %s", problem.Code, problem.Field, problem.Expected)
	if problem.Current != nil {
		current, err := json.Marshal(problem.Current)
		if err == nil {
			cause = errors.Newf("%s: %s: expected %s; the current value is %s", problem.Code, problem.Field, problem.Expected, current)
		}
	}
	switch response.status {
	case http.StatusConflict:
		return &exitError{status: exitConflict, cause: cause}
	case http.StatusGatewayTimeout:
		return &exitError{status: exitUnknown, cause: cause}
	default:
		return cause
	}
}

// print writes a value to standard output: as JSON, or as text by calling text.
func (r *remote) print(value any, text func(io.Writer)) error {
	if r.Output == reporter.FormatJSON {
		return reporter.WriteJSON(os.Stdout, value)
	}
	text(os.Stdout)
	return nil
}

// printf formats to w and ignores write errors.
func printf(w io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(w, format, arguments...)
}
