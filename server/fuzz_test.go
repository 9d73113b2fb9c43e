package server

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"kumquatstall/configurer"
)

// FuzzChange checks that no body of a job, a profile, a trade or a service makes a
// handler panic, that each is refused or taken, and that each refusal names a field.
func FuzzChange(f *testing.F) {
	for _, body := range []string{
		`{"JobID":"j","Trade":"t","Kind":"k","Shape":"Batch","Urgency":"Normal","Tasks":1,"Need":{"MilliCores":1,"MemoryMB":1}}`,
		`{"JobID":"j","Trade":"t","Kind":"k","Shape":"Batch","Urgency":"Normal","Tasks":1,"Need":{"MilliCores":9223372036854775807,"MemoryMB":1e300}}`,
		`{"Tasks":"1"}`, strings.Repeat("[", 12_000), `null`, `{"BreakerMillis":9223372036854775807}`, ``,
	} {
		f.Add(uint8(0), []byte(body))
		f.Add(uint8(1), []byte(body))
	}
	targets := []struct{ method, path string }{
		{http.MethodPost, "/v1/jobs"}, {http.MethodPut, "/v1/profiles/p"}, {http.MethodPut, "/v1/trades/t"}, {http.MethodPut, "/v1/services/s"},
	}
	f.Fuzz(func(t *testing.T, number uint8, body []byte) {
		target := targets[int(number)%len(targets)]
		handler, _ := testHandler([]configurer.Token{{SHA256: digest("operator"), Role: configurer.RoleOperate, Name: "o"}})
		request := httptest.NewRequest(target.method, target.path, bytes.NewReader(body))
		request.Header.Set("Authorization", "Bearer operator")
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		if !json.Valid(response.Body.Bytes()) {
			t.Fatalf("response with status %d is not JSON: %q", response.Code, response.Body)
		}
		switch response.Code {
		case http.StatusOK, http.StatusCreated:
		case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
			var problem struct{ Field, Expected string }
			if err := json.Unmarshal(response.Body.Bytes(), &problem); err != nil || problem.Expected == "" || problem.Field == "" {
				t.Errorf("got %q with status %d, expected a field and what was expected", response.Body, response.Code)
			}
		default:
			t.Errorf("got status %d: %q", response.Code, response.Body)
		}
	})
}
