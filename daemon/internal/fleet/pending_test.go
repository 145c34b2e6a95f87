package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against replicas that stay paused, so that no commit is acknowledged any more
// (RECOVER), and against acknowledged commits that are lost to a late order (LOST), if the
// holder of the duty, or every host, is lost while its order has no answer.
func TestReplacementIsCompletedByNextHolder(t *testing.T) {
	for _, all := range []bool{false, true} {
		for _, late := range []time.Duration{time.Minute, 7 * time.Second} {
			t.Run(fmt.Sprintf("all hosts %t, order %s late", all, late), func(t *testing.T) {
				deployWith(t, &deployment{limit: ampleLimit, network: newNetwork()}, func(d *deployment) {
					f := &logFaults{deployment: d, rng: rand.New(rand.NewPCG(1, 1))}
					holder := d.holder()
					d.waitForReplicas()
					d.nextOrderDelay, d.promotionsDownUntil = late, time.Now().Add(4500*time.Millisecond)
					d.cutFromPrimary("s1", true)
					d.awaitOrder()
					time.Sleep(200 * time.Millisecond)
					d.network.heal()
					for i := range testHosts {
						if all || i == holder {
							d.stop(i)
							d.start(fmt.Sprint("n", i))
						}
					}
					f.keepWriting("w", 15*time.Second)
					before := len(f.acknowledged)
					f.keepWriting("after", 5*time.Second)
					if len(f.acknowledged) == before {
						d.t.Error("no write was acknowledged later than 15 s after the hosts were lost")
					}
				})
			})
		}
	}
}

// Guards against a replica that stays paused because it did not hear that a promotion had
// failed.
func TestForgottenPauseEnds(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.holder()
		d.waitForReplicas()
		d.service.Pause("s2", 2)
		d.service.Pause("s3", 2)
		time.Sleep(3 * time.Second)
		d.writeOn(0, "w")
	})
}
