package fleet

import (
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
)

// usersOf returns the number of hosts that use a backend server.
func (d *deployment) usersOf(server string) int {
	n := 0
	for _, c := range d.hosts {
		if queryState(c, func() bool { return c.servers[server] != nil }) {
			n++
		}
	}
	return n
}

// checkReplacedEntry replaces the entry of a server by one that cannot be decoded.
func checkReplacedEntry(t *testing.T, d *deployment) {
	server := catalog.Server{ID: "x", Service: "service", Address: "x:1", Zone: "a", StatementLimit: 1, StartedUnixMilli: 7}
	others := func() {
		t.Helper()
		if n := d.usersOf("s1"); n != len(d.hosts) {
			t.Errorf("%d of %d hosts use the server of another entry", n, len(d.hosts))
		}
	}
	d.store.Register(server)
	time.Sleep(8 * time.Second)
	if n := d.usersOf("x"); n != len(d.hosts) {
		t.Fatalf("%d of %d hosts use a server that has registered", n, len(d.hosts))
	}
	d.store.Spoil("x")
	time.Sleep(lapseGracePeriod / 2)
	d.store.Register(server)
	time.Sleep(2 * lapseGracePeriod)
	if n := d.usersOf("x"); n != len(d.hosts) {
		t.Errorf("%d of %d hosts use a server that wrote its entry again in time", n, len(d.hosts))
	}
	d.store.Spoil("x")
	time.Sleep(lapseGracePeriod + 5*time.Second)
	if n := d.usersOf("x"); n != 0 {
		t.Errorf("%d hosts use a server whose entry was replaced by one that names none", n)
	}
	others()
}

// Guards against hosts that use a server for ever although another writer replaced its
// entry by one that names no server, or that drop the servers of other entries with it.
func TestReplacedEntryLapses(t *testing.T) {
	deploy(t, func(d *deployment) { checkReplacedEntry(t, d) })
}

// Guards against the same on hosts that learn of the entries from a relay.
func TestReplacedEntryLapsesForFollowers(t *testing.T) {
	deployLarge(t, 60, func(d *deployment) { checkReplacedEntry(t, d) })
}
