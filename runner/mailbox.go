package runner

import (
	"sync"

	"kumquatstall/decider"
)

// mailbox holds the events that wait for the control goroutine. Posting never
// blocks: the control goroutine itself calls into parts that post. What may
// arrive is bounded where it enters, by the limits on connections and links.
type mailbox struct {
	mu     sync.Mutex
	events []decider.Event
	// signal holds one value while events wait.
	signal chan struct{}
}

func newMailbox() *mailbox { return &mailbox{signal: make(chan struct{}, 1)} }

func (m *mailbox) post(event decider.Event) {
	m.mu.Lock()
	m.events = append(m.events, event)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// take swaps the waiting events for the empty slice spare.
func (m *mailbox) take(spare []decider.Event) []decider.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.events
	m.events = spare[:0]
	return events
}
