package dispatcher

import (
	"bytes"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// TestLogLinesAfterATick guards against an owner that is still writing log lines when its lease
// expires, as very much has happened at once: so many are written after a tick, the others
// after those that follow, and none is lost.
func TestLogLinesAfterATick(t *testing.T) {
	is := is.New(t)
	var written bytes.Buffer
	now := time.Now()
	s := &session{dispatcher: &Dispatcher{log: zerolog.New(&written)}, core: scheduler.New(scheduler.Options{Epoch: 1}, now)}
	var infos []scheduler.WorkerInfo
	for i := range maxLogLines*2 + 500 {
		infos = append(infos, scheduler.WorkerInfo{HostID: requester.HostID(fmt.Sprint("w", i))})
	}
	s.core.SetWorkers(now, infos)
	lines := func() int { return bytes.Count(written.Bytes(), []byte("\n")) }
	s.writeLogRecords(maxLogLines)
	is.Equal(lines(), maxLogLines)
	s.writeLogRecords(maxLogLines)
	is.Equal(lines(), 2*maxLogLines)
	s.writeLogRecords(math.MaxInt)
	is.True(lines() >= len(infos)) // a line a worker at least
	is.Equal(len(s.records), 0)
}
