package server

import (
	"io"
	"net/http"
	"time"

	"kumquatstall/limiter"
)

// transferTimeout bounds the reading of a request's body, and each write of a
// response. Both are small, and a caller sends a body along with the headers.
const transferTimeout = 10 * time.Second

// BoundTransfers returns a handler that bounds the time in which the bodies of requests
// have to arrive, and responses have to leave. A caller's connection may go silent in
// the middle of either, and nothing else would show it. Between the two there is no
// bound, so that a request may take as long as its caller waits.
func BoundTransfers(next http.Handler) http.Handler { return boundTransfers(next, transferTimeout) }

func boundTransfers(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		// The deadline for the last response on this connection. A writer without
		// a connection, as in tests, has none.
		if limiter.OpensLink(r) || controller.SetWriteDeadline(time.Time{}) != nil {
			next.ServeHTTP(w, r)
			return
		}
		if r.ContentLength != 0 {
			// An error means that the connection is closed.
			_ = controller.SetReadDeadline(time.Now().Add(timeout))
			r.Body = &boundBody{ReadCloser: r.Body, controller: controller}
		}
		next.ServeHTTP(&boundWriter{ResponseWriter: w, controller: controller, timeout: timeout}, r)
	})
}

// boundWriter bounds each write of a response.
type boundWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

// Write implements http.ResponseWriter.
func (w *boundWriter) Write(p []byte) (int, error) {
	// An error means that the connection is closed.
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer for http.ResponseController.
func (w *boundWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

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
