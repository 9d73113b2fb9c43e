// Package caller sends the HTTP requests that the decision core (package decider)
// issues: calls and status requests to endpoints, and syncs to workers. A sync
// starts, stops and throttles runs on a worker, renews its lease and returns its
// report.
//
// A response is accepted only if it is complete and carries the ID of the
// request. Every other result is classified by what it proves: that the request
// was not sent, that the endpoint has ended the call, or neither, in which case
// the endpoint may still be running it.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/decider"
	"kumquatstall/placer"
	"kumquatstall/pooler"
	"kumquatstall/requester"
	"kumquatstall/router"
)

// Options configures a Caller. The zero value of each field means its default.
type Options struct {
	// MaxResponseBytes bounds the body of a response; default 8 MiB.
	MaxResponseBytes int64
	// SyncTimeout bounds one sync request to a worker; default 2 s.
	SyncTimeout time.Duration
	// Connections bounds the connections to one endpoint; default 16.
	Connections int
}

const (
	defaultMaxResponseBytes = 8 << 20
	defaultSyncTimeout      = 2 * time.Second
	defaultConnections      = 16
	statusTimeout           = time.Second
	idleTimeout             = 10 * time.Second
	// responseGrace is how long after a call's deadline its response is still
	// read, because the response shows that the endpoint's slot is free.
	responseGrace = 200 * time.Millisecond
)

// Caller sends requests to endpoints and workers. It is safe for concurrent use.
type Caller struct {
	options Options
	pools   *pooler.Pooler

	mu sync.Mutex
	// workerClocks holds the last reading of each worker's clock.
	workerClocks map[requester.HostID]clockReading
}

// clockReading is a time by a worker's clock, and the same moment by this process's. The
// time of day of this process may be set, so its times are compared with each other only.
type clockReading struct{ shown, at time.Time }

// New returns a Caller.
func New(options Options) *Caller {
	if options.MaxResponseBytes <= 0 {
		options.MaxResponseBytes = defaultMaxResponseBytes
	}
	if options.SyncTimeout <= 0 {
		options.SyncTimeout = defaultSyncTimeout
	}
	if options.Connections <= 0 {
		options.Connections = defaultConnections
	}
	return &Caller{
		options:      options,
		pools:        pooler.New(pooler.Options{Connections: options.Connections, IdleTimeout: idleTimeout}),
		workerClocks: make(map[requester.HostID]clockReading),
	}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.pools.Close() }

// Run sends a call to an endpoint and returns the result. If command.SendBy has
// passed before Run requests a connection, nothing is sent. If it passes before the
// connection is obtained, the request is cancelled; the result is then ResultLost,
// because part of the request may have been sent.
func (c *Caller) Run(ctx context.Context, command decider.StartAttempt) decider.AttemptDone {
	done := decider.AttemptDone{AttemptID: command.AttemptID}
	ctx, cancel := context.WithDeadline(ctx, command.Call.Deadline.Add(responseGrace))
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		connected.Store(true)
		if !time.Now().Before(command.SendBy) {
			cancel()
		}
	}}
	request, err := newCallRequest(httptrace.WithClientTrace(ctx, trace), command)
	if err != nil {
		done.Kind, done.Detail = decider.ResultNotSent, err.Error()
		return done
	}
	if !time.Now().Before(command.SendBy) {
		done.Kind, done.Detail = decider.ResultNotSent, "request not sent: lease or call deadline has expired"
		return done
	}
	// A call that reaches its deadline says nothing about its connection; the status
	// requests do.
	response, err := c.pools.Client(command.Address, time.Time{}).Do(request)
	if err != nil {
		done.Kind, done.Detail = decider.ResultLost, err.Error()
		if !connected.Load() {
			done.Kind = decider.ResultNotSent
		}
		return done
	}
	defer response.Body.Close()
	return c.readResponse(command, response)
}

func newCallRequest(ctx context.Context, command decider.StartAttempt) (*http.Request, error) {
	call := &command.Call
	target := "http://" + command.Address.String() + "/v1/run"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(call.Payload))
	if err != nil {
		return nil, errors.Wrapf(err, "create request to endpoint %s", command.Endpoint)
	}
	header := request.Header
	header.Set(router.HeaderRequestID, string(call.RequestID))
	header.Set(router.HeaderKind, string(call.Kind))
	header.Set(router.HeaderTrade, string(call.Trade))
	header.Set(router.HeaderDeadline, call.Deadline.UTC().Format(time.RFC3339Nano))
	header.Set(router.HeaderIdempotent, strconv.FormatBool(call.Idempotent))
	header.Set(router.HeaderExclusive, strconv.FormatBool(call.Exclusive))
	if command.Boot != 0 {
		header.Set(router.HeaderBoot, strconv.FormatInt(command.Boot, 10))
	}
	return request, nil
}

