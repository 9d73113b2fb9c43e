package server

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/configurer"
	"kumquatstall/decider"
	"kumquatstall/encoder"
	"kumquatstall/meter"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// fakeBackend answers every call and counts the calls and changes that reach it.
type fakeBackend struct {
	calls   int
	changes int
}

func (b *fakeBackend) Call(_ context.Context, call requester.Call) (requester.Answer, error) {
	b.calls++
	return requester.Answer{RequestID: call.RequestID, Outcome: requester.OutcomeAnswered}, nil
}

func (b *fakeBackend) ChangeConfig(_ context.Context, item tuner.Item, _ int64, _ string) (decider.ReplyConfig, error) {
	b.changes++
	return decider.ReplyConfig{Item: item}, nil
}

func (b *fakeBackend) Jobs(context.Context, encoder.JobAction, requester.Job) (encoder.JobReply, error) {
	return encoder.JobReply{Jobs: []requester.JobStatus{{}}}, nil
}

func (b *fakeBackend) History(context.Context) ([]tuner.Change, error) { return nil, nil }
func (b *fakeBackend) Items(tuner.ItemKind) []tuner.Item               { return nil }
func (b *fakeBackend) Burn() []meter.Burn                              { return nil }
func (b *fakeBackend) Vars() string                                    { return "{}" }
func (b *fakeBackend) View() *decider.View                             { return &decider.View{} }

var _ Backend = (*fakeBackend)(nil)

func digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func testHandler(tokens []configurer.Token) (http.Handler, *fakeBackend) {
	backend := &fakeBackend{}
	settings := &configurer.Settings{Tokens: tokens}
	settings.Limits.MaxBodyBytes = 1024
	s := &Server{settings: settings, backend: backend}
	return s.routes(http.NotFoundHandler()), backend
}

func TestTokens(t *testing.T) {
	tokens := []configurer.Token{
		{SHA256: digest("reader"), Role: configurer.RoleRead, Name: "r"},
		{SHA256: digest("operator"), Role: configurer.RoleOperate, Name: "o"},
		{SHA256: digest("kiosk"), Trade: "kiosks", Name: "k"},
	}
	tests := []struct {
		name   string
		method string
		path   string
		secret string
		body   string
		status int
	}{
		{"read without token", http.MethodGet, "/v1/status", "", "", http.StatusUnauthorized},
		{"read with wrong token", http.MethodGet, "/v1/status", "guess", "", http.StatusUnauthorized},
		{"read as reader", http.MethodGet, "/v1/status", "reader", "", http.StatusOK},
		{"read as operator", http.MethodGet, "/v1/status", "operator", "", http.StatusOK},
		{"change as reader", http.MethodPost, "/v1/hosts/h/leave", "reader", "", http.StatusForbidden},
		{"change as operator", http.MethodPost, "/v1/hosts/h/leave", "operator", "", http.StatusOK},
		{"bound trade without token", http.MethodPost, "/v1/calls", "", `{"Trade": "kiosks"}`, http.StatusForbidden},
		{"bound trade with its token", http.MethodPost, "/v1/calls", "kiosk", `{"Trade": "kiosks"}`, http.StatusOK},
		{"other trade with a bound token", http.MethodPost, "/v1/calls", "kiosk", `{"Trade": "others"}`, http.StatusForbidden},
		{"unbound trade without token", http.MethodPost, "/v1/calls", "", `{"Trade": "others"}`, http.StatusOK},
		{"health without token", http.MethodGet, "/healthz", "", "", http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			handler, _ := testHandler(tokens)
			request := httptest.NewRequest(test.method, test.path, bytes.NewReader([]byte(test.body)))
			if test.secret != "" {
				request.Header.Set("Authorization", "Bearer "+test.secret)
			}
			response := httptest.NewRecorder()
			handler.ServeHTTP(response, request)
			is.Equal(response.Code, test.status)
		})
	}
}

func TestBodyTooLarge(t *testing.T) {
	is := is.New(t)
	handler, backend := testHandler(nil)
	body, err := json.Marshal(requester.Call{RequestID: "r", Deadline: time.Now(), Payload: make([]byte, 4096)})
	is.NoErr(err)
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/v1/calls", bytes.NewReader(body)))
	is.Equal(response.Code, http.StatusRequestEntityTooLarge)
	is.Equal(backend.calls, 0) // the call does not reach the backend
}

// FuzzCall checks that no request body makes the call handler panic, and that
// every response body is JSON.
func FuzzCall(f *testing.F) {
	f.Add([]byte(`{"RequestID": "r", "Trade": "t", "Urgency": "Urgent", "Deadline": "2030-01-01T00:00:00Z"}`))
	f.Add([]byte(`{"Urgency": "Soon"}`))
	f.Add([]byte(`{"Payload": 7}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		handler, _ := testHandler(nil)
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/v1/calls", bytes.NewReader(body)))
		if !json.Valid(response.Body.Bytes()) {
			t.Fatalf("response with status %d is not JSON: %q", response.Code, response.Body)
		}
	})
}
