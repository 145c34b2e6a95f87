package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// stopTimeout is the time that a host has for a planned stop.
const stopTimeout = 5 * time.Second

// stopAsPlanned makes a host leave, as on SIGTERM, and stops it when it has left. It
// returns how long that took.
func (d *deployment) stopAsPlanned(i int) time.Duration {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	began := time.Now()
	c := d.hosts[i]
	<-queryState(c, func() <-chan struct{} { return c.leave(ctx) })
	d.stop(i)
	return time.Since(began)
}

func (d *deployment) orderCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.orders)
}

// awaitOrder waits until a promotion has been ordered.
func (d *deployment) awaitOrder() {
	d.t.Helper()
	for range 500 {
		if d.orderCount() > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.t.Fatal("no promotion was ordered within 5 s")
}

// Guards against two promotions for one lost primary (ONE): the holder of the duty was
// stopped as planned while the promotion that it had ordered was still to take effect,
// and the next holder ordered another one.
func TestHolderStopsDuringPromotion(t *testing.T) {
	for _, leased := range []bool{false, true} {
		for _, delay := range []time.Duration{promotionDelay, time.Second, 2500 * time.Millisecond} {
			t.Run(fmt.Sprintf("leased %t, promotion %s", leased, delay), func(t *testing.T) {
				deployWith(t, &deployment{limit: ampleLimit, leased: leased, promotionDelay: delay, network: newNetwork()}, func(d *deployment) {
					holder := d.holder()
					d.mu.Lock()
					d.draining["s1"] = true
					d.mu.Unlock()
					d.awaitOrder()
					time.Sleep(100 * time.Millisecond)
					if took := d.stopAsPlanned(holder); took > stopTimeout {
						t.Errorf("stop took %s, want %s at most", took, stopTimeout)
					}
					d.awaitFailover("s1", 10*time.Second)
					time.Sleep(5 * time.Second)
					if n, orders := d.service.Promotions(), d.orderCount(); n != 1 || orders != 1 {
						t.Errorf("got %d promotions and %d orders, want one of each", n, orders)
					}
				})
			})
		}
	}
}

// Guards against a duty that nobody holds after a planned stop of its holder until the
// lease has run out, although no promotion is under way.
func TestIdleHolderReleasesDutyAtOnce(t *testing.T) {
	deploy(t, func(d *deployment) {
		if took := d.stopAsPlanned(d.holder()); took > time.Second {
			t.Errorf("holder without a promotion under way left after %s, want at once", took)
		}
		time.Sleep(time.Second)
		d.mu.Lock()
		d.draining["s1"] = true
		d.mu.Unlock()
		if took := d.awaitFailover("s1", 10*time.Second); took > time.Second+promotionDelay {
			t.Errorf("next holder replaced the primary after %s, want 1 s besides the promotion", took)
		}
	})
}
