// Package linker maintains WebSocket links between entries and sends messages
// over them.
//
// There is at most one current link for each pair of entries. Either side may
// dial; a link that completes its handshake replaces an older one, since the
// older connection may be dead without having been closed. If both sides dial at
// the same time, the link that the entry with the lower ID dialled remains. In
// the handshake each side proves that it knows the shared key, by a keyed hash
// over both IDs and the other side's random challenge.
//
// A link has one goroutine that reads and one that writes. Its send queue is
// bounded; an overflow closes the link, so that the handler is notified by
// PeerDown that no reply to a pending request will arrive.
//
// A connection may go silent without being closed, in both directions or in one.
// So each side sends something now and then, and closes a link on which it receives
// nothing (file silence.go). With silence in one direction, the side that receives
// nothing closes the link, and then the other one receives nothing either.
package linker

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"kumquatstall/encoder"
	"kumquatstall/requester"
	"kumquatstall/retrier"
)

// Path is the URL path at which an entry accepts links.
const Path = "/v1/link"

// Handler receives the events of links. Its methods may be called from any
// goroutine; for one link, PeerUp is called before PeerMessage. PeerUp and
// PeerDown are called with the Linker's lock held, so they must not call the
// Linker.
type Handler interface {
	// PeerUp reports that a new link to the peer has become the current one. If
	// it replaces another link, PeerDown was called for that one before.
	PeerUp(peer encoder.PeerInfo, incarnation int64)
	// PeerDown reports that the current link to the peer has closed, and why.
	// What was sent over it may not have arrived.
	PeerDown(id requester.EntryID, why error)
	// PeerRefused reports a change in whether the address of a dialled peer
	// refuses connections.
	PeerRefused(id requester.EntryID, refused bool)
	// PeerMessage reports a message that was received on a link to an incarnation of
	// the peer. It may be called after PeerDown of that link, and then after PeerUp of
	// the next one.
	PeerMessage(from requester.EntryID, incarnation int64, message encoder.Message)
}

// Options configures a Linker.
type Options struct {
	Self        encoder.PeerInfo
	Incarnation int64
	// Key is the key shared by all entries. With an empty key the proofs of the
	// handshake authenticate nothing.
	Key []byte
	// TLS is the configuration for dialling; nil means plain TCP.
	TLS *tls.Config
	// DialImmediately makes the entry dial every peer without yielding to it
	// first. It is for peers that don't dial themselves.
	DialImmediately bool
	// WriteTimeout bounds the write of one message; exceeding it closes the
	// link. The default is 3 s.
	WriteTimeout time.Duration
}

// Limits and intervals of links. queueLength is the number of messages in the
// send queue of one link.
const (
	defaultWriteTimeout = 3 * time.Second
	handshakeTimeout    = 2 * time.Second
	queueLength         = 8192
	maxMessageBytes     = 32 << 20
	redialInterval      = 300 * time.Millisecond
	// yieldPeriod is how long the entry with the higher ID waits between its
	// attempts to dial, so that the other one dials first. A link that is younger
	// than this may be the result of a simultaneous dial.
	yieldPeriod    = 600 * time.Millisecond
	challengeBytes = 16
)

// Linker maintains the links of one entry.
type Linker struct {
	options Options
	handler Handler
	client  *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	done    chan struct{}

	mu      sync.Mutex
	links   map[requester.EntryID]*link
	targets map[requester.EntryID]*dialTarget
	closed  bool

	// BytesSent and BytesReceived count the bytes of encoded messages on all
	// links, without handshakes.
	BytesSent     atomic.Int64
	BytesReceived atomic.Int64
	// MessagesSent counts the messages sent on all links, without handshakes.
	MessagesSent atomic.Int64
}

// dialTarget is a peer to which dialLoop keeps a link open. refused is true if
// its address refused the last attempt to connect.
type dialTarget struct {
	info    encoder.PeerInfo
	refused bool
}

// New returns a Linker that reports its events to handler.
func New(options Options, handler Handler) *Linker {
	if options.WriteTimeout <= 0 {
		options.WriteTimeout = defaultWriteTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Linker{
		options: options,
		handler: handler,
		client:  &http.Client{Transport: &http.Transport{TLSClientConfig: options.TLS, DisableKeepAlives: true}},
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		links:   make(map[requester.EntryID]*link),
		targets: make(map[requester.EntryID]*dialTarget),
	}
	l.group.Go(l.watchSilence)
	return l
}

// Close closes all links and stops dialling. It does not wait; see Done.
func (l *Linker) Close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	go func() {
		l.group.Wait()
		close(l.done)
	}()
}

