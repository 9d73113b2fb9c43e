// Package loader generates a load of calls and jobs on a deployment.
//
// A Workload consists of streams of calls and of jobs. Each stream is a Poisson
// process whose random numbers follow from a seed. The load is open loop: the
// arrival rate does not depend on response times, so a slow deployment does not
// slow the arrivals down. Each attempt of a call and its outcome is recorded in
// an auditor; the jobs that the deployment accepts are listed by Jobs.
package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/auditor"
	"kumquatstall/requester"
	"kumquatstall/standin"
)

// Stream specifies a stream of calls of one kind.
type Stream struct {
	Trade         requester.Trade   `yaml:"Trade"`
	Service       requester.Service `yaml:"Service"`
	Kind          requester.Kind    `yaml:"Kind"`
	Urgency       requester.Urgency `yaml:"Urgency"`
	Idempotent    bool              `yaml:"Idempotent"`
	Exclusive     bool              `yaml:"Exclusive"`
	RatePerSecond float64           `yaml:"RatePerSecond"`
	// WorkMillis is the mean time that a call takes at an endpoint. The times
	// are log-normally distributed.
	WorkMillis     float64 `yaml:"WorkMillis"`
	DeadlineMillis int64   `yaml:"DeadlineMillis"`
	// DataCentres are the data centres from which the DataCentre of each call is
	// chosen at random. If there are none, calls leave it empty.
	DataCentres []requester.DataCentre `yaml:"DataCentres"`
	// Attempts is the maximum number of attempts of a call, which is retried
	// while its outcome is NotRun and its deadline has not passed. 0 means 1.
	Attempts int `yaml:"Attempts"`
	// Calls arrive from FromMillis to ToMillis after the start of the run. A
	// ToMillis of 0 means until its end.
	FromMillis int64 `yaml:"FromMillis"`
	ToMillis   int64 `yaml:"ToMillis"`
}

// JobStream specifies a stream of jobs of one kind.
type JobStream struct {
	Trade         requester.Trade        `yaml:"Trade"`
	Kind          requester.Kind         `yaml:"Kind"`
	Shape         requester.JobShape     `yaml:"Shape"`
	Urgency       requester.Urgency      `yaml:"Urgency"`
	Tasks         int                    `yaml:"Tasks"`
	Need          requester.Resources    `yaml:"Need"`
	RunMillis     int64                  `yaml:"RunMillis"`
	RatePerSecond float64                `yaml:"RatePerSecond"`
	DataCentres   []requester.DataCentre `yaml:"DataCentres"`
	// SizeSigma and RunSigma are the standard deviations of the logarithms of
	// two ratios, which are the same for all tasks of a job: actual to declared
	// processor time and memory, and actual to declared run time. Both are
	// log-normally distributed with median 1.
	SizeSigma float64 `yaml:"SizeSigma"`
	RunSigma  float64 `yaml:"RunSigma"`
}

// payload returns the payload of a new job, from which the stand-in worker
// takes the actual resources and run time of its tasks.
func (s *JobStream) payload(random *rand.Rand) []byte {
	sizeFactor := math.Exp(random.NormFloat64() * s.SizeSigma)
	runFactor := math.Exp(random.NormFloat64() * s.RunSigma)
	work := standin.TaskWork{
		RunMicros: int64(float64(s.RunMillis) * 1000 * runFactor),
		Use: requester.Resources{
			MilliCores:   int64(float64(s.Need.MilliCores) * sizeFactor),
			MemoryMB:     int64(float64(s.Need.MemoryMB) * sizeFactor),
			Accelerators: s.Need.Accelerators,
		},
	}
	data, err := json.Marshal(work)
	if err != nil {
		panic(err)
	}
	return data
}

// Workload is the load on one deployment.
type Workload struct {
	Streams []Stream
	Jobs    []JobStream
}

// workSigma is the standard deviation of the logarithm of a call's time at an
// endpoint.
const workSigma = 0.4

// responseGrace is how long after its deadline the response to a call is
// awaited.
const responseGrace = 3 * time.Second

