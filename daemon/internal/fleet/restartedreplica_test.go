package fleet

import (
	"testing"
	"time"
)

// Guards against acknowledged commits that are lost because a replica which starts again
// without its log while it is cut from the store counts as a reply (LOST): its entry is
// still that of the process before, and later is gone.
func TestReplyOfRestartedReplicaWithoutEntry(t *testing.T) {
	for name, down := range map[string]time.Duration{"at once": 0, "after 2 s": 2 * time.Second, "after its entry lapsed": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			deploy(t, func(d *deployment) {
				d.holder()
				d.waitForReplicas()
				time.Sleep(10 * time.Second)
				d.service.SetReplicationPaused("s3", true)
				d.writeOn(0, "w")
				d.set(d.silent, "s2", true)
				d.service.SetReplicationPaused("s2", true)
				d.service.Crash("s2")
				d.service.Crash("s1")
				time.Sleep(down)
				d.service.Restart("s2")
				time.Sleep(8 * time.Second)
				if n := d.service.Promotions(); n != 0 {
					d.t.Error("a replica was promoted although the log with the write is gone")
				}
				d.service.Start("s1")
				d.set(d.silent, "s2", false)
				time.Sleep(5 * time.Second)
				if got := d.service.Committed(); len(got) != 1 {
					d.t.Errorf("got commits %v, want the write", got)
				}
			})
		})
	}
}

// Guards against a lost primary that is not replaced in time because replies over new
// connections are doubtful: connections were reset before the loss, and the holder of the
// duty is new.
func TestDoubtfulRepliesDelayNoPromotion(t *testing.T) {
	for name, before := range map[string]func(d *deployment){
		"connections reset": func(d *deployment) { d.service.CloseConnections("s2"); d.service.CloseConnections("s3") },
		"new holder":        func(d *deployment) { d.stop(d.holder()); time.Sleep(6 * time.Second); d.holder() },
	} {
		t.Run(name, func(t *testing.T) {
			deploy(t, func(d *deployment) {
				d.holder()
				d.waitForReplicas()
				d.writeOn(1, "w")
				before(d)
				time.Sleep(2 * time.Second)
				d.service.Crash("s1")
				if took := d.awaitFailover("s1", 20*time.Second); took > maxFailoverTimeUnderFaults {
					d.t.Errorf("failover took %s, want %s at most", took, maxFailoverTimeUnderFaults)
				}
			})
		})
	}
}
