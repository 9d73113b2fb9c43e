package dispatcher_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kumquatstall/dispatcher"
	"kumquatstall/keeper"
	"kumquatstall/scheduler"
)

// staleLists is a platform whose lists of jobs and their progress are those of
// an earlier time, until fresh is called.
type staleLists struct {
	dispatcher.Platform
	mu    sync.Mutex
	lists map[string]keeper.ReadResult
}

// newStaleLists records the present lists of a platform.
func newStaleLists(t *testing.T, platform dispatcher.Platform) *staleLists {
	t.Helper()
	s := &staleLists{Platform: platform, lists: make(map[string]keeper.ReadResult)}
	prefixes := []string{scheduler.ProgressPrefix}
	for partition := range scheduler.JobPartitions {
		prefixes = append(prefixes, scheduler.JobPrefix(partition))
	}
	for _, prefix := range prefixes {
		rows, revision, err := platform.List(context.Background(), prefix)
		if err != nil {
			t.Fatal(err)
		}
		s.lists[prefix] = keeper.ReadResult{Rows: rows, Revision: revision}
	}
	return s
}

func (s *staleLists) List(ctx context.Context, prefix string) ([]keeper.Row, int64, error) {
	s.mu.Lock()
	list, stale := s.lists[prefix]
	s.mu.Unlock()
	if stale {
		return list.Rows, list.Revision, nil
	}
	return s.Platform.List(ctx, prefix)
}

func (s *staleLists) fresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = nil
}

// TestListOlderThanTheAcquisition guards against a new owner that takes a list
// from before its acquisition for the present rows: it would start again what
// its predecessor has stored as done.
func TestListOlderThanTheAcquisition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 1)
		defer s.close()
		is.Equal(s.submit(0, 600), dispatcher.OutcomeDone)
		time.Sleep(400 * time.Millisecond)
		stale := newStaleLists(t, s.cell.PlatformFor(entryName(0)))
		time.Sleep(4 * time.Second)
		s.checkCompleted()
		s.entries[0].Close()
		s.entries[0] = dispatcher.Start(dispatcher.Options{Self: entryName(0), DataCentre: "here"}, stale, virtualClock{}, zerolog.New(io.Discard))
		time.Sleep(4 * time.Second)
		stale.fresh()
		is.Equal(s.submit(0, 600), dispatcher.OutcomeDone)
		time.Sleep(10 * time.Second)
		s.checkCompleted()
	})
}
