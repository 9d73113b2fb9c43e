package server

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"kumquatstall/configurer"
	"kumquatstall/encoder"
	"kumquatstall/limiter"
	"kumquatstall/requester"
)

// statusCodes maps problem codes to HTTP status codes. The status of all other
// codes is 500.
var statusCodes = []struct {
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

// ProblemBody is the response body of a request that failed. If the Problem is a
// conflict of a configuration change, Current is the item that is in force.
type ProblemBody struct {
	encoder.Problem
	Current any `json:",omitempty"`
}

func writeProblem(w http.ResponseWriter, problem encoder.Problem) { writeProblemWith(w, problem, nil) }

func writeProblemWith(w http.ResponseWriter, problem encoder.Problem, current any) {
	status := http.StatusInternalServerError
	for _, mapping := range statusCodes {
		if mapping.code == problem.Code {
			status = mapping.status
		}
	}
	writeJSON(w, status, ProblemBody{Problem: problem, Current: current})
}

// tooLargeProblem says that a body is larger than the entry accepts.
var tooLargeProblem = encoder.Problem{Code: encoder.ProblemTooLarge, Field: "body", Expected: "a smaller body"}

// decodeProblem converts an error of the JSON decoder to a Problem. Its Field is
// body if the error concerns no single field.
func decodeProblem(err error) encoder.Problem {
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, limiter.ErrTooLarge):
		return tooLargeProblem
	case errors.Is(err, limiter.ErrBusy):
		return encoder.Problem{Code: encoder.ProblemUnavailable, Field: "body", Expected: "a small body while the entry reads many large ones"}
	case errors.As(err, &wrongType):
		return encoder.Problem{Code: encoder.ProblemInvalid, Field: cmp.Or(wrongType.Field, "body"), Expected: "a value of type " + wrongType.Type.String()}
	}
	if field := requester.AsFieldError(err); field != nil {
		return encoder.Problem{Code: encoder.ProblemInvalid, Field: field.Field, Expected: field.Expected}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return encoder.Problem{Code: encoder.ProblemInvalid, Field: cmp.Or(strings.Trim(name, `"`), `""`), Expected: "no such field"}
	}
	return encoder.Problem{Code: encoder.ProblemInvalid, Field: "body", Expected: "a JSON object: " + err.Error()}
}

// bearerToken returns the configured token whose secret the request carries.
func (s *Server) bearerToken(r *http.Request) (configurer.Token, bool) {
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

// requireRole returns a handler that rejects requests whose token does not have
// at least the given role. If no tokens are configured, all requests are
// accepted.
func (s *Server) requireRole(role configurer.Role, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if len(s.settings.Tokens) == 0 {
			handler(w, r)
			return
		}
		token, ok := s.bearerToken(r)
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

// authorizedForTrade reports whether a request may act for a trade. If any token
// is bound to the trade, the request needs one of these tokens, or a token with
// RoleOperate that is bound to no trade. If none is, the request needs no token,
// but a token that is bound to another trade is rejected.
func (s *Server) authorizedForTrade(r *http.Request, trade requester.Trade) bool {
	token, ok := s.bearerToken(r)
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

// operatorName returns the name of the request's token, which the configuration
// history records, or "" without a valid token.
func (s *Server) operatorName(r *http.Request) string {
	if token, ok := s.bearerToken(r); ok {
		return token.Name
	}
	return ""
}
