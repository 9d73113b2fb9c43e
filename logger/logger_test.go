package logger

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// blockedWriter lets nothing through until it is opened.
type blockedWriter struct {
	open chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.open
	return w.Buffer.Write(data)
}

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
	is.True(strings.Contains(out.String(), `"Dropped":`)) // and it says so
}

func TestLevel(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := New(&out, zerolog.WarnLevel)
	log.Info().Msg("quiet")
	log.Warn().Msg("loud")
	log.Close()
	<-log.Done()
	is.True(!strings.Contains(out.String(), "quiet"))
	is.True(strings.Contains(out.String(), "loud"))
}
