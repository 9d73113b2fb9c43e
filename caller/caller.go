// Package caller carries out the traffic that the decision core asks for:
// calls to endpoints, questions to endpoints, syncs of workers.
//
// An answer counts only if it is whole and names the very request it answers.
// Everything else is classified by what it proves: that nothing was sent, that
// the endpoint ended the call, or nothing at all.
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
	"kumquatstall/requester"
	"kumquatstall/router"
)

// Options configures a Caller. The zero value of each field means its default.
type Options struct {
	// MaxAnswer bounds an endpoint's answer, in bytes; default 8 MiB.
	MaxAnswer int64
	// SyncTimeout bounds one sync of a worker; default 2 s.
	SyncTimeout time.Duration
	// Connections bounds the connections to one endpoint; default 16.
	Connections int
}

const (
	defaultMaxAnswer   = 8 << 20
	defaultSyncTimeout = 2 * time.Second
	defaultConnections = 16
	statusTimeout      = time.Second
	idleTimeout        = 10 * time.Second
	// answerGrace is how long after its deadline a call's answer is read:
	// it tells that the slot is free.
	answerGrace = 200 * time.Millisecond
)

// Caller sends requests to endpoints and workers. Its methods may be used by
// several goroutines at once.
type Caller struct {
	options Options
	client  *http.Client

	mu sync.Mutex
	// offsets is how far each worker's clock is ahead.
	offsets map[requester.HostID]time.Duration
}

// New returns a Caller.
func New(options Options) *Caller {
	if options.MaxAnswer <= 0 {
		options.MaxAnswer = defaultMaxAnswer
	}
	if options.SyncTimeout <= 0 {
		options.SyncTimeout = defaultSyncTimeout
	}
	if options.Connections <= 0 {
		options.Connections = defaultConnections
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: options.Connections,
		MaxConnsPerHost:     options.Connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Caller{
		options: options,
		client:  &http.Client{Transport: transport},
		offsets: make(map[requester.HostID]time.Duration),
	}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Run sends a call to an endpoint and returns how it ended.
func (c *Caller) Run(ctx context.Context, command decider.StartAttempt) decider.AttemptDone {
	done := decider.AttemptDone{AttemptID: command.AttemptID}
	ctx, cancel := context.WithDeadline(ctx, command.Call.Deadline.Add(answerGrace))
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
		done.Kind, done.Detail = decider.ResultNotSent, "lease or deadline has ended"
		return done
	}
	response, err := c.client.Do(request)
	if err != nil {
		done.Kind, done.Detail = decider.ResultLost, err.Error()
		if !connected.Load() {
			done.Kind = decider.ResultNotSent
		}
		return done
	}
	defer response.Body.Close()
	return c.readAnswer(command, response)
}

func newCallRequest(ctx context.Context, command decider.StartAttempt) (*http.Request, error) {
	call := &command.Call
	target := "http://" + command.Address.String() + "/v1/run"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(call.Payload))
	if err != nil {
		return nil, errors.Wrapf(err, "make request to endpoint %s", command.Endpoint)
	}
	header := request.Header
	header.Set(router.HeaderRequestID, string(call.RequestID))
	header.Set(router.HeaderKind, string(call.Kind))
	header.Set(router.HeaderTrade, string(call.Trade))
	header.Set(router.HeaderDeadline, call.Deadline.UTC().Format(time.RFC3339Nano))
	header.Set(router.HeaderIdempotent, strconv.FormatBool(call.Idempotent))
	header.Set(router.HeaderExclusive, strconv.FormatBool(call.Exclusive))
	return request, nil
}

// readAnswer reads and checks an endpoint's answer.
func (c *Caller) readAnswer(command decider.StartAttempt, response *http.Response) decider.AttemptDone {
	done := decider.AttemptDone{AttemptID: command.AttemptID, Kind: decider.ResultLost}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxAnswer+1))
	switch {
	case err != nil:
		done.Detail = "answer cut off: " + err.Error()
	case response.Header.Get(router.HeaderRequestID) != string(command.Call.RequestID):
		done.Detail = "answer names another request"
	case int64(len(body)) > c.options.MaxAnswer:
		done.Kind, done.Detail = decider.ResultFailed, "answer is too large"
	case response.StatusCode == http.StatusOK:
		done.Kind, done.Payload = decider.ResultAnswered, body
	case response.StatusCode >= 400 && response.StatusCode < 500:
		done.Kind, done.Detail = decider.ResultRejected, "endpoint answered "+response.Status
	default:
		done.Kind, done.Detail = decider.ResultFailed, "endpoint answered "+response.Status
	}
	return done
}

// Status asks an endpoint what it runs.
func (c *Caller) Status(ctx context.Context, info router.EndpointInfo) decider.StatusDone {
	done := decider.StatusDone{Endpoint: info.HostID, Service: info.Service, SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	err := c.exchange(ctx, http.MethodGet, info.Address, "/v1/status", nil, &done.Status)
	done.Failed = err != nil
	return done
}

// Sync sends a sync to a worker.
func (c *Caller) Sync(ctx context.Context, sync placer.Sync) decider.SyncDone {
	done := decider.SyncDone{Sync: sync}
	ctx, cancel := context.WithTimeout(ctx, c.options.SyncTimeout)
	defer cancel()
	request := sync.Request
	request.Deadline = request.Deadline.Add(c.offset(sync.Worker))
	sentAt := time.Now()
	err := c.exchange(ctx, http.MethodPost, sync.Address, "/v1/sync", request, &done.Report)
	if err != nil {
		done.Failed = true
		return done
	}
	c.learnOffset(sync.Worker, sentAt, time.Now(), done.Report.Now)
	return done
}

func (c *Caller) offset(id requester.HostID) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offsets[id]
}

// learnOffset notes how far a worker's clock is ahead. The worker's time lies
// between sending and receiving; the earlier bound makes its lease end no
// later than the holder counts on.
func (c *Caller) learnOffset(id requester.HostID, sentAt, receivedAt, workerNow time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead := workerNow.Sub(receivedAt)
	if latest := workerNow.Sub(sentAt); ahead <= 0 && latest >= 0 {
		// Within the round trip the clocks can't be told apart.
		ahead = 0
	}
	c.offsets[id] = ahead
}

// exchange sends a JSON request and decodes the JSON answer.
func (c *Caller) exchange(ctx context.Context, method string, address netip.AddrPort, path string, body, answer any) error {
	var reader io.Reader = http.NoBody
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Wrapf(err, "encode %s for %s", path, address)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, reader)
	if err != nil {
		return errors.Wrapf(err, "make %s for %s", path, address)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrapf(err, "%s to %s", path, address)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxAnswer))
	if err != nil {
		return errors.Wrapf(err, "answer to %s from %s", path, address)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s to %s: status %d", path, address, response.StatusCode)
	}
	return errors.Wrapf(json.Unmarshal(data, answer), "decode answer to %s from %s", path, address)
}
