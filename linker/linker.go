// Package linker keeps WebSocket links between entries and carries messages
// over them.
//
// There is at most one current link for each pair of entries. Either side may
// dial; the newest link that completes its handshake replaces an older one,
// since an open connection may have gone silent. In the handshake each side
// proves that it knows the shared key, by a keyed hash over the other's
// random challenge and both names.
//
// A link has one goroutine that reads and one that writes. The queue of a
// link is bounded; one that runs full closes the link, so that whoever waits
// for an answer learns that none will come.
package linker

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
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
)

// Path is where a link is opened, below an entry's address.
const Path = "/v1/link"

// Handler is told what happens on links. Its methods may be called from any
// goroutine; for one link, PeerUp comes before its messages.
type Handler interface {
	PeerUp(peer encoder.PeerInfo, incarnation int64)
	PeerDown(id requester.EntryID)
	PeerRefused(id requester.EntryID, refused bool)
	PeerMessage(from requester.EntryID, message encoder.Message)
}

// Options configures a Linker.
type Options struct {
	Self        encoder.PeerInfo
	Incarnation int64
	// Key is shared by all entries; empty proves nothing.
	Key []byte
	// TLS, where not nil, is used to dial.
	TLS *tls.Config
	// DialImmediately dials without leaving it to the peer for a while; for
	// peers that don't dial themselves.
	DialImmediately bool
	// WriteTimeout ends a write that does not progress; default 3 s.
	WriteTimeout time.Duration
}

// Bounds and intervals of links.
const (
	defaultSilence   = 3 * time.Second
	handshakeTimeout = 2 * time.Second
	queueLength      = 8192
	maxMessage       = 32 << 20
	redialInterval   = 300 * time.Millisecond
	// yieldFor is how long the entry with the higher name leaves the
	// dialing to the other.
	yieldFor       = 600 * time.Millisecond
	challengeBytes = 16
)

// Linker keeps the links of one entry.
type Linker struct {
	options Options
	handler Handler
	client  *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	done    chan struct{}

	mu     sync.Mutex
	links  map[requester.EntryID]*link
	dials  map[requester.EntryID]*dial
	closed bool

	// BytesSent and BytesReceived count the payload of all links.
	BytesSent     atomic.Int64
	BytesReceived atomic.Int64
	// MessagesSent counts the messages of all links.
	MessagesSent atomic.Int64
}

// link is one open connection.
type link struct {
	peer     requester.EntryID
	dialer   requester.EntryID
	openedAt time.Time
	conn     *websocket.Conn
	queue    chan encoder.Message
	cancel   context.CancelFunc
}

// dial is the effort to reach a peer.
type dial struct {
	info    encoder.PeerInfo
	refused bool
}

// New returns a Linker that reports to handler.
func New(options Options, handler Handler) *Linker {
	if options.WriteTimeout <= 0 {
		options.WriteTimeout = defaultSilence
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Linker{
		options: options,
		handler: handler,
		client:  &http.Client{Transport: &http.Transport{TLSClientConfig: options.TLS, DisableKeepAlives: true}},
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		links:   make(map[requester.EntryID]*link),
		dials:   make(map[requester.EntryID]*dial),
	}
}

// Close closes all links.
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

// Done is closed when all goroutines have ended after Close.
func (l *Linker) Done() <-chan struct{} { return l.done }

// Dial keeps trying to reach the peers from now on.
func (l *Linker) Dial(peers []encoder.PeerInfo) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, info := range peers {
		if info.EntryID == l.options.Self.EntryID || l.closed {
			continue
		}
		if known, ok := l.dials[info.EntryID]; ok {
			known.info = info
			continue
		}
		effort := &dial{info: info}
		l.dials[info.EntryID] = effort
		l.group.Add(1)
		go func() {
			defer l.group.Done()
			l.dialLoop(info.EntryID, effort)
		}()
	}
}

// StopDialing ends the effort to reach a peer. An open link stays.
func (l *Linker) StopDialing(id requester.EntryID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.dials, id)
}

