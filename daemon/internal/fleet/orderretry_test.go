package fleet

import (
	"testing"
	"time"
)

// Guards against acknowledged commits that are lost because an order without an answer is
// repeated for a server that has started again without its log since it was chosen (LOST).
func TestOrderIsNotRepeatedForRestartedServer(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.holder()
		d.waitForReplicas()
		time.Sleep(6 * time.Second)
		d.writeOn(0, "w")
		time.Sleep(100 * time.Millisecond)
		d.nextOrderDelay = time.Minute
		d.service.Crash("s1")
		d.awaitOrder()
		ordered := d.orders[0].Server
		d.service.Restart(ordered)
		time.Sleep(10 * time.Second)
		if n := d.service.Promotions(); n != 0 {
			d.t.Errorf("got %d promotions, want none while the log with the write may be gone", n)
		}
		d.service.Start("s1")
		time.Sleep(10 * time.Second)
		if got := d.service.Committed(); len(got) != 1 {
			d.t.Errorf("got commits %v, want the write", got)
		}
	})
}