// readResponse reads an endpoint's response and classifies it.
func (c *Caller) readResponse(command decider.StartAttempt, response *http.Response) decider.AttemptDone {
	done := decider.AttemptDone{AttemptID: command.AttemptID, Kind: decider.ResultLost}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxResponseBytes+1))
	switch {
	case err != nil:
		done.Detail = "read response: " + err.Error()
	case response.Header.Get(router.HeaderRequestID) != string(command.Call.RequestID):
		done.Detail = "response does not carry the ID of the request"
	case int64(len(body)) > c.options.MaxResponseBytes:
		done.Kind, done.Detail = decider.ResultFailed, "response body exceeds the size limit"
	case response.StatusCode == http.StatusMisdirectedRequest:
		done.Kind, done.Detail = decider.ResultNotSent, "another incarnation of the endpoint has rejected the request"
		// Without a number, the present incarnation stays unknown.
		done.Boot, _ = strconv.ParseInt(response.Header.Get(router.HeaderBoot), 10, 64)
	case response.StatusCode == http.StatusOK:
		done.Kind, done.Payload = decider.ResultAnswered, body
	case response.StatusCode >= 400 && response.StatusCode < 500:
		done.Kind, done.Detail = decider.ResultRejected, "endpoint returned status "+response.Status
	default:
		done.Kind, done.Detail = decider.ResultFailed, "endpoint returned status "+response.Status
	}
	return done
}

// Status requests an endpoint's status: the calls that it is running.
func (c *Caller) Status(ctx context.Context, info router.EndpointInfo) decider.StatusDone {
	done := decider.StatusDone{Endpoint: info.HostID, Service: info.Service, SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	err := c.requestJSON(ctx, http.MethodGet, info.Address, "/v1/status", nil, &done.Status)
	done.Failed = err != nil
	return done
}

// Sync sends a sync request to a worker. It converts the lease deadline in the
// request to the worker's clock.
func (c *Caller) Sync(ctx context.Context, sync placer.Sync) decider.SyncDone {
	done := decider.SyncDone{Sync: sync}
	ctx, cancel := context.WithTimeout(ctx, c.options.SyncTimeout)
	defer cancel()
	request := sync.Request
	request.Deadline = c.workerDeadline(sync)
	sentAt := time.Now()
	err := c.requestJSON(ctx, http.MethodPost, sync.Address, "/v1/sync", request, &done.Report)
	if err != nil {
		done.Failed = true
		return done
	}
	c.readWorkerClock(sync.Worker, sentAt, time.Now(), done.Report.Now)
	return done
}

// workerDeadline returns the deadline of a sync on the worker's clock.
func (c *Caller) workerDeadline(sync placer.Sync) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	reading, ok := c.workerClocks[sync.Worker]
	if !ok {
		// No request names the incarnation of a worker that has never answered, so it
		// grants nothing.
		return sync.Request.Deadline
	}
	return reading.shown.Add(sync.Request.Deadline.Sub(reading.at))
}

// readWorkerClock records what a worker's clock has shown between sentAt and receivedAt. It
// counts as read at receivedAt, so that the worker's lease expires no later than the
// holder assumes.
func (c *Caller) readWorkerClock(id requester.HostID, sentAt, receivedAt, workerNow time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !workerNow.Before(sentAt) && !workerNow.After(receivedAt) {
		// The round trip shows no difference between the clocks.
		workerNow = receivedAt.Round(0)
	}
	c.workerClocks[id] = clockReading{shown: workerNow, at: receivedAt}
}

// requestJSON sends a request, with body as JSON unless it is nil, and decodes
// the JSON response into result.
func (c *Caller) requestJSON(ctx context.Context, method string, address netip.AddrPort, path string, body, result any) error {
	var reader io.Reader = http.NoBody
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Wrapf(err, "encode request %s to %s", path, address)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, reader)
	if err != nil {
		return errors.Wrapf(err, "create request %s to %s", path, address)
	}
	sentAt := time.Now()
	response, err := c.pools.Client(address, time.Time{}).Do(request)
	if err != nil {
		c.pools.RetireAfter(err, address, sentAt)
		return errors.Wrapf(err, "send request %s to %s", path, address)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxResponseBytes))
	if err != nil {
		c.pools.RetireAfter(err, address, sentAt)
		return errors.Wrapf(err, "read response to %s from %s", path, address)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("request %s to %s: got status %d, expected 200", path, address, response.StatusCode)
	}
	return errors.Wrapf(json.Unmarshal(data, result), "decode response to %s from %s", path, address)
}
