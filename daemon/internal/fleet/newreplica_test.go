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