// Send queues a message to a peer. Without a link it is dropped.
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
		current.cancel()
	}
}

// Disconnect closes the link to a peer.
func (l *Linker) Disconnect(id requester.EntryID) {
	l.mu.Lock()
	current, ok := l.links[id]
	l.mu.Unlock()
	if ok {
		current.cancel()
	}
}

func (l *Linker) dialLoop(id requester.EntryID, effort *dial) {
	pause := time.Duration(0)
	yields := id < l.options.Self.EntryID && !l.options.DialImmediately
	if yields {
		pause = yieldFor
	}
	for {
		if !sleep(l.ctx, pause) {
			return
		}
		pause = redialInterval
		if l.linked(id) {
			continue
		}
		if yields {
			if !sleep(l.ctx, yieldFor-redialInterval) {
				return
			}
			if l.linked(id) {
				continue
			}
		}
		l.mu.Lock()
		wanted := l.dials[id] == effort
		info := effort.info
		l.mu.Unlock()
		if !wanted {
			return
		}
		err := l.dialOnce(info)
		l.noteRefused(id, errors.Is(err, syscall.ECONNREFUSED))
	}
}

func (l *Linker) linked(id requester.EntryID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, linked := l.links[id]
	return linked
}

// noteRefused reports a change in whether a peer refuses connections.
func (l *Linker) noteRefused(id requester.EntryID, refused bool) {
	l.mu.Lock()
	known, wanted := l.dials[id]
	changed := wanted && known.refused != refused
	if wanted {
		known.refused = refused
	}
	l.mu.Unlock()
	if changed {
		l.handler.PeerRefused(id, refused)
	}
}

// dialOnce opens a link and starts it.
func (l *Linker) dialOnce(info encoder.PeerInfo) error {
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	scheme := "ws"
	if l.options.TLS != nil {
		scheme = "wss"
	}
	conn, _, err := websocket.Dial(ctx, scheme+"://"+info.Address.String()+Path, &websocket.DialOptions{HTTPClient: l.client})
	if err != nil {
		return errors.Wrapf(err, "dial %s at %s", info.EntryID, info.Address)
	}
	hello, err := l.handshake(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return errors.Wrapf(err, "handshake with %s at %s", info.EntryID, info.Address)
	}
	l.adopt(conn, hello, l.options.Self.EntryID)
	return nil
}

// ServeHTTP accepts a link.
func (l *Linker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	hello, err := l.handshake(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return
	}
	l.adopt(conn, hello, hello.EntryID)
}

// handshake exchanges names and proofs.
func (l *Linker) handshake(ctx context.Context, conn *websocket.Conn) (*encoder.Hello, error) {
	conn.SetReadLimit(maxMessage)
	challenge := make([]byte, challengeBytes)
	if _, err := rand.Read(challenge); err != nil {
		return nil, errors.Wrap(err, "draw challenge")
	}
	self := l.options.Self
	own := &encoder.Hello{
		EntryID:     self.EntryID,
		DataCentre:  self.DataCentre,
		Incarnation: l.options.Incarnation,
		Address:     self.Address,
		Challenge:   challenge,
	}
	if err := writeMessage(ctx, conn, own); err != nil {
		return nil, err
	}
	hello, err := readAs[*encoder.Hello](ctx, conn)
	if err != nil {
		return nil, err
	}
	if err := writeMessage(ctx, conn, &encoder.Proof{MAC: l.prove(self.EntryID, hello.EntryID, hello.Challenge)}); err != nil {
		return nil, err
	}
	proof, err := readAs[*encoder.Proof](ctx, conn)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(proof.MAC, l.prove(hello.EntryID, self.EntryID, challenge)) {
		return nil, errors.Newf("%s does not know the shared key", hello.EntryID)
	}
	if hello.EntryID == self.EntryID || hello.EntryID == "" {
		return nil, errors.Newf("peer has the name %q", hello.EntryID)
	}
	return hello, nil
}

