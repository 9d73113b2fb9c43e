package dispatcher_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kumquatstall/dispatcher"
	"kumquatstall/scheduler"
)

// TestOddOwnerRowLeavesCellWithoutOwner checks that the cell has an owner again,
// with a higher epoch, after another writer has spoiled the owner's row, and that
// also entries that never saw the row as it was before do so.
func TestOddOwnerRowLeavesCellWithoutOwner(t *testing.T) {
	const ownerKey = scheduler.StatePrefix + "@owner"
	for name, value := range map[string][]byte{
		"not CBOR": {0xff}, "nested": nested(60_000), "another type": {0xa0}, "no value": nil, "removed": nil,
		"huge numbers":     {0x89, 0x61, 'x', 0x60, 0x1b, 0x7f, 255, 255, 255, 255, 255, 255, 255, 1, 0x1b, 0x7f, 255, 255, 255, 255, 255, 255, 255, 0xf4, 0xfb, 0x7f, 0xf8, 0, 0, 0, 0, 0, 0, 0xf4, 0x60},
		"negative numbers": {0x89, 0x61, 'x', 0x60, 0x3b, 0x7f, 255, 255, 255, 255, 255, 255, 255, 1, 0x3b, 0x7f, 255, 255, 255, 255, 255, 255, 255, 0xf4, 0xf9, 0, 0, 0xf4, 0x60},
	} {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, restart %v", name, restart), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := newSite(t, 3)
					defer s.close()
					is.Equal(s.submit(0, 300), dispatcher.OutcomeDone)
					time.Sleep(5 * time.Second)
					is.True(s.owner() >= 0)
					if restart {
						s.close()
					}
					if name == "removed" {
						s.remove(ownerKey)
					} else {
						s.write(map[string][]byte{ownerKey: value})
					}
					if restart {
						for i := range s.entries {
							s.start(i)
						}
					}
					time.Sleep(20 * time.Second)
					is.True(s.owner() >= 0)
					is.Equal(s.submit(1, 300), dispatcher.OutcomeDone)
					time.Sleep(15 * time.Second)
					s.checkCompleted()
				})
			})
		}
	}
}
