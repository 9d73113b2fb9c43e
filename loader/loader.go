// Package loader drives calls and jobs against a deployment.
//
// Calls arrive by a Poisson process of a fixed seed, open loop: a slow system
// does not slow its callers down. What callers are told goes to an auditor.
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

// Stream is a flow of calls of one kind.
type Stream struct {
	Trade         requester.Trade   `yaml:"Trade"`
	Service       requester.Service `yaml:"Service"`
	Kind          requester.Kind    `yaml:"Kind"`
	Urgency       requester.Urgency `yaml:"Urgency"`
	Idempotent    bool              `yaml:"Idempotent"`
	Exclusive     bool              `yaml:"Exclusive"`
	RatePerSecond float64           `yaml:"RatePerSecond"`
	// WorkMillis is the mean time that a call takes at an endpoint; times
	// vary log-normally.
	WorkMillis     float64 `yaml:"WorkMillis"`
	DeadlineMillis int64   `yaml:"DeadlineMillis"`
	// DataCentres, where not empty, are the data centres that calls name.
	DataCentres []requester.DataCentre `yaml:"DataCentres"`
	// Attempts bounds how often a caller sends a call that was not run.
	Attempts int `yaml:"Attempts"`
	// FromMillis and ToMillis bound when calls arrive, from the start of
	// the run; a ToMillis of 0 means until its end.
	FromMillis int64 `yaml:"FromMillis"`
	ToMillis   int64 `yaml:"ToMillis"`
}

// JobStream is a flow of jobs of one kind.
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
	// SizeSigma and RunSigma are the deviations of the logarithms of what
	// tasks really use and how long they really run, over what is declared.
	SizeSigma float64 `yaml:"SizeSigma"`
	RunSigma  float64 `yaml:"RunSigma"`
}

// payload tells the stand-in worker what tasks of a job really take.
func (s *JobStream) payload(random *rand.Rand) []byte {
	size := math.Exp(random.NormFloat64() * s.SizeSigma)
	run := math.Exp(random.NormFloat64() * s.RunSigma)
	work := standin.TaskWork{
		RunMicros: int64(float64(s.RunMillis) * 1000 * run),
		Use: requester.Resources{
			MilliCores:   int64(float64(s.Need.MilliCores) * size),
			MemoryMB:     int64(float64(s.Need.MemoryMB) * size),
			Accelerators: s.Need.Accelerators,
		},
	}
	data, err := json.Marshal(work)
	if err != nil {
		panic(err)
	}
	return data
}

// Workload is what is driven at one deployment.
type Workload struct {
	Streams []Stream
	Jobs    []JobStream
}

// workSigma is the deviation of the logarithm of a call's time.
const workSigma = 0.4

// responseGrace is how long after its deadline a call's answer is waited for.
const responseGrace = 3 * time.Second

// Loader drives one workload.
type Loader struct {
	target   netip.AddrPort
	client   *http.Client
	auditor  *auditor.Auditor
	prefix   string
	inFlight sync.WaitGroup

	// Sent and Ended count the calls.
	Sent  atomic.Int64
	Ended atomic.Int64

	mu   sync.Mutex
	jobs []requester.JobStatus
}

// New returns a loader of calls to target; prefix makes its names unique.
func New(target netip.AddrPort, auditor *auditor.Auditor, prefix string) *Loader {
	const connections = 1024
	transport := &http.Transport{MaxIdleConnsPerHost: connections, IdleConnTimeout: 30 * time.Second}
	return &Loader{target: target, client: &http.Client{Transport: transport}, auditor: auditor, prefix: prefix}
}

// Run drives the workload until the time has come, then waits for all answers.
func (l *Loader) Run(ctx context.Context, workload Workload, seed uint64, until time.Time) {
	l.RunWithArrivalContext(ctx, ctx, workload, seed, until)
}

// Drive is Run with a context of its own for the arrival of new work: when
// arrive ends, what has been sent goes on.
func (l *Loader) RunWithArrivalContext(arrive, ctx context.Context, workload Workload, seed uint64, until time.Time) {
	var sources sync.WaitGroup
	for i, stream := range workload.Streams {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		sources.Go(func() { l.runStream(arrive, ctx, i, stream, random, until) })
	}
	for i, stream := range workload.Jobs {
		random := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		sources.Go(func() { l.runJobStream(arrive, ctx, i, stream, random, until) })
	}
	sources.Wait()
	l.inFlight.Wait()
	l.client.CloseIdleConnections()
}

// Jobs returns the jobs that were accepted, as they were then.
func (l *Loader) Jobs() []requester.JobStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]requester.JobStatus(nil), l.jobs...)
}

// arrivals calls arrive at the times of a Poisson process.
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

