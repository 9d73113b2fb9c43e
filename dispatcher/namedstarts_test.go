package dispatcher_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kumquatstall/dispatcher"
	"kumquatstall/keeper"
	"kumquatstall/scheduler"
	"kumquatstall/standin"
)

// lateNaming is a platform on which a transaction that names starts takes effect, and is
// answered so much later.
type lateNaming struct {
	dispatcher.Platform
	delay time.Duration
	named atomic.Bool
}

func (p *lateNaming) Transact(ctx context.Context, transaction keeper.Transaction) (keeper.TransactResult, error) {
	result, err := p.Platform.Transact(ctx, transaction)
	for _, write := range transaction.Writes {
		if write.Key == scheduler.StartsKey && !write.Delete {
			p.named.Store(true)
			select {
			case <-ctx.Done():
				return result, ctx.Err()
			case <-time.After(p.delay):
			}
		}
	}
	return result, err
}

// lockedBuffer is a buffer for lines of several goroutines.
type lockedBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(line)
}

// lines returns the lines of an event.
func (b *lockedBuffer) lines(event string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for line := range strings.Lines(b.out.String()) {
		if strings.Contains(line, `"Event":"`+event+`"`) {
			found = append(found, line)
		}
	}
	return found
}

// TestOwnerStopsBetweenNamingAndSending guards against an owner that is told to stop, or is
// stopped, when the store has the names of starts that it hasn't sent, and whose log doesn't
// say so.
func TestOwnerStopsBetweenNamingAndSending(t *testing.T) {
	for _, test := range []struct {
		name string
		stop func(*dispatcher.Dispatcher)
		// event is that of the line for each start, why what it says.
		event, why, unsent string
	}{
		{"SIGTERM", func(d *dispatcher.Dispatcher) { d.Drain(context.Background()) }, "start withdrawn", "the owner releases the cell", `"StartsUnsent":0`},
		{"at once", func(d *dispatcher.Dispatcher) { d.Close() }, "start left", "named and never sent; worker: answers", `"StartsUnsent":3`},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cell := standin.NewCell(7, standin.CellWorkers("service", 6, workerCapacity))
				cell.SetConfig(&dispatcher.Config{Version: 1, Queues: []dispatcher.Queue{{Name: "queue", Host: "host", Prefix: "/queue/", Policy: policy()}}})
				platform := &lateNaming{Platform: cell.PlatformFor(entryName(0)), delay: 300 * time.Millisecond}
				out := &lockedBuffer{}
				d := dispatcher.Start(dispatcher.Options{Self: entryName(0), DataCentre: "here"}, platform, virtualClock{}, zerolog.New(out))
				defer d.Close()
				s := &site{t: t, cell: cell, entries: []*dispatcher.Dispatcher{d}}
				time.Sleep(time.Second)
				is.Equal(s.submit(0, 5000), dispatcher.OutcomeDone)
				for !platform.named.Load() {
					time.Sleep(10 * time.Millisecond)
				}
				test.stop(d)
				lines := out.lines(test.event)
				is.Equal(len(lines), 3)
				for _, line := range lines {
					is.True(strings.Contains(line, `"Why":"`+test.why+`"`))
					is.True(strings.Contains(line, `"Job":"0000000000000001"`))
				}
				ended := out.lines("disown")
				is.Equal(len(ended), 1)
				is.True(strings.Contains(ended[0], test.unsent))
				is.Equal(len(out.lines("start")), 0) // none was sent
			})
		})
	}
}
