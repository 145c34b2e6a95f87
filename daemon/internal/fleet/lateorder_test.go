package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// cutFromPrimary separates the holder of the duty and one more host from a server, or
// connects them again. That is enough for the server to be replaced as the primary,
// although the other hosts go on using it.
func (d *deployment) cutFromPrimary(server string, cut bool) {
	holder := d.holder()
	for _, i := range []int{holder, (holder + 1) % testHosts} {
		d.network.setCut(d.hosts[i].host, server, cut)
	}
}

// keepWriting writes through random hosts for the given time, and checks each promotion.
func (f *logFaults) keepWriting(name string, total time.Duration) {
	until := time.Now().Add(total)
	for n := 0; time.Now().Before(until); n++ {
		f.write(fmt.Sprint(name, n))
		f.checkPromotion()
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against acknowledged commits that are lost because an order without an answer is
// carried out after the replicas have resumed and the old primary serves again (LOST): the
// replica that was chosen then lacks what only another one has received since.
func TestLateOrderLosesNoAcknowledgedCommit(t *testing.T) {
	for _, late := range []time.Duration{3 * time.Second, 7 * time.Second, 11 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			deployWith(t, &deployment{limit: ampleLimit, network: newNetwork()}, func(d *deployment) {
				f := &logFaults{deployment: d, rng: rand.New(rand.NewPCG(1, 1))}
				d.holder()
				d.waitForReplicas()
				d.nextOrderDelay, d.promotionsDownUntil = late, time.Now().Add(4500*time.Millisecond)
				d.cutFromPrimary("s1", true)
				time.Sleep(3500 * time.Millisecond)
				d.cutFromPrimary("s1", false)
				if len(d.orders) == 0 {
					d.t.Fatal("no promotion was ordered")
				}
				d.service.SetReplicationPaused(d.orders[0].Server, true)
				f.keepWriting("w", late+2*time.Second)
				d.service.SetReplicationPaused(d.orders[0].Server, false)
				before := len(f.acknowledged)
				f.keepWriting("after", 10*time.Second)
				if len(f.acknowledged) == before {
					d.t.Error("no write was acknowledged after the faults")
				}
			})
		})
	}
}
