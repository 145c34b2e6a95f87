package failover_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// The number of messages of a failover must not grow faster than the number of
// slots. Prints the messages and the virtual time of one change of primary.
func TestMessagesOfAFailoverAreBounded(t *testing.T) {
	const window = 10 * time.Second
	for _, slots := range []int{3, 5, 7} {
		t.Run(fmt.Sprintf("slots=%d", slots), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := threeSlots
				l.slots = slots
				c := newCluster(t, l)
				defer c.stop()
				time.Sleep(settleTime)
				before := c.Counts()
				time.Sleep(window)
				idle := c.Counts().Status - before.Status
				ctx, cancel := context.WithCancel(t.Context())
				go c.owners[1].runTraffic(ctx, "w", 500*time.Millisecond)
				time.Sleep(settleTime)
				before = c.Counts()
				c.Kill(0)
				lost := time.Now()
				time.Sleep(window)
				cancel()
				after := c.Counts()
				gap := c.gapAfter(lost)
				orders := after.Fence + after.Promote + after.Follow - before.Fence - before.Promote - before.Follow
				status := after.Status - before.Status
				t.Logf("capacity: slots=%d gap=%v orders=%d status=%d in 10 s, idle status=%d in 10 s", slots, gap, orders, status, idle)
				if limit := 8 * slots; orders > limit {
					t.Errorf("failover took %d orders, want at most %d", orders, limit)
				}
				if gap == 0 || gap > 17*time.Second {
					t.Errorf("writes were unavailable for %v, want more than 0 and at most 17 s", gap)
				}
			})
		})
	}
}
