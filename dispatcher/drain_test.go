package dispatcher_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kumquatstall/dispatcher"
	"kumquatstall/keeper"
	"kumquatstall/standin"
)

// beforeTransact is a platform that calls a function before the first transaction.
type beforeTransact struct {
	dispatcher.Platform
	called atomic.Bool
	do     func()
}

func (b *beforeTransact) Transact(ctx context.Context, transaction keeper.Transaction) (keeper.TransactResult, error) {
	if b.called.CompareAndSwap(false, true) {
		b.do()
	}
	return b.Platform.Transact(ctx, transaction)
}

// TestDrainWhileAcquiring guards against an entry that owns the cell although it is
// draining: it was acquiring the cell when it was told to drain, so that there was no
// session to release.
func TestDrainWhileAcquiring(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cell := standin.NewCell(7, standin.CellWorkers("service", 6, workerCapacity))
		cell.SetConfig(&dispatcher.Config{Version: 1, Queues: []dispatcher.Queue{{Name: "queue", Host: "host", Prefix: "/queue/", Policy: policy()}}})
		platform := &beforeTransact{Platform: cell.PlatformFor(entryName(0))}
		started := make(chan *dispatcher.Dispatcher, 1)
		platform.do = func() {
			d := <-started
			d.Drain(context.Background())
		}
		d := dispatcher.Start(dispatcher.Options{Self: entryName(0), DataCentre: "here"}, platform, virtualClock{}, zerolog.New(io.Discard))
		defer d.Close()
		started <- d
		time.Sleep(3 * time.Second)
		is.True(platform.called.Load())
		is.True(!d.Owns()) // it is draining
	})
}
