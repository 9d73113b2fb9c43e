package runner

import (
	"sync"

	"kumquatstall/decider"
)

// mailbox queues the events for the control goroutine. Posting never blocks,
// since the control goroutine itself calls components that post. The queue has
// no bound of its own: the number of events is limited where they originate, by
// the limits on connections and links.
type mailbox struct {
	mu     sync.Mutex
	events []decider.Event
	// signal holds a value if events were posted since the control goroutine
	// last received from it.
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

// swap returns the pending events and reuses the memory of spare for the next
// ones.
func (m *mailbox) swap(spare []decider.Event) []decider.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.events
	m.events = spare[:0]
	return events
}
