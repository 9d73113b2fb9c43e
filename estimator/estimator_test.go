package estimator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBound checks that a bound follows durations that become longer and shorter,
// and is the initial mean without any.
func TestBound(t *testing.T) {
	is := is.New(t)
	d := NewDurations(time.Second)
	key := Key{Scope: "relay"}
	is.Equal(d.Bound(key), time.Second)
	for range 100 {
		d.Observe(key, 100*time.Millisecond)
	}
	is.True(d.Bound(key) < 150*time.Millisecond)
	for range 20 {
		d.Observe(key, 500*time.Millisecond)
	}
	is.True(d.Bound(key) >= 500*time.Millisecond)
	for range 200 {
		d.Observe(key, 100*time.Millisecond)
	}
	is.True(d.Bound(key) >= 100*time.Millisecond)
	is.True(d.Bound(key) < 150*time.Millisecond)
}
