package linker

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestLargestMessageGivesWay checks that the link with the largest message is closed when
// messages hold too much, that others stay, and that what ended messages held is given
// back.
func TestLargestMessageGivesWay(t *testing.T) {
	is := is.New(t)
	i := &incoming{limit: 100 * messageFactor, held: make(map[*link]int64)}
	newLink := func() (*link, context.Context) {
		ctx, cancel := context.WithCancelCause(t.Context())
		return &link{cancel: cancel}, ctx
	}
	small, smallCtx := newLink()
	large, largeCtx := newLink()
	i.add(large, 80)
	i.add(small, 20)
	is.NoErr(largeCtx.Err())
	i.add(small, 1)
	is.True(errors.Is(context.Cause(largeCtx), errMessagesTooLarge))
	is.NoErr(smallCtx.Err())
	is.Equal(i.total, int64(21*messageFactor))
	i.done(large)
	i.add(small, 79)
	is.NoErr(smallCtx.Err())
	i.done(small)
	is.Equal(i.total, int64(0))
	i.add(small, 101)
	is.True(errors.Is(context.Cause(smallCtx), errMessagesTooLarge)) // alone too large
	is.Equal(i.total, int64(0))
}