// Done returns a channel that is closed once Close was called and all
// goroutines have ended.
func (l *Linker) Done() <-chan struct{} { return l.done }

// Dial keeps links to the peers open from now on: it dials each peer whenever
// there is no link to it. If a peer is a dial target already, its next attempt
// uses the new address.
func (l *Linker) Dial(peers []encoder.PeerInfo) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, info := range peers {
		if info.EntryID == l.options.Self.EntryID || l.closed {
			continue
		}
		if existing, ok := l.targets[info.EntryID]; ok {
			existing.info = info
			continue
		}
		target := &dialTarget{info: info}
		l.targets[info.EntryID] = target
		l.group.Add(1)
		go func() {
			defer l.group.Done()
			l.dialLoop(info.EntryID, target)
		}()
	}
}

// StopDialing stops dialling a peer. An open link stays open.
func (l *Linker) StopDialing(id requester.EntryID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.targets, id)
}

// Send enqueues a message to a peer. Without a link, the message is dropped; if
// the queue is full, the link is closed.
func (l *Linker) Send(to requester.EntryID, message encoder.Message) {
	l.mu.Lock()
	current, ok := l.links[to]
	l.mu.Unlock()
	if !ok {
		return
	}
	select {
	case current.queue <- message:
	default:
		current.end(errQueueFull)
	}
}

// Disconnect closes the current link to a peer.
func (l *Linker) Disconnect(id requester.EntryID) {
	l.mu.Lock()
	current, ok := l.links[id]
	l.mu.Unlock()
	if ok {
		current.end(errDisconnected)
	}
}

// dialLoop dials a peer whenever there is no link to it, until the target is
// removed or the Linker is closed. The entry with the higher ID waits before each
// attempt and skips it if the peer has dialled meanwhile, so that the two rarely
// dial at the same time.
func (l *Linker) dialLoop(id requester.EntryID, target *dialTarget) {
	pause := time.Duration(0)
	yields := id < l.options.Self.EntryID && !l.options.DialImmediately
	if yields {
		pause = yieldPeriod
	}
	for {
		if !retrier.Sleep(l.ctx, pause) {
			return
		}
		pause = redialInterval
		if l.connected(id) {
			continue
		}
		if yields {
			if !retrier.Sleep(l.ctx, yieldPeriod-redialInterval) {
				return
			}
			if l.connected(id) {
				continue
			}
		}
		l.mu.Lock()
		active := l.targets[id] == target
		info := target.info
		l.mu.Unlock()
		if !active {
			return
		}
		err := l.dialOnce(info)
		l.setRefused(id, errors.Is(err, syscall.ECONNREFUSED))
	}
}

func (l *Linker) connected(id requester.EntryID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, connected := l.links[id]
	return connected
}

// setRefused records whether the last attempt to connect to a peer was refused
// and reports a change to the handler.
func (l *Linker) setRefused(id requester.EntryID, refused bool) {
	l.mu.Lock()
	target, ok := l.targets[id]
	changed := ok && target.refused != refused
	if ok {
		target.refused = refused
	}
	l.mu.Unlock()
	if changed {
		l.handler.PeerRefused(id, refused)
	}
}

func writeMessage(ctx context.Context, conn *websocket.Conn, message encoder.Message) error {
	data, err := encoder.Encode(message)
	if err != nil {
		return err
	}
	return errors.Wrapf(conn.Write(ctx, websocket.MessageBinary, data), "send %T", message)
}

// readMessage reads one message and fails unless it is of type T.
func readMessage[T encoder.Message](ctx context.Context, conn *websocket.Conn) (T, error) {
	var zero T
	_, reader, err := conn.Reader(ctx)
	if err != nil {
		return zero, errors.Wrap(err, "read message")
	}
	var data bytes.Buffer
	if _, err := io.Copy(&data, reader); err != nil {
		return zero, errors.Wrap(err, "read message")
	}
	message, err := encoder.Decode(data.Bytes())
	if err != nil {
		return zero, err
	}
	typed, ok := message.(T)
	if !ok {
		return zero, errors.Newf("got %T, expected %T", message, zero)
	}
	return typed, nil
}

// AddressOf returns the address and port to which a listener is bound.
func AddressOf(listener net.Listener) netip.AddrPort {
	if address, ok := listener.Addr().(*net.TCPAddr); ok {
		return address.AddrPort()
	}
	return netip.AddrPort{}
}
