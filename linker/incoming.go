package linker

import "sync"

// incoming bounds what the messages that are being received on all links hold together.
// Where entries share no key anybody can open a link, and a message that does not end is
// held until its link does. If they hold too much, the link with the largest one is
// closed: those of entries are small, or end soon.
type incoming struct {
	limit int64

	mu    sync.Mutex
	total int64
	held  map[*link]int64
}

// messageFactor is how many times its size a message holds until it is decoded: its
// buffer, which doubles while it grows, and what it is decoded into.
const messageFactor = 3

// add records that more bytes of a link's message have been received. It closes links
// while all hold too much.
func (i *incoming) add(receiver *link, count int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.held[receiver] += int64(count) * messageFactor
	i.total += int64(count) * messageFactor
	for i.total > i.limit {
		largest := i.largest()
		i.remove(largest)
		largest.end(errMessagesTooLarge)
	}
}

// done records that a link's message has been decoded, or that the link has ended.
func (i *incoming) done(receiver *link) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.remove(receiver)
}

// remove forgets what a link holds. The caller holds mu.
func (i *incoming) remove(receiver *link) {
	i.total -= i.held[receiver]
	delete(i.held, receiver)
}

// largest returns the link that holds most. The caller holds mu.
func (i *incoming) largest() *link {
	var found *link
	for receiver, held := range i.held {
		if found == nil || held > i.held[found] {
			found = receiver
		}
	}
	return found
}