// Loader generates the load of one workload.
type Loader struct {
	target   netip.AddrPort
	client   *http.Client
	auditor  *auditor.Auditor
	prefix   string
	inFlight sync.WaitGroup

	// Sent counts the calls whose first attempt has started, Ended those whose
	// last attempt has ended.
	Sent  atomic.Int64
	Ended atomic.Int64

	mu   sync.Mutex
	jobs []requester.JobStatus
}

// New returns a loader that sends to target and records attempts of calls in
// auditor. The IDs of its requests and jobs start with prefix, which must be
// unique among the loaders of a deployment.
func New(target netip.AddrPort, auditor *auditor.Auditor, prefix string) *Loader {
	const connections = 1024
	transport := &http.Transport{MaxIdleConnsPerHost: connections, IdleConnTimeout: 30 * time.Second}
	return &Loader{target: target, client: &http.Client{Transport: transport}, auditor: auditor, prefix: prefix}
}

// Run generates the workload until the given time and then waits until every
// call and submission has ended.
func (l *Loader) Run(ctx context.Context, workload Workload, seed uint64, until time.Time) {
	l.RunWithArrivalContext(ctx, ctx, workload, seed, until)
}

// RunWithArrivalContext is Run with a separate context for arrivals. When
// arrivalCtx ends, no new calls and jobs arrive, but those that have arrived
// continue until ctx ends.
func (l *Loader) RunWithArrivalContext(arrivalCtx, ctx context.Context, workload Workload, seed uint64, until time.Time) {
	var streams sync.WaitGroup
	for i, stream := range workload.Streams {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		streams.Go(func() { l.runStream(arrivalCtx, ctx, i, stream, random, until) })
	}
	for i, stream := range workload.Jobs {
		random := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		streams.Go(func() { l.runJobStream(arrivalCtx, ctx, i, stream, random, until) })
	}
	streams.Wait()
	l.inFlight.Wait()
	l.client.CloseIdleConnections()
}

// Jobs returns the status of each accepted job at its acceptance.
func (l *Loader) Jobs() []requester.JobStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]requester.JobStatus(nil), l.jobs...)
}

// generateArrivals invokes arrive at the times of a Poisson process between from
// and until, and passes it the number of the arrival, from 0. It returns early if
// ctx ends.
func generateArrivals(ctx context.Context, rate float64, random *rand.Rand, from, until time.Time, arrive func(n int)) {
	if rate <= 0 {
		return
	}
	next := from
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if !next.Before(until) {
			return
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		arrive(n)
	}
}

// runStream generates the calls of one stream. The calls run in goroutines of
// their own.
func (l *Loader) runStream(arrivalCtx, ctx context.Context, index int, stream Stream, random *rand.Rand, until time.Time) {
	from := time.Now().Add(time.Duration(stream.FromMillis) * time.Millisecond)
	if end := time.Now().Add(time.Duration(stream.ToMillis) * time.Millisecond); stream.ToMillis > 0 && end.Before(until) {
		until = end
	}
	generateArrivals(arrivalCtx, stream.RatePerSecond, random, from, until, func(n int) {
		call := stream.newCall(random)
		call.RequestID = requester.RequestID(fmt.Sprintf("%s-%s-%d-%d", l.prefix, stream.Kind, index, n))
		l.inFlight.Go(func() { l.sendWithRetries(ctx, call, max(1, stream.Attempts)) })
	})
}

// newCall returns a new call of the stream, without a request ID. Its deadline
// counts from now.
func (s *Stream) newCall(random *rand.Rand) requester.Call {
	factor := math.Exp(random.NormFloat64()*workSigma - workSigma*workSigma/2)
	work := standin.CallWork{WorkMicros: int64(s.WorkMillis * 1000 * factor)}
	payload, err := json.Marshal(work)
	if err != nil {
		panic(err)
	}
	return requester.Call{
		Trade:      s.Trade,
		Service:    s.Service,
		Kind:       s.Kind,
		Urgency:    s.Urgency,
		Idempotent: s.Idempotent,
		Exclusive:  s.Exclusive,
		Attempt:    1,
		Payload:    payload,
		Deadline:   time.Now().Add(time.Duration(s.DeadlineMillis) * time.Millisecond),
		DataCentre: drawDataCentre(s.DataCentres, random),
	}
}

