package linker

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"kumquatstall/encoder"
	"kumquatstall/requester"
)

// Both sides of a new connection prove that they know the shared secret before either
// sends anything else.

// dialOnce tries once to open a link to a peer.
func (l *Linker) dialOnce(info encoder.PeerInfo) error {
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	scheme := "ws"
	if l.options.TLS != nil {
		scheme = "wss"
	}
	signs := new(lifeSigns)
	conn, _, err := websocket.Dial(ctx, scheme+"://"+info.Address.String()+Path, &websocket.DialOptions{
		HTTPClient: l.client, OnPingReceived: signs.onPing, OnPongReceived: signs.onPong,
	})
	if err != nil {
		return errors.Wrapf(err, "dial %s at %s", info.EntryID, info.Address)
	}
	hello, err := l.handshake(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return errors.Wrapf(err, "handshake with %s at %s", info.EntryID, info.Address)
	}
	l.register(conn, signs, hello, l.options.Self.EntryID)
	return nil
}

// ServeHTTP accepts a link from another entry.
func (l *Linker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	signs := new(lifeSigns)
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{OnPingReceived: signs.onPing, OnPongReceived: signs.onPong})
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
	l.register(conn, signs, hello, hello.EntryID)
}

// handshake exchanges Hello and Proof messages and returns the peer's Hello once
// its proof is verified.
func (l *Linker) handshake(ctx context.Context, conn *websocket.Conn) (*encoder.Hello, error) {
	conn.SetReadLimit(maxMessageBytes)
	challenge := make([]byte, challengeBytes)
	if _, err := rand.Read(challenge); err != nil {
		return nil, errors.Wrap(err, "generate challenge")
	}
	self := l.options.Self
	ownHello := &encoder.Hello{
		EntryID:     self.EntryID,
		DataCentre:  self.DataCentre,
		Incarnation: l.options.Incarnation,
		Address:     self.Address,
		Challenge:   challenge,
	}
	if err := writeMessage(ctx, conn, ownHello); err != nil {
		return nil, err
	}
	hello, err := readMessage[*encoder.Hello](ctx, conn)
	if err != nil {
		return nil, err
	}
	if err := writeMessage(ctx, conn, &encoder.Proof{MAC: l.proofMAC(self.EntryID, hello.EntryID, hello.Challenge)}); err != nil {
		return nil, err
	}
	proof, err := readMessage[*encoder.Proof](ctx, conn)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(proof.MAC, l.proofMAC(hello.EntryID, self.EntryID, challenge)) {
		return nil, errors.Newf("verify proof of %s: got a MAC that was not made with the shared key", hello.EntryID)
	}
	if hello.EntryID == self.EntryID || hello.EntryID == "" {
		return nil, errors.Newf("verify hello: got entry ID %q, expected one that is not empty and not this entry's", hello.EntryID)
	}
	return hello, nil
}

// proofMAC returns the MAC with which one entry (from) proves to another (to) that
// it knows the shared key. The challenge is the one that to has sent.
func (l *Linker) proofMAC(from, to requester.EntryID, challenge []byte) []byte {
	mac := hmac.New(sha256.New, l.options.Key)
	mac.Write([]byte(from))
	mac.Write([]byte{0})
	mac.Write([]byte(to))
	mac.Write([]byte{0})
	mac.Write(challenge)
	return mac.Sum(nil)
}

// register makes a connection the current link to its peer, starts its goroutines
// and closes the previous link. But if the previous link is younger than
// yieldPeriod and was dialled by the entry with the lower ID, both sides have
// dialled at the same time, and register closes the new connection instead. It does too if
// the previous link is to a later incarnation: what a dead one had sent for the handshake may
// be read after its successor has linked.
func (l *Linker) register(conn *websocket.Conn, signs *lifeSigns, hello *encoder.Hello, dialer requester.EntryID) {
	signs.onReceived() // the handshake
	ctx, cancel := context.WithCancelCause(l.ctx)
	current := &link{
		peer:        hello.EntryID,
		incarnation: hello.Incarnation,
		dialer:      dialer,
		openedAt:    time.Now(),
		conn:        conn,
		queue:       make(chan encoder.Message, queueLength),
		cancel:      cancel,
		signs:       signs,
	}
	l.mu.Lock()
	previous := l.links[hello.EntryID]
	simultaneous := previous != nil && previous.dialer < dialer && time.Since(previous.openedAt) < yieldPeriod
	outlived := previous != nil && hello.Incarnation < previous.incarnation
	if l.closed || simultaneous || outlived {
		l.mu.Unlock()
		cancel(errReplaced)
		_ = conn.CloseNow()
		return
	}
	l.links[hello.EntryID] = current
	l.group.Add(2)
	if previous != nil {
		previous.end(errReplaced)
		l.handler.PeerDown(hello.EntryID, errReplaced)
	}
	// PeerUp is called under the lock, so that the handler is notified before
	// another connection can replace the link.
	l.handler.PeerUp(encoder.PeerInfo{EntryID: hello.EntryID, DataCentre: hello.DataCentre, Address: hello.Address}, hello.Incarnation)
	l.mu.Unlock()
	go func() {
		defer l.group.Done()
		l.writeLoop(ctx, current)
	}()
	go func() {
		defer l.group.Done()
		l.readLoop(ctx, current)
		l.close(ctx, current)
	}()
}
