package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"kumquatstall/configurer"
	"kumquatstall/encoder"
	"kumquatstall/requester"
)

// statuses maps problem codes to HTTP status codes.
var statuses = []struct {
	code   encoder.ProblemCode
	status int
}{
	{encoder.ProblemInvalid, http.StatusBadRequest},
	{encoder.ProblemNotFound, http.StatusNotFound},
	{encoder.ProblemConflict, http.StatusConflict},
	{encoder.ProblemUnavailable, http.StatusServiceUnavailable},
	{encoder.ProblemUnknown, http.StatusGatewayTimeout},
	{encoder.ProblemUnauthorized, http.StatusUnauthorized},
	{encoder.ProblemForbidden, http.StatusForbidden},
	{encoder.ProblemTooLarge, http.StatusRequestEntityTooLarge},
}

// ProblemBody is the body of a request that failed. Current is the item in
// force where another operator was faster.
type ProblemBody struct {
	encoder.Problem
	Current any `json:",omitempty"`
}

func writeProblem(w http.ResponseWriter, problem encoder.Problem) { writeProblemWith(w, problem, nil) }

func writeProblemWith(w http.ResponseWriter, problem encoder.Problem, current any) {
	status := http.StatusInternalServerError
	for _, known := range statuses {
		if known.code == problem.Code {
			status = known.status
		}
	}
	writeJSON(w, status, ProblemBody{Problem: problem, Current: current})
}

// decodeProblem makes a Problem of an error of the JSON decoder.
func decodeProblem(err error) encoder.Problem {
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &tooLarge):
		return encoder.Problem{Code: encoder.ProblemTooLarge, Field: "body", Expected: "a smaller body"}
	case errors.As(err, &wrongType):
		return encoder.Problem{Code: encoder.ProblemInvalid, Field: wrongType.Field, Expected: "a value of type " + wrongType.Type.String()}
	}
	if field := requester.AsFieldError(err); field != nil {
		return encoder.Problem{Code: encoder.ProblemInvalid, Field: field.Field, Expected: field.Expected}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return encoder.Problem{Code: encoder.ProblemInvalid, Field: strings.Trim(name, `"`), Expected: "no such field"}
	}
	return encoder.Problem{Code: encoder.ProblemInvalid, Field: "body", Expected: "a JSON object: " + err.Error()}
}

// bearer returns the token that a request carries.
func (s *Server) bearer(r *http.Request) (configurer.Token, bool) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return configurer.Token{}, false
	}
	sum := sha256.Sum256([]byte(secret))
	digest := hex.EncodeToString(sum[:])
	for _, token := range s.settings.Tokens {
		if subtle.ConstantTimeCompare([]byte(digest), []byte(strings.ToLower(token.SHA256))) == 1 {
			return token, true
		}
	}
	return configurer.Token{}, false
}

// guard lets a request through whose token has at least a role. Without any
// tokens configured, everything is let through.
func (s *Server) guard(role configurer.Role, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if len(s.settings.Tokens) == 0 {
			handler(w, r)
			return
		}
		token, ok := s.bearer(r)
		if !ok {
			writeProblem(w, encoder.Problem{Code: encoder.ProblemUnauthorized, Field: "Authorization", Expected: "a bearer token that is configured"})
			return
		}
		if token.Role < role {
			writeProblem(w, encoder.Problem{Code: encoder.ProblemForbidden, Field: "Authorization", Expected: "a token with role " + role.String()})
			return
		}
		handler(w, r)
	}
}

// mayCallFor reports whether a request may act for a trade: a trade that some
// token is bound to may only be used with one of its tokens.
func (s *Server) mayCallFor(r *http.Request, trade requester.Trade) bool {
	token, ok := s.bearer(r)
	if ok && (token.Trade == trade || token.Trade == "" && token.Role == configurer.RoleOperate) {
		return true
	}
	if ok && token.Trade != "" {
		return false
	}
	for _, bound := range s.settings.Tokens {
		if bound.Trade == trade {
			return false
		}
	}
	return true
}

// operator names who sent a request, for the history.
func (s *Server) operator(r *http.Request) string {
	if token, ok := s.bearer(r); ok {
		return token.Name
	}
	return ""
}
