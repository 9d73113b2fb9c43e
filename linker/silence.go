package linker

import (
	"context"
	"sync/atomic"
	"time"

	"kumquatstall/requester"
)

// The watch for silence counts its own rounds and not the time that has passed: if
// this process was paused, one round passes, in which what has arrived meanwhile is
// read.
const (
	// silenceRound is the interval between rounds of the watch.
	silenceRound = 200 * time.Millisecond
	// pingRounds is after how many rounds in which nothing was received the peer is
	// sent a ping.
	pingRounds = 2
	// closeRounds is after how many of them the link is closed. From the ping on,
	// that leaves the peer 0.8 s for the answer.
	closeRounds = 6
)

// lifeSigns are the signs of life of a peer: bytes of messages, pings and pongs.
type lifeSigns struct {
	count atomic.Int64
	// lastAt is when the last one was received, in Unix nanoseconds.
	lastAt atomic.Int64
}

func (s *lifeSigns) received() {
	s.count.Add(1)
	s.lastAt.Store(time.Now().UnixNano())
}

func (s *lifeSigns) onPing(context.Context, []byte) bool {
	s.received()
	return true
}

func (s *lifeSigns) onPong(context.Context, []byte) { s.received() }

// silence is how long a peer has been silent.
type silence struct {
	// count is that of the signs of life in the last round.
	count int64
	// rounds is the number of rounds in a row without a sign of life.
	rounds int
}

// pass records that a round has passed, and returns for how many rounds nothing was
// received.
func (s *silence) pass(signs *lifeSigns) int {
	count := signs.count.Load()
	if count != s.count {
		s.count, s.rounds = count, 0
		return 0
	}
	s.rounds++
	return s.rounds
}

// watchSilence asks silent peers for a sign of life, and closes the links to those
// that give none.
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
			switch current.silence.pass(current.signs) {
			case pingRounds:
				l.group.Go(func() { l.ping(current) })
			case closeRounds:
				current.end(errSilent)
			}
		}
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

// ping sends a ping. Its answer counts as a sign of life when it is received; an
// error needs no handling, as the link is closed if there is none.
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
	return LinkAge{Open: time.Since(current.openedAt), Silent: time.Since(time.Unix(0, current.signs.lastAt.Load()))}
}
