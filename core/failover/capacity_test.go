package failover_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a failover whose messages grow faster than the slots. Prints
// the messages and the virtual time of one change of primary.
func TestMessagesOfAFailoverAreBounded(t *testing.T) {
	const watched = 10 * time.Second
	for _, slots := range []int{3, 5, 7} {
		t.Run(fmt.Sprintf("slots=%d", slots), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := paardvast
				l.slots = slots
				c := newCluster(t, l)
				defer c.stop()
				time.Sleep(settle)
				before := c.Counts()
				time.Sleep(watched)
				idle := c.Counts().Status - before.Status
				ctx, cancel := context.WithCancel(t.Context())
				go c.owners[1].traffic(ctx, "w", 500*time.Millisecond)
				time.Sleep(settle)
				before = c.Counts()
				c.Kill(0)
				lost := time.Now()
				time.Sleep(watched)
				cancel()
				after := c.Counts()
				gap := c.gapAfter(lost)
				orders := after.Fence + after.Promote + after.Follow - before.Fence - before.Promote - before.Follow
				status := after.Status - before.Status
				t.Logf("capacity: slots=%d gap=%v orders=%d status=%d in 10 s, idle status=%d in 10 s", slots, gap, orders, status, idle)
				if limit := 8 * slots; orders > limit {
					t.Errorf("%d orders, the limit is %d", orders, limit)
				}
				if gap == 0 || gap > 17*time.Second {
					t.Errorf("the gap is %v", gap)
				}
			})
		})
	}
}
