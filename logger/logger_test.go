package logger

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// blockedWriter blocks writes until open is closed.
type blockedWriter struct {
	open chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.open
	return w.Buffer.Write(data)
}

// TestNeverBlocks checks that logging does not block while the output does, and
// that the lines beyond the queue are dropped and the drop is logged.
func TestNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{open: make(chan struct{})}
	log := New(out, zerolog.InfoLevel)
	const lines = 3 * queueLines
	for range lines {
		log.Warn().Str("Event", "test").Send()
	}
	close(out.open)
	log.Close()
	<-log.Done()
	written := strings.Count(out.String(), `"Event":"test"`)
	is.True(written >= queueLines && written < lines)
	is.True(strings.Contains(out.String(), `"Dropped":`)) // the number of dropped lines is logged
}

func TestLevel(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := New(&out, zerolog.WarnLevel)
	log.Info().Msg("below the level")
	log.Warn().Msg("at the level")
	log.Close()
	<-log.Done()
	is.True(!strings.Contains(out.String(), "below the level"))
	is.True(strings.Contains(out.String(), "at the level"))
}