func (l *Loader) runStream(arrive, ctx context.Context, index int, stream Stream, random *rand.Rand, until time.Time) {
	from := time.Now().Add(time.Duration(stream.FromMillis) * time.Millisecond)
	if end := time.Now().Add(time.Duration(stream.ToMillis) * time.Millisecond); stream.ToMillis > 0 && end.Before(until) {
		until = end
	}
	generateArrivals(arrive, stream.RatePerSecond, random, from, until, func(n int) {
		call := stream.newCall(random)
		call.RequestID = requester.RequestID(fmt.Sprintf("%s-%s-%d-%d", l.prefix, stream.Kind, index, n))
		l.inFlight.Go(func() { l.sendWithRetries(ctx, call, max(1, stream.Attempts)) })
	})
}

// draw makes one call of the stream.
func (s *Stream) newCall(random *rand.Rand) requester.Call {
	factor := math.Exp(random.NormFloat64()*workSigma - workSigma*workSigma/2)
	work := standin.CallWork{WorkMicros: int64(s.WorkMillis * 1000 * factor)}
	payload, err := json.Marshal(work)
	if err != nil {
		panic(err)
	}
	call := requester.Call{
		Trade:      s.Trade,
		Service:    s.Service,
		Kind:       s.Kind,
		Urgency:    s.Urgency,
		Idempotent: s.Idempotent,
		Exclusive:  s.Exclusive,
		Attempt:    1,
		Payload:    payload,
		Deadline:   time.Now().Add(time.Duration(s.DeadlineMillis) * time.Millisecond),
	}
	if len(s.DataCentres) > 0 {
		call.DataCentre = s.DataCentres[random.IntN(len(s.DataCentres))]
	}
	return call
}

// call sends a call, again while it is told that it was not run.
func (l *Loader) sendWithRetries(ctx context.Context, sendWithRetries requester.Call, attempts int) {
	l.Sent.Add(1)
	defer l.Ended.Add(1)
	for {
		sentAt := time.Now()
		answer, err := l.sendAttempt(ctx, sendWithRetries)
		told := auditor.Attempt{Call: sendWithRetries, Answer: answer, SentAt: sentAt, Lost: err != nil}
		if err != nil {
			told.Detail = err.Error()
		}
		l.auditor.Record(told)
		again := err == nil && answer.Outcome == requester.OutcomeNotRun
		if !again || sendWithRetries.Attempt >= attempts || !time.Now().Before(sendWithRetries.Deadline) {
			return
		}
		sendWithRetries.Attempt++
	}
}

// send sends one attempt. An error tells that no truthful answer came.
func (l *Loader) sendAttempt(ctx context.Context, call requester.Call) (requester.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(responseGrace))
	defer cancel()
	var answer requester.Answer
	status, err := l.post(ctx, "/v1/calls", call, &answer)
	if err != nil {
		return answer, err
	}
	if status == http.StatusBadGateway {
		// The balancer lost the entry; the caller can't know more.
		answer = requester.Answer{RequestID: call.RequestID, Outcome: requester.OutcomeUnknown}
	}
	if status == http.StatusBadRequest {
		answer = requester.Answer{RequestID: call.RequestID, Outcome: requester.OutcomeRefused, Reason: requester.ReasonInvalid}
	}
	if answer.Outcome == requester.OutcomePending {
		return answer, errors.Newf("status %d without an outcome", status)
	}
	return answer, nil
}

func (l *Loader) post(ctx context.Context, path string, body, answer any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.target.String()+path, bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "make request")
	}
	response, err := l.client.Do(request)
	if err != nil {
		return 0, errors.Wrapf(err, "send to %s", l.target)
	}
	defer response.Body.Close()
	data, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, errors.Wrapf(err, "read answer of %s", l.target)
	}
	if response.StatusCode == http.StatusBadGateway {
		return response.StatusCode, nil
	}
	return response.StatusCode, errors.Wrap(json.Unmarshal(data, answer), "decode answer")
}

func (l *Loader) runJobStream(arrive, ctx context.Context, index int, stream JobStream, random *rand.Rand, until time.Time) {
	generateArrivals(arrive, stream.RatePerSecond, random, time.Now(), until, func(n int) {
		job := requester.Job{
			JobID:     requester.JobID(fmt.Sprintf("%s-%s-%d-%d", l.prefix, stream.Kind, index, n)),
			Trade:     stream.Trade,
			Kind:      stream.Kind,
			Shape:     stream.Shape,
			Urgency:   stream.Urgency,
			Tasks:     stream.Tasks,
			Need:      stream.Need,
			RunMillis: stream.RunMillis,
			Payload:   stream.payload(random),
		}
		if len(stream.DataCentres) > 0 {
			job.DataCentre = stream.DataCentres[random.IntN(len(stream.DataCentres))]
		}
		l.inFlight.Go(func() { l.submit(ctx, job) })
	})
}

// submitTimeout bounds one submission of a job.
const submitTimeout = 10 * time.Second

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
