package failover_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	_ "github.com/gypsumgap/gypsumgap/core/testseed"
)

// The deployments of section 2 of the design page.
var (
	paardvast = layout{slots: 3, zones: []string{"randstad-a", "gelderland-a", "brabant-a"}, remote: 1500 * time.Microsecond, owners: 2}
	pwani     = layout{slots: 5, zones: []string{"tanga-a", "dar-a", "kilwa-a"}, remote: 1500 * time.Microsecond, owners: 2}
	// The variants have one zone of three in another region.
	paardvastRegions = layout{slots: 3, zones: paardvast.zones, remote: paardvast.remote, far: 20 * time.Millisecond, region: lastZoneFar("brabant-a"), owners: 2}
	pwaniRegions     = layout{slots: 5, zones: pwani.zones, remote: pwani.remote, far: 12 * time.Millisecond, region: lastZoneFar("kilwa-a"), owners: 2}
)

func lastZoneFar(zone string) func(string) string {
	return func(z string) string {
		if z == zone {
			return "far"
		}
		return "home"
	}
}

// settle lets the hosts learn the group's state.
const settle = 3 * time.Second

// Guards against a failover that does not happen, loses acknowledged writes, or
// leaves a slot that does not follow the new primary.
func TestKilledPrimaryIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, paardvast)
		defer c.stop()
		ctx, cancel := context.WithCancel(t.Context())
		go c.owners[0].traffic(ctx, "w", 20*time.Millisecond)
		time.Sleep(settle)
		c.Kill(0)
		lost := time.Now()
		time.Sleep(settle)
		c.Restart(0)
		time.Sleep(settle)
		cancel()
		time.Sleep(time.Second)
		gap := c.gapAfter(t, lost, 1)
		t.Logf("gap %v", gap)
		for _, r := range c.records {
			t.Logf("%v %+v", r.At.Sub(lost), r)
		}
		c.checkHistory(t)
		for i := range c.slots {
			if st := c.Status(i); st.Received != c.Status(1).Received && st.Received != c.Status(2).Received || st.Accepted != 2 {
				t.Errorf("slot %d: %+v", i, st)
			}
		}
	})
}

// gapAfter returns the time from lost until a write of a newer term is acknowledged.
func (c *cluster) gapAfter(t *testing.T, lost time.Time, term int) time.Duration {
	t.Helper()
	for _, a := range c.acks() {
		if a.at.After(lost) && int(a.term) > term {
			return a.at.Sub(lost)
		}
	}
	t.Fatalf("no write was accepted after the loss")
	return 0
}
