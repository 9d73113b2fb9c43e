package retrier

import (
	"context"
	"time"
)

// Sleep waits between two attempts. It returns false early if the context ends
// first.
func Sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
