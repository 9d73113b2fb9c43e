// Package logger writes JSON log lines and never blocks its caller.
//
// Lines pass through a bounded queue to one goroutine that writes them. Lines
// that exceed the rate limit or find the queue full are dropped and counted; the
// count is logged with the next lines that are written. Warnings and errors are
// exempt from the rate limit.
package logger

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// Limits of a Logger.
const (
	queueLines = 2048
	// linesPerSecond and burstLines bound the cost of logging at a busy entry.
	linesPerSecond = 1000
	burstLines     = 3000
)

// Logger is a zerolog.Logger that queues its lines and writes them in the
// background.
type Logger struct {
	zerolog.Logger
	lines chan []byte
	limit *rate.Limiter
	// dropped is the number of dropped lines that the log does not report yet.
	dropped atomic.Int64
	done    chan struct{}
}

var _ zerolog.LevelWriter = (*Logger)(nil)

// New starts a Logger that writes lines of at least the level to out.
func New(out io.Writer, level zerolog.Level) *Logger {
	l := &Logger{
		lines: make(chan []byte, queueLines),
		limit: rate.NewLimiter(linesPerSecond, burstLines),
		done:  make(chan struct{}),
	}
	l.Logger = zerolog.New(l).Level(level).With().Timestamp().Logger()
	go l.write(out)
	return l
}

// Write implements io.Writer.
func (l *Logger) Write(line []byte) (int, error) { return l.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel implements zerolog.LevelWriter. It reports success also for a line
// that it drops.
func (l *Logger) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level < zerolog.WarnLevel && !l.limit.Allow() {
		l.dropped.Add(1)
		return len(line), nil
	}
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Close makes the Logger write the queued lines and stop. It does not wait for
// this: the channel that Done returns is closed then. Nothing may be logged after
// Close.
func (l *Logger) Close() { close(l.lines) }

// Done returns a channel that is closed when all lines have been written after
// Close.
func (l *Logger) Done() <-chan struct{} { return l.done }

// batchBytes is the size of a batch, in bytes, from which on no more lines are
// added before it is written.
const batchBytes = 32 << 10

// write writes queued lines in batches until lines is closed.
func (l *Logger) write(out io.Writer) {
	defer close(l.done)
	var batch []byte
	for line := range l.lines {
		batch = append(batch[:0], line...)
		batch = l.appendQueued(batch)
		if dropped := l.dropped.Swap(0); dropped > 0 {
			batch = appendDropped(batch, dropped)
		}
		// A failure to write the log cannot be logged.
		_, _ = out.Write(batch)
	}
}

// appendQueued appends lines to batch, without blocking, until none is queued or
// batch has batchBytes.
func (l *Logger) appendQueued(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line, open := <-l.lines:
			if !open {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// appendDropped appends a log line with the number of dropped lines.
func appendDropped(batch []byte, dropped int64) []byte {
	var line lineBuffer
	log := zerolog.New(&line)
	log.Warn().Str("Event", "log").Int64("Dropped", dropped).Msg("log lines dropped: queue full or rate limit exceeded")
	return append(batch, line...)
}

// lineBuffer is an io.Writer that appends to a byte slice.
type lineBuffer []byte

func (b *lineBuffer) Write(line []byte) (int, error) {
	*b = append(*b, line...)
	return len(line), nil
}
