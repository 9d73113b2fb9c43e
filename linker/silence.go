package linker

import (
	"context"
	"sync/atomic"
	"time"

	"kumquatstall/requester"
)

// Each side of a link sees to it that the other one hears something, and requires
// the same of it: a side that has sent nothing for pingRounds sends a ping, and one
// that has received nothing for closeRounds closes the link. So a side does not need
// an answer to what it sends, which may wait behind a large message of its own. A side
// that has received nothing for pingRounds sends a ping as well, as entries of earlier
// versions only answer.
//
// The watch counts its own rounds and not the time that has passed: if this process
// was paused, one round passes, in which what has arrived meanwhile is read.
const (
	// silenceRound is the interval between rounds of the watch.
	silenceRound = 200 * time.Millisecond
	// pingRounds is after how many rounds in which nothing was sent or nothing was
	// received a ping is sent.
	pingRounds = 2
	// closeRounds is after how many rounds in which nothing was received the link is
	// closed: two pings of the other side may be late or, after the first one here,
	// its answer may take 0.8 s.
	closeRounds = 6
)

// lifeSigns counts what was sent and received on a link: bytes of messages, pings and
// pongs.
type lifeSigns struct {
	sent, received atomic.Int64
	// receivedAt is when bytes were last received, in Unix nanoseconds.
	receivedAt atomic.Int64
	// writing is true while a message is being written, also a large one that takes
	// long: it is a sign of life until it has been sent.
	writing atomic.Bool
}

// onReceived records that bytes were received.
func (s *lifeSigns) onReceived() {
	s.received.Add(1)
	s.receivedAt.Store(time.Now().UnixNano())
}

// onPing records a ping and returns whether to answer it. While a message is being
// written, the answer would wait for that, and what arrives would wait for the
// answer.
func (s *lifeSigns) onPing(context.Context, []byte) bool {
	s.onReceived()
	if s.writing.Load() {
		return false
	}
	s.sent.Add(1)
	return true
}

func (s *lifeSigns) onPong(context.Context, []byte) { s.onReceived() }

// idle counts the rounds since something last happened.
type idle struct {
	// count is how often it had happened by the last round.
	count  int64
	rounds int
}

// pass records that a round has passed, and returns in how many rounds, this one
// included, nothing has happened.
func (i *idle) pass(count int64) int {
	if count != i.count {
		i.count, i.rounds = count, 0
		return 0
	}
	i.rounds++
	return i.rounds
}

// watchSilence sends pings on links on which nothing was sent or received for a
// while, and closes those on which nothing is received.
func (l *Linker) watchSilence() {
	ticker := time.NewTicker(silenceRound)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, current := range l.currentLinks() {
			l.passRound(current)
		}
	}
}

// passRound is one round of the watch for one link.
func (l *Linker) passRound(current *link) {
	signs := current.signs
	unheard := current.receiving.pass(signs.received.Load())
	unsent := current.sending.pass(signs.sent.Load())
	switch {
	case unheard == closeRounds:
		current.end(errSilent)
	case signs.writing.Load():
		// A ping would wait for the end of the message.
	case unsent >= pingRounds, unheard == pingRounds:
		signs.sent.Add(1)
		l.group.Go(func() { l.ping(current) })
	}
}

// currentLinks returns the links to all peers.
func (l *Linker) currentLinks() []*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	links := make([]*link, 0, len(l.links))
	for _, current := range l.links {
		links = append(links, current)
	}
	return links
}

// ping sends a ping. Its answer counts when it is received, and an error needs no
// handling: if nothing arrives, the link is closed.
func (l *Linker) ping(current *link) {
	ctx, cancel := context.WithTimeout(l.ctx, closeRounds*silenceRound)
	defer cancel()
	_ = current.conn.Ping(ctx)
}

// LinkAge says how old a link is and for how long nothing was received on it. Both
// are 0 if there is no link.
type LinkAge struct {
	Open   time.Duration
	Silent time.Duration
}

// Age returns the age of the current link to a peer.
func (l *Linker) Age(id requester.EntryID) LinkAge {
	l.mu.Lock()
	current, ok := l.links[id]
	l.mu.Unlock()
	if !ok {
		return LinkAge{}
	}
	return LinkAge{Open: time.Since(current.openedAt), Silent: time.Since(time.Unix(0, current.signs.receivedAt.Load()))}
}
