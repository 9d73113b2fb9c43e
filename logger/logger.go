// Package logger writes JSON log lines without ever blocking its caller.
//
// Lines wait in a bounded queue for one goroutine that writes them. What does
// not fit, or goes beyond the rate, is counted, and the count is logged once
// there is room again. Warnings and errors are exempt from the rate.
package logger

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// Bounds of a log.
const (
	queueLines = 2048
	// linesPerSecond bounds what a busy entry may spend on its log.
	linesPerSecond = 1000
	burstLines     = 3000
)

// Logger is a log with a queue.
type Logger struct {
	zerolog.Logger
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
}

var _ zerolog.LevelWriter = (*Logger)(nil)

// New starts a log that writes lines of at least a level to out.
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

// WriteLevel implements zerolog.LevelWriter.
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

// Close writes what waits and ends the log. Nothing may be logged afterwards.
func (l *Logger) Close() { close(l.lines) }

// Done is closed when everything has been written.
func (l *Logger) Done() <-chan struct{} { return l.done }

// batchBytes is how much is written at once.
const batchBytes = 32 << 10

func (l *Logger) write(out io.Writer) {
	defer close(l.done)
	var batch []byte
	for line := range l.lines {
		batch = append(batch[:0], line...)
		batch = l.gather(batch)
		if dropped := l.dropped.Swap(0); dropped > 0 {
			batch = droppedLine(batch, dropped)
		}
		// A log that can't be written has nowhere to say so.
		_, _ = out.Write(batch)
	}
}

// gather adds the lines that wait already.
func (l *Logger) gather(batch []byte) []byte {
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

func droppedLine(batch []byte, dropped int64) []byte {
	var line lineBuffer
	log := zerolog.New(&line)
	log.Warn().Str("Event", "log").Int64("Dropped", dropped).Msg("log lines were dropped")
	return append(batch, line...)
}

type lineBuffer []byte

func (b *lineBuffer) Write(line []byte) (int, error) {
	*b = append(*b, line...)
	return len(line), nil
}