// drawDataCentre returns one of the data centres at random, or "" if there are none.
func drawDataCentre(dataCentres []requester.DataCentre, random *rand.Rand) requester.DataCentre {
	if len(dataCentres) == 0 {
		return ""
	}
	return dataCentres[random.IntN(len(dataCentres))]
}

// sendWithRetries sends a call and records each attempt. It retries while the
// outcome is NotRun, the call has had fewer than maxAttempts attempts and its
// deadline has not passed.
func (l *Loader) sendWithRetries(ctx context.Context, call requester.Call, maxAttempts int) {
	l.Sent.Add(1)
	defer l.Ended.Add(1)
	for {
		sentAt := time.Now()
		answer, err := l.sendAttempt(ctx, call)
		attempt := auditor.Attempt{Call: call, Answer: answer, SentAt: sentAt, Lost: err != nil}
		if err != nil {
			attempt.Detail = err.Error()
		}
		l.auditor.Record(attempt)
		retry := err == nil && answer.Outcome == requester.OutcomeNotRun
		if !retry || call.Attempt >= maxAttempts || !time.Now().Before(call.Deadline) {
			return
		}
		call.Attempt++
	}
}

// sendAttempt sends one attempt of a call. An error means that no response with
// an outcome was received.
func (l *Loader) sendAttempt(ctx context.Context, call requester.Call) (requester.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(responseGrace))
	defer cancel()
	var answer requester.Answer
	status, err := l.post(ctx, "/v1/calls", call, &answer)
	if err != nil {
		return answer, err
	}
	if status == http.StatusBadGateway {
		// The balancer reached no entry or lost the connection to it, so the
		// caller can't know whether the call ran.
		answer = requester.Answer{RequestID: call.RequestID, Outcome: requester.OutcomeUnknown}
	}
	if status == http.StatusBadRequest {
		answer = requester.Answer{RequestID: call.RequestID, Outcome: requester.OutcomeRefused, Reason: requester.ReasonInvalid}
	}
	if answer.Outcome == requester.OutcomePending {
		return answer, errors.Newf("response with status %d has no outcome", status)
	}
	return answer, nil
}

// post sends a JSON request, decodes the response into value and returns the
// status. A response with status 502 comes from the balancer, is not JSON and is
// not decoded.
func (l *Loader) post(ctx context.Context, path string, body, value any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.target.String()+path, bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "create request")
	}
	response, err := l.client.Do(request)
	if err != nil {
		return 0, errors.Wrapf(err, "send to %s", l.target)
	}
	defer response.Body.Close()
	data, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, errors.Wrapf(err, "read response from %s", l.target)
	}
	if response.StatusCode == http.StatusBadGateway {
		return response.StatusCode, nil
	}
	return response.StatusCode, errors.Wrap(json.Unmarshal(data, value), "decode response")
}

// runJobStream generates the jobs of one stream.
func (l *Loader) runJobStream(arrivalCtx, ctx context.Context, index int, stream JobStream, random *rand.Rand, until time.Time) {
	generateArrivals(arrivalCtx, stream.RatePerSecond, random, time.Now(), until, func(n int) {
		job := stream.newJob(random)
		job.JobID = requester.JobID(fmt.Sprintf("%s-%s-%d-%d", l.prefix, stream.Kind, index, n))
		l.inFlight.Go(func() { l.submit(ctx, job) })
	})
}

// newJob returns a new job of the stream, without a job ID.
func (s *JobStream) newJob(random *rand.Rand) requester.Job {
	return requester.Job{
		Trade:      s.Trade,
		Kind:       s.Kind,
		Shape:      s.Shape,
		Urgency:    s.Urgency,
		Tasks:      s.Tasks,
		Need:       s.Need,
		RunMillis:  s.RunMillis,
		Payload:    s.payload(random),
		DataCentre: drawDataCentre(s.DataCentres, random),
	}
}

// submitTimeout is the timeout of the submission of a job.
const submitTimeout = 10 * time.Second

// submit submits a job once. A submission that fails or is rejected is not
// recorded.
func (l *Loader) submit(ctx context.Context, job requester.Job) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	var status requester.JobStatus
	code, err := l.post(ctx, "/v1/jobs", job, &status)
	if err != nil || code != http.StatusCreated {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, status)
}
