package dispatcher

import (
	"sync"
	"time"

	"kumquatstall/requester"
)

// A refusal says that a job has not been stored and will not be. An entry may say so only
// if no earlier request of its own may still store the same job.

// doubtWindow is how long a request to store a job whose outcome is unknown may take
// effect, as far as this entry tells callers.
const doubtWindow = 15 * time.Second

// maxDoubts bounds the jobs of which an entry remembers such a request.
const maxDoubts = 4096

// doubts are the jobs that a request of this entry may still store. It is safe for
// concurrent use.
type doubts struct {
	mu    sync.Mutex
	until map[requester.JobID]time.Time
}

// add records that a request to store a job has an unknown outcome.
func (q *doubts) add(id requester.JobID, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.until == nil {
		q.until = make(map[requester.JobID]time.Time)
	}
	if len(q.until) >= maxDoubts {
		for old, until := range q.until {
			if !now.Before(until) {
				delete(q.until, old)
			}
		}
	}
	if len(q.until) < maxDoubts {
		q.until[id] = now.Add(doubtWindow)
	}
}

// has reports whether an earlier request may still store a job.
func (q *doubts) has(id requester.JobID, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Before(q.until[id])
}
