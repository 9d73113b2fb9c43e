package limiter

import (
	"bytes"
	"net"
	"net/http"
)

// headerLineBytes is what each line of a request's headers holds beside its text: its
// place in the map of headers.
const headerLineBytes = 128

// Read implements net.Conn. What arrives while the headers of a request are read takes
// memory before package http reads it into headers. Very many short lines hold many times
// their size. The connection is closed if nothing is left.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if refusal := c.chargeHeaders(p[:n]); refusal != nil {
			// Package http doesn't respond after an error of this type.
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: refusal}
		}
	}
	return n, err
}

func (c *conn) chargeHeaders(data []byte) error {
	cost := int64(len(data) + bytes.Count(data, []byte{'\n'})*headerLineBytes)
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.inHeaders {
		return nil
	}
	err := c.charge(cost)
	if err != nil {
		g.metrics.HeadersRefused++
	}
	return err
}

// beginHandling is called once the headers of a request have been read. What arrived
// together with them is the beginning of the body, which is charged when it is read. The
// caller holds the Guard's mutex.
func (c *conn) beginHandling(r *http.Request) {
	c.inHeaders, c.handling = false, true
	c.giveBack(max(0, c.charged-headerCost(r.Header)))
	c.proceed()
}

// endHandling is called when the handler has returned. The caller holds the Guard's
// mutex.
func (c *conn) endHandling() {
	c.handling = false
	c.giveBack(c.charged)
}

// headerCost returns what headers hold.
func headerCost(header http.Header) int64 {
	cost := 0
	for name, values := range header {
		for _, value := range values {
			cost += len(name) + len(value) + headerLineBytes
		}
	}
	return int64(cost)
}