// prove is the proof of from towards to.
func (l *Linker) prove(from, to requester.EntryID, challenge []byte) []byte {
	mac := hmac.New(sha256.New, l.options.Key)
	mac.Write([]byte(from))
	mac.Write([]byte{0})
	mac.Write([]byte(to))
	mac.Write([]byte{0})
	mac.Write(challenge)
	return mac.Sum(nil)
}

// adopt makes a connection the current link to its peer. Where both sides have
// dialed at the same time, the link of the one with the lower name stays.
func (l *Linker) adopt(conn *websocket.Conn, hello *encoder.Hello, dialer requester.EntryID) {
	ctx, cancel := context.WithCancel(l.ctx)
	current := &link{
		peer:     hello.EntryID,
		dialer:   dialer,
		openedAt: time.Now(),
		conn:     conn,
		queue:    make(chan encoder.Message, queueLength),
		cancel:   cancel,
	}
	l.mu.Lock()
	old := l.links[hello.EntryID]
	crossed := old != nil && old.dialer < dialer && time.Since(old.openedAt) < yieldFor
	if l.closed || crossed {
		l.mu.Unlock()
		cancel()
		_ = conn.CloseNow()
		return
	}
	l.links[hello.EntryID] = current
	l.group.Add(2)
	// The handler learns of the link before anyone can replace it again.
	l.handler.PeerUp(encoder.PeerInfo{EntryID: hello.EntryID, DataCentre: hello.DataCentre, Address: hello.Address}, hello.Incarnation)
	l.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	go func() {
		defer l.group.Done()
		l.writeLoop(ctx, current)
	}()
	go func() {
		defer l.group.Done()
		l.readLoop(ctx, current)
		l.close(current)
	}()
}

func (l *Linker) close(current *link) {
	current.cancel()
	_ = current.conn.CloseNow()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[current.peer] == current {
		delete(l.links, current.peer)
		l.handler.PeerDown(current.peer)
	}
}

func (l *Linker) readLoop(ctx context.Context, current *link) {
	for {
		_, data, err := current.conn.Read(ctx)
		if err != nil {
			return
		}
		l.BytesReceived.Add(int64(len(data)))
		message, err := encoder.Decode(data)
		if err != nil {
			return
		}
		l.handler.PeerMessage(current.peer, message)
	}
}

func (l *Linker) writeLoop(ctx context.Context, current *link) {
	defer current.cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-current.queue:
			data, err := encoder.Encode(message)
			if err != nil {
				return
			}
			writeCtx, cancel := context.WithTimeout(ctx, l.options.WriteTimeout)
			err = current.conn.Write(writeCtx, websocket.MessageBinary, data)
			cancel()
			if err != nil {
				return
			}
			l.BytesSent.Add(int64(len(data)))
			l.MessagesSent.Add(1)
		}
	}
}

func writeMessage(ctx context.Context, conn *websocket.Conn, message encoder.Message) error {
	data, err := encoder.Encode(message)
	if err != nil {
		return err
	}
	return errors.Wrapf(conn.Write(ctx, websocket.MessageBinary, data), "send %T", message)
}

// readAs reads one message that has to be of type T.
func readAs[T encoder.Message](ctx context.Context, conn *websocket.Conn) (T, error) {
	var none T
	_, reader, err := conn.Reader(ctx)
	if err != nil {
		return none, errors.Wrap(err, "read message")
	}
	var data bytes.Buffer
	if _, err := io.Copy(&data, reader); err != nil {
		return none, errors.Wrap(err, "read message")
	}
	message, err := encoder.Decode(data.Bytes())
	if err != nil {
		return none, err
	}
	wanted, ok := message.(T)
	if !ok {
		return none, errors.Newf("got %T, expected %T", message, none)
	}
	return wanted, nil
}

// sleep reports false when the context ended first.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// AddressOf returns the address and port that a listener is bound to.
func AddressOf(listener net.Listener) netip.AddrPort {
	if address, ok := listener.Addr().(*net.TCPAddr); ok {
		return address.AddrPort()
	}
	return netip.AddrPort{}
}
