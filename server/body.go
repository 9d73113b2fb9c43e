package server

import (
	"io"
	"net/http"
	"time"
)

// bodyTimeout bounds the reading of a request's body. A body is small, and a caller
// sends it along with the headers.
const bodyTimeout = 10 * time.Second

// BoundBodies returns a handler that bounds the time in which the bodies of requests
// have to arrive. A caller's connection may go silent in the middle of a body, and
// nothing else would show it. Once a body has arrived there is no bound, so that a
// request may take as long as its caller waits.
func BoundBodies(next http.Handler) http.Handler { return boundBodies(next, bodyTimeout) }

func boundBodies(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			controller := http.NewResponseController(w)
			// A writer without a connection, as in tests, has no deadlines.
			if err := controller.SetReadDeadline(time.Now().Add(timeout)); err == nil {
				r.Body = &boundBody{ReadCloser: r.Body, controller: controller}
			}
		}
		next.ServeHTTP(w, r)
	})
}

// boundBody ends the read deadline of its connection once the body has been read.
// Otherwise it would also end the request.
type boundBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read implements io.Reader.
func (b *boundBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		// An error means that the connection is closed.
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}
