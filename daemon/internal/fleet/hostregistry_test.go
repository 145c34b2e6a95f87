package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/objects/objectstest"
)

// hostList returns a list of registrations, given by name as their renewals.
func hostList(revision objects.Revision, renewals map[string]int) objects.Snapshot {
	list := objects.Snapshot{Revision: revision}
	for name, renewal := range renewals {
		list.Objects = append(list.Objects, objects.Object{
			Name: name, Revision: objects.NewRevision(revision.Era(), uint64(renewal)), Value: fmt.Appendf(nil, `{"incarnation":"1","renewal":%d}`, renewal),
		})
	}
	return list
}

// Guards against hosts that count as gone because the store forgot that they
// registered, and against hosts that left and count as live again.
func TestRegistrationsAfterRestore(t *testing.T) {
	var h hostRegistry
	now := time.Unix(1000, 0)
	check := func(step string, revision objects.Revision, renewals map[string]int, want ...string) {
		t.Helper()
		if got := slices.Sorted(maps.Keys(h.observe(hostList(revision, renewals), now))); !slices.Equal(got, want) {
			t.Errorf("%s: got live hosts %v, want %v", step, got, want)
		}
	}
	check("before", objects.NewRevision(1, 50), map[string]int{"left": 7, "old": 8}, "left", "old")
	check("left", objects.NewRevision(1, 60), map[string]int{"old": 8, "new": 1}, "new", "old")
	check("stale list", objects.NewRevision(1, 55), map[string]int{"left": 7, "old": 8}, "left", "old")
	check("next list", objects.NewRevision(1, 61), map[string]int{"old": 8, "new": 1}, "new", "old")
	now = now.Add(50 * time.Second)
	check("restored", objects.NewRevision(2, 50), map[string]int{"left": 7, "old": 7}, "new", "old")
	now = now.Add(registrationSettleTime)
	check("not registered again", objects.NewRevision(2, 70), map[string]int{"left": 7, "old": 9}, "old")
	now = now.Add(registrationMaxAge - time.Second)
	check("renewal counts", objects.NewRevision(2, 80), map[string]int{"left": 7, "old": 9}, "old")
	now = now.Add(time.Second)
	check("silent", objects.NewRevision(2, 81), map[string]int{"left": 7, "old": 9})
}

// Guards against a host that stays without a registration after the store forgot it.
func TestHostsRegisterAgainAfterRestore(t *testing.T) {
	deploy(t, func(d *deployment) {
		backup := d.store.Backup()
		d.start("late")
		time.Sleep(2 * time.Second)
		d.restoreStore(backup)
		time.Sleep(5 * time.Second)
		if _, err := (objectstest.Client{Store: d.store, Host: "h0"}).Get(d.ctx, objects.Hosts, "late"); err != nil {
			t.Errorf("registration of a host that the store forgot: %v", err)
		}
		time.Sleep(countInterval)
		for _, c := range d.hosts {
			if n := queryState(c, func() int { return c.hostCount }); n != testHosts+1 {
				t.Errorf("%s counts %d hosts, want %d", c.host, n, testHosts+1)
			}
		}
	})
}
