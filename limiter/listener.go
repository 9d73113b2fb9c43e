package limiter

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"strings"
)

// listener is a listener with a limited number of connections.
type listener struct {
	net.Listener
	guard *Guard
	limit int

	// The fields below are guarded by the Guard's mutex.
	open    int
	waiting list.List // of *conn, in the order in which they began to wait
	closed  bool
}

// Listen returns a listener that has at most the given number of connections open. At
// the limit, a new connection takes the place of the one that has waited longest, or
// waits itself until one ends if no connection waits. The server must be one to which
// Attach was applied.
func (g *Guard) Listen(inner net.Listener, connections int) net.Listener {
	return &listener{Listener: inner, guard: g, limit: connections}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l, gone: make(chan struct{}), inHeaders: true}
	if !l.admit(c) {
		_ = accepted.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}

// admit makes room for a connection. It returns false if the listener has been closed.
func (l *listener) admit(c *conn) bool {
	g := l.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	for l.open >= l.limit && !l.closed {
		front := l.waiting.Front()
		if front == nil {
			g.changed.Wait()
			continue
		}
		victim, _ := front.Value.(*conn)
		victim.release()
		g.metrics.ConnectionsClosed++
		g.mu.Unlock()
		_ = victim.Conn.Close()
		g.mu.Lock()
	}
	if l.closed {
		return false
	}
	l.open++
	g.metrics.Connections++
	c.wait()
	return true
}

// Close implements net.Listener. The connections stay open.
func (l *listener) Close() error {
	l.guard.mu.Lock()
	l.closed = true
	l.guard.changed.Broadcast()
	l.guard.mu.Unlock()
	return l.Listener.Close()
}

// conn is a connection that counts towards the limit of its listener. While it waits,
// it may be closed for a new one. It waits until its request has been read, and again
// after the response.
type conn struct {
	net.Conn
	listener *listener
	// gone is closed when the connection no longer counts.
	gone chan struct{}

	// The fields below are guarded by the Guard's mutex.
	//
	// charged is what the request holds, including what its allowance covers.
	charged int64
	// inHeaders is true while the headers of a request are expected or read, handling
	// while its handler runs.
	inHeaders, handling bool

	place    *list.Element // in waiting; nil while it does not wait
	hijacked bool
	released bool
}

// Close implements net.Conn. What a handler holds is given back when it returns.
func (c *conn) Close() error {
	c.locked(func() {
		c.release()
		c.inHeaders = false
		if !c.handling {
			c.giveBack(c.charged)
		}
	})
	return c.Conn.Close()
}

// CloseWrite shuts down the sending side, if the connection can do that. Package http
// does so before it closes a connection of which it has not read all.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// release ends that the connection counts. The caller holds the Guard's mutex.
func (c *conn) release() {
	if c.released {
		return
	}
	c.proceed()
	c.released = true
	close(c.gone)
	c.listener.open--
	c.listener.guard.metrics.Connections--
	c.listener.guard.changed.Broadcast()
}

// wait lets the connection be closed for a new one. The caller holds the Guard's mutex.
func (c *conn) wait() {
	if c.released || c.place != nil {
		return
	}
	c.place = c.listener.waiting.PushBack(c)
	c.listener.guard.changed.Broadcast()
}

// proceed ends wait. The caller holds the Guard's mutex.
func (c *conn) proceed() {
	if c.place != nil {
		c.listener.waiting.Remove(c.place)
		c.place = nil
	}
}

// locked calls a function with the Guard's mutex held.
func (c *conn) locked(function func()) {
	c.listener.guard.mu.Lock()
	defer c.listener.guard.mu.Unlock()
	function()
}

type connKey struct{}

// connOf returns the connection of a request, or nil if it did not come through a
// listener of a Guard.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Attach prepares a server for listeners of a Guard. It must be called once, after the
// server's Handler was set and before the server serves.
func Attach(server *http.Server) {
	server.Handler = guarded(server.Handler)
	server.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, raw)
	}
	server.ConnState = func(raw net.Conn, state http.ConnState) {
		c, ok := raw.(*conn)
		switch {
		case !ok:
		case state == http.StateHijacked:
			c.locked(func() { c.hijacked = true })
		case state == http.StateIdle: // the response has been sent
			c.locked(func() {
				c.inHeaders = true
				c.wait()
			})
		}
	}
}

// OpensLink reports whether a request is one that opens a WebSocket, which has no body.
// A request that only has the header Upgrade is one like all others.
func OpensLink(r *http.Request) bool {
	return r.Method == http.MethodGet && r.ContentLength == 0 && strings.EqualFold(r.Header.Get("Upgrade"), "websocket")
}

// guarded returns a handler that keeps a connection from being closed from when its
// request has been read until the response has been sent. A connection that is upgraded
// waits until its handler has returned, which is after its peer has said who it is;
// then it never waits again.
func guarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.locked(func() { c.beginHandling(r) })
		defer c.locked(c.endHandling)
		if OpensLink(r) {
			c.locked(c.wait)
			next.ServeHTTP(w, r)
			c.locked(func() {
				if c.hijacked {
					c.proceed()
				}
			})
			return
		}
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		c.locked(c.wait)
		incoming := &body{ReadCloser: r.Body, conn: c, writer: w, size: r.ContentLength}
		r = r.WithContext(context.WithValue(r.Context(), bodyKey{}, incoming))
		r.Body = incoming
		next.ServeHTTP(w, r)
		incoming.giveBack(incoming.charged)
		incoming.abandon()
	})
}
