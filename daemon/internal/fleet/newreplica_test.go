package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against acknowledged commits that are lost because a replica which starts after
// the others were paused lets hosts that still reach the replaced primary commit on it
// until the promotion takes effect (LOST).
func TestReplicaThatStartsDuringPromotionLosesNoCommit(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			deployWith(t, &deployment{limit: ampleLimit, network: newNetwork()}, func(d *deployment) {
				f := &logFaults{deployment: d, rng: rand.New(rand.NewPCG(seed, 1))}
				d.holder()
				d.waitForReplicas()
				d.cutFromPrimary("s1", true)
				d.running.Go(func() {
					d.awaitOrder()
					d.service.Add("s4")
				})
				f.keepWriting("w", 5*time.Second)
				d.cutFromPrimary("s1", false)
				before := len(f.acknowledged)
				f.keepWriting("after", 5*time.Second)
				if f.promotions == 0 || len(f.acknowledged) == before {
					d.t.Errorf("got %d promotions and %d acknowledged writes after the faults", f.promotions, len(f.acknowledged)-before)
				}
			})
		})
	}
}

// Guards against acknowledged commits that are lost because a primary whose entry has
// lapsed comes back before the promotion takes effect: hosts committed on it, and the
// replicas resumed as if nothing were pending (LOST).
func TestPrimaryThatReturnsDuringPromotionLosesNoCommit(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			deployWith(t, &deployment{limit: ampleLimit, promotionDelay: time.Second}, func(d *deployment) {
				f := &logFaults{deployment: d, rng: rand.New(rand.NewPCG(seed, 1))}
				d.holder()
				d.waitForReplicas()
				time.Sleep(6 * time.Second)
				d.promotionsDownUntil = time.Now().Add(12 * time.Second)
				d.service.Crash("s1")
				time.Sleep(12 * time.Second)
				before := d.orderCount()
				d.running.Go(func() {
					for d.orderCount() == before {
						time.Sleep(10 * time.Millisecond)
					}
					ordered := d.orders[before].Server
					d.service.SetReplicationPaused(ordered, true)
					d.service.Start("s1")
				})
				f.keepWriting("w", 5*time.Second)
				if f.promotions == 0 || len(f.acknowledged) == 0 {
					d.t.Errorf("got %d promotions and %d acknowledged writes", f.promotions, len(f.acknowledged))
				}
			})
		})
	}
}
