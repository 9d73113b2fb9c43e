package linker

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"kumquatstall/encoder"
	"kumquatstall/requester"
)

// Reasons for which this side closes a link.
var (
	errQueueFull    = errors.New("the send queue is full")
	errDisconnected = errors.New("this entry closed the link")
	errReplaced     = errors.New("a newer link replaces it")
	errSilent       = errors.New("nothing was received, also no answer to a ping")
)

// link is an open connection whose handshake is complete.
type link struct {
	peer requester.EntryID
	// incarnation is that of the peer.
	incarnation int64
	// dialer is the entry that opened the connection.
	dialer   requester.EntryID
	openedAt time.Time
	conn     *websocket.Conn
	queue    chan encoder.Message
	// cancel ends both goroutines, which close the connection; see end.
	cancel context.CancelCauseFunc
	signs  *lifeSigns
	// sending and receiving belong to watchSilence.
	sending, receiving idle
}

// end closes the link. The first reason counts.
func (c *link) end(why error) { c.cancel(why) }

// close closes a link and, if it is still the current one, reports that the
// peer is disconnected, and why.
func (l *Linker) close(ctx context.Context, current *link) {
	_ = current.conn.CloseNow()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[current.peer] == current {
		delete(l.links, current.peer)
		l.handler.PeerDown(current.peer, context.Cause(ctx))
	}
}

// readLoop receives messages until the link ends.
func (l *Linker) readLoop(ctx context.Context, current *link) {
	for {
		data, err := current.read(ctx)
		if err != nil {
			current.end(err)
			return
		}
		l.BytesReceived.Add(int64(len(data)))
		message, err := encoder.Decode(data)
		if err != nil {
			current.end(err)
			return
		}
		l.handler.PeerMessage(current.peer, current.incarnation, message)
	}
}

// read receives one message. Every part of it is a sign of life, so that a large
// message over a slow network does not look like silence.
func (c *link) read(ctx context.Context) ([]byte, error) {
	_, reader, err := c.conn.Reader(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "receive message")
	}
	c.signs.onReceived()
	var data bytes.Buffer
	if _, err := io.Copy(&data, signsReader{reader, c.signs}); err != nil {
		return nil, errors.Wrap(err, "receive message")
	}
	return data.Bytes(), nil
}

// signsReader records that bytes are received.
type signsReader struct {
	io.Reader
	signs *lifeSigns
}

func (r signsReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	if n > 0 {
		r.signs.onReceived()
	}
	return n, err
}

// writeLoop sends the messages in the queue until the link ends.
func (l *Linker) writeLoop(ctx context.Context, current *link) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-current.queue:
			data, err := encoder.Encode(message)
			if err != nil {
				current.end(err)
				return
			}
			current.signs.writing.Store(true)
			writeCtx, cancel := context.WithTimeout(ctx, l.options.WriteTimeout)
			err = current.conn.Write(writeCtx, websocket.MessageBinary, data)
			cancel()
			current.signs.writing.Store(false)
			current.signs.sent.Add(1)
			if err != nil {
				current.end(errors.Wrap(err, "send message"))
				return
			}
			l.BytesSent.Add(int64(len(data)))
			l.MessagesSent.Add(1)
		}
	}
}
