package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumgap/gypsumgap/core/platform"
	_ "github.com/gypsumgap/gypsumgap/core/testseed"
)

// fleet simulates a set of tables that exchange messages in steps of virtual
// time. A message is lost if its sender or receiver is down or if drop returns
// true. The fleet counts the messages sent and the members that they carried.
type fleet struct {
	now      time.Time
	tables   map[string]*Table
	names    []string
	down     map[string]bool
	drop     func(from, to string) bool
	messages int
	members  int
}

// newFleet returns a fleet of n hosts in three availability zones, each of which
// has merged the same host list.
func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		now:    time.Unix(1_000_000, 0),
		tables: map[string]*Table{},
		down:   map[string]bool{},
		drop:   func(string, string) bool { return false },
	}
	var hosts []platform.Host
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		f.names = append(f.names, name)
		hosts = append(hosts, platform.Host{Name: name, Address: name, Zone: fmt.Sprintf("z%d", i%3), Region: "r", State: platform.HostLive})
	}
	for i, name := range f.names {
		self := Member{Name: name, PeerAddress: name, ForwardAddress: name, Zone: hosts[i].Zone, Region: "r", Incarnation: 1}
		t := NewTable(self, DefaultOptions(), rand.New(rand.NewPCG(seed, uint64(i))), f.now)
		t.MergeHostList(f.now, hosts)
		f.tables[name] = t
	}
	return f
}

func (f *fleet) isLost(from, to string) bool { return f.down[from] || f.down[to] || f.drop(from, to) }

// run advances virtual time by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(250 * time.Millisecond) {
		for _, name := range f.names {
			if !f.down[name] {
				f.send(name, f.tables[name].Tick(f.now))
			}
		}
	}
}

// send delivers the commands of a host and reports their outcome to its table.
func (f *fleet) send(from string, cmds []Command) {
	t := f.tables[from]
	for _, c := range cmds {
		switch c.Kind {
		case SendProbe:
			f.messages += 2
			f.members += len(c.Message.Updates)
			if f.isLost(from, c.Target.Name) || f.isLost(c.Target.Name, from) {
				f.send(from, t.ProbeFailed(f.now, c.Target.Name))
				continue
			}
			answer := f.tables[c.Target.Name].HandleProbe(f.now, c.Message)
			f.members += len(answer.Updates)
			t.ProbeAnswered(f.now, c.Target.Name, answer)
		case SendIndirectProbe:
			f.messages += 4
			reached := !f.isLost(from, c.Via.Name) && !f.isLost(c.Via.Name, c.Target.Name)
			t.IndirectProbeDone(f.now, c.Target.Name, reached)
		}
	}
}

// state returns the state of host of in the table of host at, or 0 if the table
// does not contain it.
func (f *fleet) state(at, of string) State {
	for _, m := range f.tables[at].Members() {
		if m.Name == of {
			return m.State
		}
	}
	return 0
}

// Guards against a dead host that stays an owner because the platform's list
// still names it as live.
func TestDeadHostIsFoundByAll(t *testing.T) {
	f := newFleet(21, 1)
	f.run(10 * time.Second)
	f.down["e3"] = true
	f.run(40 * time.Second)
	for _, name := range f.names {
		if name != "e3" && f.state(name, "e3") != Dead {
			t.Errorf("%s has e3 in state %s, want dead", name, f.state(name, "e3"))
		}
	}
}

// Guards against a healthy host that is declared dead because the network path
// between it and one other host is broken.
func TestBrokenPathDoesNotMarkHostDead(t *testing.T) {
	f := newFleet(9, 2)
	f.drop = func(from, to string) bool { return from == "e1" && to == "e2" || from == "e2" && to == "e1" }
	f.run(60 * time.Second)
	for _, name := range f.names {
		if s := f.state(name, "e2"); s != Alive {
			t.Errorf("%s has e2 in state %s, want alive", name, s)
		}
	}
}

// Guards against a host that restarted or reconnected but stays dead in the
// tables of other hosts.
func TestHostReturns(t *testing.T) {
	f := newFleet(9, 3)
	f.down["e4"] = true
	f.run(40 * time.Second)
	f.down["e4"] = false
	f.run(60 * time.Second)
	for _, name := range f.names {
		if s := f.state(name, "e4"); s != Alive {
			t.Errorf("%s has e4 in state %s, want alive", name, s)
		}
	}
}

// Guards against tables that do not converge after random message loss and
// hosts that were down for a while.
func TestTablesConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 12).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"))
		loss := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "loss"), 0))
		f.drop = func(string, string) bool { return loss.IntN(3) == 0 }
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			f.down[rapid.SampledFrom(f.names).Draw(t, "down")] = true
			f.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
			f.down = map[string]bool{}
		}
		f.drop = func(string, string) bool { return false }
		f.run(3 * time.Minute)
		for _, at := range f.names {
			for _, of := range f.names {
				if s := f.state(at, of); s != Alive {
					t.Fatalf("%s has %s in state %s three minutes after the faults ended, want alive", at, of, s)
				}
			}
		}
	})
}

