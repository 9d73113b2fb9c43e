package stager

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kumquatstall/configurer"
	"kumquatstall/standin"
)

// testTimeout bounds a whole test; tests that start processes have twice as long.
// It is far above the expected duration, since tests wait for conditions and not
// for fixed times.
const testTimeout = 60 * time.Second

// testPlan returns the plan of a small deployment with short lease terms and
// heartbeat intervals, so that it is ready quickly.
func testPlan() Plan {
	plan := Brennan(0.1)
	plan.Shards = 4
	plan.HostListLag = 10 * time.Millisecond
	plan.Timing = configurer.Timing{SeatTermMillis: 1000, TaskTermMillis: 1500, MarginMillis: 150, HeartbeatMillis: 150, SyncMillis: 200, HostListMillis: 200, NoticeMillis: 1000}
	return plan
}

// startTestDeployment starts the deployment of testPlan and waits until it is
// ready.
func startTestDeployment(t *testing.T, ctx context.Context) *Deployment {
	t.Helper()
	deployment, err := Start(testPlan(), zerolog.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(deployment.Close)
	if err := deployment.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return deployment
}

// deploymentWithoutEntries returns a deployment of testPlan that has stand-ins but no
// entries; the test starts and closes it.
func deploymentWithoutEntries() *Deployment {
	plan := testPlan()
	for i := range plan.Sites {
		plan.Sites[i].Entries = 0
	}
	return &Deployment{Plan: plan, ExecutionLog: &standin.ExecutionLog{}, log: zerolog.New(io.Discard)}
}

// example is a request in docs/API.md with the expected status and response body.
type example struct {
	method string
	path   string
	body   string
	status int
	answer string
}

var exampleBlocks = regexp.MustCompile("(?s)```request\n(.*?)```\n+```response\n(.*?)```")

// examples parses the examples of docs/API.md.
func examples(t *testing.T) []example {
	t.Helper()
	text, err := os.ReadFile("../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	var found []example
	for _, match := range exampleBlocks.FindAllStringSubmatch(string(text), -1) {
		line, body, _ := strings.Cut(match[1], "\n")
		method, path, _ := strings.Cut(line, " ")
		statusLine, answer, _ := strings.Cut(match[2], "\n")
		status, err := strconv.Atoi(statusLine)
		if err != nil {
			t.Fatalf("example %s: status %q", line, statusLine)
		}
		found = append(found, example{method, path, body, status, answer})
	}
	return found
}

// TestAPIExamples sends the requests of docs/API.md in order, and checks the status
// and the fields that the page shows in the response. It guards against a page that
// no longer agrees with the API.
func TestAPIExamples(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	deployment := startTestDeployment(t, ctx)
	list := examples(t)
	is.True(len(list) >= 15) // the examples of the page were found
	base := "http://" + deployment.Entries[0].Address().String()
	for _, e := range list {
		deadline := time.Now().Add(30 * time.Second).UTC().Format(time.RFC3339Nano)
		body := strings.ReplaceAll(e.body, "DEADLINE", deadline)
		request, err := http.NewRequestWithContext(ctx, e.method, base+e.path, bytes.NewReader([]byte(body)))
		is.NoErr(err)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		got, err := io.ReadAll(response.Body)
		is.NoErr(err)
		_ = response.Body.Close()
		if response.StatusCode != e.status {
			t.Fatalf("%s %s: status %d, want %d: %s", e.method, e.path, response.StatusCode, e.status, got)
		}
		if strings.TrimSpace(e.answer) == "" {
			continue
		}
		var want, have any
		is.NoErr(json.Unmarshal([]byte(e.answer), &want))
		is.NoErr(json.Unmarshal(got, &have))
		if path := mismatch(want, have, ""); path != "" {
			t.Errorf("%s %s: response differs from docs/API.md at %s: %s", e.method, e.path, path, got)
		}
	}
}

// mismatch returns the path of a field of want that is absent from have or has
// another value there, or "" if there is none. have may contain further fields.
func mismatch(want, have any, path string) string {
	wantedFields, ok := want.(map[string]any)
	if !ok {
		if want != have {
			return path
		}
		return ""
	}
	haveFields, ok := have.(map[string]any)
	if !ok {
		return path
	}
	for key, value := range wantedFields {
		if at := mismatch(value, haveFields[key], path+"."+key); at != "" {
			return at
		}
	}
	return ""
}
