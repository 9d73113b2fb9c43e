package limiter

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// decodeFactor is how many times its size a body holds until it is decoded: a buffer,
// which doubles while it grows if the size is not known before, and what it is decoded
// into.
const decodeFactor = 3

// lingerTime is how long a connection stays open after the answer to a request whose
// body was not read. To close it at once would reset it, and the answer could be lost.
const lingerTime = 500 * time.Millisecond

// body is the body of a request. It takes memory before it is read: for all of it at
// the first read if its size is known, and else for each part. Its connection waits
// until it has been read.
type body struct {
	io.ReadCloser
	conn   *conn
	writer http.ResponseWriter
	// size is the size that the request announces; -1 if it does not.
	size int64
	// charged is what the body holds; it does not grow before it is read.
	charged int64
	// read is the number of bytes that were read.
	read int64
	// ended is true once the body has been read to its end, or is not to be read on.
	ended bool
	// refusal is why the body is not read.
	refusal error
}

// Read implements io.Reader. The error is ErrBusy or ErrTooLarge if the body must not
// be read.
func (b *body) Read(p []byte) (int, error) {
	if err := b.reserve(int64(len(p))); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if b.size < 0 {
		b.giveBack(b.charged - decodeFactor*b.read)
	}
	if err == io.EOF {
		b.proceed()
	}
	return n, err
}

// reserve takes memory for the next read, which is of at most count bytes, unless the
// body has been refused before.
func (b *body) reserve(count int64) error {
	if b.refusal == nil {
		b.refusal = b.take(count)
	}
	if b.refusal != nil {
		b.writer.Header().Set("Connection", "close")
	}
	return b.refusal
}

// take takes memory for the next read, which is of at most count bytes.
func (b *body) take(count int64) error {
	needed := decodeFactor * (b.read + count)
	if b.size >= 0 {
		needed = decodeFactor * b.size
	}
	if needed <= b.charged {
		return nil
	}
	g := b.conn.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := b.conn.charge(needed - b.charged); err != nil {
		g.metrics.BodiesRefused++
		return err
	}
	b.charged = needed
	return nil
}

func (b *body) giveBack(count int64) {
	b.conn.locked(func() { b.conn.giveBack(count) })
	b.charged -= count
}

func (b *body) proceed() {
	b.ended = true
	b.conn.locked(b.conn.proceed)
}

// abandon is called after the handler. If the body has not been read to its end, abandon
// sends the response and lets the connection wait; a connection whose body was refused
// is closed, and the rest of the body is not read.
func (b *body) abandon() {
	if b.ended {
		return
	}
	controller := http.NewResponseController(b.writer)
	// Errors mean that the connection is closed.
	_ = controller.Flush()
	b.conn.locked(b.conn.wait)
	if b.refusal == nil {
		return
	}
	_ = b.conn.CloseWrite()
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.conn.gone:
	}
	_ = controller.SetReadDeadline(time.Now())
}

// Refused reports whether an error of reading a body says that it was not read for the
// memory that requests hold. For ErrBusy the client may try again.
func Refused(err error) bool { return errors.Is(err, ErrBusy) || errors.Is(err, ErrTooLarge) }

// Reserve takes the memory for the whole body of a request, if its size is known, before
// the handler creates a buffer of that size.
func Reserve(r *http.Request) error {
	b, _ := r.Context().Value(bodyKey{}).(*body)
	if b == nil {
		return nil
	}
	return b.reserve(0)
}

// Decoded is called once the body of a request has been decoded. From then on it holds
// only what it was decoded into, and its connection is not closed for a new one.
func Decoded(r *http.Request) {
	b, _ := r.Context().Value(bodyKey{}).(*body)
	if b == nil {
		return
	}
	b.proceed()
	b.giveBack(max(0, b.charged-b.read))
}

type bodyKey struct{}