// Guards against a leaving host that keeps its databases.
func TestLeavingHostOwnsNothing(t *testing.T) {
	f := newFleet(9, 4)
	f.run(10 * time.Second)
	f.tables["e0"].Leave(f.now)
	f.run(15 * time.Second)
	for i := range 200 {
		for _, o := range Owners(fmt.Sprintf("db%d", i), "r", f.tables["e5"].Members()) {
			if o.Name == "e0" {
				t.Fatalf("leaving host e0 still owns db%d", i)
			}
		}
	}
}

// Guards against tables that keep every replaced host, so that they grow and
// hosts continue to probe those that are gone.
func TestReplacedHostIsForgotten(t *testing.T) {
	f := newFleet(9, 6)
	f.run(10 * time.Second)
	f.tables["e0"].Leave(f.now)
	f.run(15 * time.Second)
	f.down["e0"] = true
	var rest []platform.Host
	for _, name := range f.names[1:] {
		rest = append(rest, platform.Host{Name: name, Address: name, Zone: "z0", Region: "r", State: platform.HostLive})
	}
	for _, name := range f.names[1:] {
		f.tables[name].MergeHostList(f.now, rest)
	}
	f.run(12 * time.Minute)
	for _, name := range f.names[1:] {
		if s := f.state(name, "e0"); s != 0 {
			t.Errorf("%s still has e0, in state %s", name, s)
		}
	}
}

// Guards against the loss of a host that moves databases whose first owner it
// was not, and against two owners in the same availability zone.
func TestOwnersMoveLittleAndSpanZones(t *testing.T) {
	f := newFleet(12, 5)
	f.run(20 * time.Second)
	members := f.tables["e0"].Members()
	without := members[1:]
	for i := range 300 {
		database := fmt.Sprintf("db%d", i)
		before := Owners(database, "r", members)
		after := Owners(database, "r", without)
		if before[0].Zone == before[1].Zone {
			t.Errorf("%s: both owners are in zone %s", database, before[0].Zone)
		}
		if before[0].Name != members[0].Name && before[0].Name != after[0].Name {
			t.Errorf("%s: first owner moved from %s to %s although it was not removed", database, before[0].Name, after[0].Name)
		}
	}
}

// BenchmarkDetection reports the virtual time until host e0 declares a host that
// went down dead, and how many messages each host sends meanwhile.
func BenchmarkDetection(b *testing.B) {
	for _, n := range []int{21, 250, 1000, 3000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			for range b.N {
				f := newFleet(n, 7)
				f.run(5 * time.Second)
				f.messages, f.members = 0, 0
				f.down["e1"] = true
				start := f.now
				for f.state("e0", "e1") != Dead {
					f.run(time.Second)
				}
				detected := f.now.Sub(start).Seconds()
				b.ReportMetric(detected, "virtual-s/detection")
				b.ReportMetric(float64(f.messages)/float64(n)/detected, "messages/host/s")
				b.ReportMetric(float64(f.members)/float64(n)/detected, "members/host/s")
			}
		})
	}
}

// Guards against a drained host that stays in state Leaving after it has stopped,
// so that its connections are never reclaimed.
func TestLeavingHostThatStopsIsDead(t *testing.T) {
	f := newFleet(9, 8)
	f.run(10 * time.Second)
	f.tables["e0"].Leave(f.now)
	f.run(10 * time.Second)
	f.down["e0"] = true
	f.run(40 * time.Second)
	for _, name := range f.names[1:] {
		if s := f.state(name, "e0"); s != Dead {
			t.Errorf("%s has e0 in state %s, want dead", name, s)
		}
	}
}

// Guards against a host that has not reached the store but takes databases from
// hosts that hold connections, and against databases without an owner when no
// host has reached the store.
func TestJoiningHostOwnsNothingWhileOthersCan(t *testing.T) {
	ready := Member{Name: "e1", Zone: "z1", Region: "r", State: Alive, Incarnation: 1, ForwardAddress: "e1"}
	joining := Member{Name: "e2", Zone: "z2", Region: "r", State: Alive, Incarnation: 1}
	for i := range 50 {
		database := fmt.Sprintf("db%d", i)
		if got := Owners(database, "r", []Member{ready, joining}); len(got) != 1 || got[0].Name != "e1" {
			t.Errorf("%s: owners %v, want only the ready host e1", database, got)
		}
		if got := Owners(database, "r", []Member{joining}); len(got) != 1 {
			t.Errorf("%s: %d owners while the only host is joining, want 1", database, len(got))
		}
	}
}
