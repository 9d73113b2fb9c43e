package server

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"kumquatstall/configurer"
	"kumquatstall/limiter"
)

// TestRefusedBodyReachesNobody checks the answers to calls and changes whose body was
// not read for what other requests hold: 503 with Retry-After, 413 for one that can never
// be read, or is announced as too large; and that none of them reaches the backend.
func TestRefusedBodyReachesNobody(t *testing.T) {
	is := is.New(t)
	backend := &fakeBackend{}
	s := &Server{settings: &configurer.Settings{Limits: configurer.Limits{MaxBodyBytes: 100}}, backend: backend}
	answer := func(request *http.Request) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		s.routes(http.NotFoundHandler()).ServeHTTP(recorder, request)
		return recorder
	}
	for _, target := range []struct{ method, path string }{{http.MethodPost, "/v1/calls"}, {http.MethodPost, "/v1/jobs"}, {http.MethodPut, "/v1/profiles/night"}} {
		busy := answer(httptest.NewRequest(target.method, target.path, iotest.ErrReader(limiter.ErrBusy)))
		is.Equal(busy.Code, http.StatusServiceUnavailable)
		is.Equal(busy.Header().Get("Retry-After"), "1")
		is.True(strings.Contains(busy.Body.String(), `"Code":"Unavailable"`))
		never := answer(httptest.NewRequest(target.method, target.path, iotest.ErrReader(limiter.ErrTooLarge)))
		is.Equal(never.Code, http.StatusRequestEntityTooLarge)
		announced := answer(httptest.NewRequest(target.method, target.path, strings.NewReader(strings.Repeat(" ", 101))))
		is.Equal(announced.Code, http.StatusRequestEntityTooLarge)
	}
	is.Equal(backend.calls+backend.changes, 0)
}
