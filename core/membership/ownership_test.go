package membership

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// checkOwnership compares the results of an Ownership with those of Owners.
func checkOwnership(t *rapid.T, o *Ownership, databases []Database, members []Member) {
	owned := map[string][]string{}
	assignment := o.Assignment()
	for _, d := range databases {
		want := Owners(d.Name, d.Region, members)
		if got := assignment.Owners(d.Name); !reflect.DeepEqual(got, want) && len(got)+len(want) > 0 {
			t.Fatalf("database %s: owners %v, want %v as computed by Owners", d.Name, got, want)
		}
		for _, m := range want {
			owned[m.Name] = append(owned[m.Name], d.Name)
		}
	}
	for _, m := range members {
		slices.Sort(owned[m.Name])
		if got := o.OwnedBy(m.Name); !slices.Equal(got, owned[m.Name]) {
			t.Fatalf("host %s owns %v, want %v as computed by Owners", m.Name, got, owned[m.Name])
		}
	}
	if len(assignment.owners) != len(databases) {
		t.Fatalf("assignment contains %d databases, want %d", len(assignment.owners), len(databases))
	}
}

// Guards against a host that has applied many changes incrementally and arrives
// at other owners than a host that has just started.
func TestOwnershipEqualsFullComputation(t *testing.T) {
	regions := []string{"north", "south", "west"}
	drawMember := func(t *rapid.T) Member {
		region := rapid.SampledFrom(regions).Draw(t, "region")
		return Member{
			Name: fmt.Sprintf("e%d", rapid.IntRange(0, 19).Draw(t, "host")),
			// A host without a forward address is joining.
			ForwardAddress: rapid.SampledFrom([]string{"", "a0", "a1"}).Draw(t, "address"),
			Zone:           fmt.Sprintf("%s-%d", region, rapid.IntRange(0, 2).Draw(t, "zone")),
			Region:         region,
			State:          rapid.SampledFrom([]State{Alive, Alive, Suspect, Leaving, Dead}).Draw(t, "state"),
			Incarnation:    rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		o := NewOwnership()
		var databases []Database
		var members []Member
		var old *Assignment
		var oldOwners []Member
		t.Repeat(map[string]func(*rapid.T){
			"databases": func(t *rapid.T) {
				databases = nil
				for i := range rapid.IntRange(0, 30).Draw(t, "databases") {
					if rapid.Bool().Draw(t, "present") {
						databases = append(databases, Database{fmt.Sprintf("db%d", i), rapid.SampledFrom(regions).Draw(t, "home")})
					}
				}
				o.SetDatabases(databases)
			},
			"members": func(t *rapid.T) {
				byName := map[string]Member{}
				for _, m := range members {
					byName[m.Name] = m
				}
				for _, m := range rapid.SliceOfN(rapid.Custom(drawMember), 1, 10).Draw(t, "changes") {
					if rapid.IntRange(0, 4).Draw(t, "forget") == 0 {
						delete(byName, m.Name)
						continue
					}
					byName[m.Name] = m
				}
				members = nil
				for _, m := range byName {
					members = append(members, m)
				}
				o.SetMembers(members)
			},
			"": func(t *rapid.T) {
				checkOwnership(t, o, databases, members)
				if old != nil && !slices.Equal(old.Owners("db0"), oldOwners) {
					t.Fatal("owners of db0 in a published assignment changed after a later update")
				}
				old = o.Assignment()
				oldOwners = slices.Clone(old.Owners("db0"))
			},
		})
	})
}

// generateHosts returns n alive hosts in four regions with three availability
// zones each.
func generateHosts(n int) []Member {
	members := make([]Member, n)
	for i := range members {
		region := fmt.Sprintf("region-%d", i%4)
		members[i] = Member{
			Name:           fmt.Sprintf("host-%05d", i),
			PeerAddress:    fmt.Sprintf("10.%d.%d.1:8432", i>>8, i&255),
			ForwardAddress: fmt.Sprintf("10.%d.%d.1:7432", i>>8, i&255),
			Zone:           fmt.Sprintf("%s-%d", region, i/4%3),
			Region:         region,
			State:          Alive,
			Incarnation:    1_764_000_000_000_000 + uint64(i),
		}
	}
	return members
}

// generateDatabases returns n databases, spread evenly over the four regions of
// generateHosts.
func generateDatabases(n int) []Database {
	databases := make([]Database, n)
	for i := range databases {
		databases[i] = Database{Name: fmt.Sprintf("service-%d-db-%d", i/3, i%3), Region: fmt.Sprintf("region-%d", i%4)}
	}
	return databases
}

// Guards against a change of one host after which all databases are ranked
// again. The bounds are counts, with room for the variance of the hash, so the
// test does not depend on time.
func TestOneHostRanksFewDatabases(t *testing.T) {
	const hosts, databases = 400, 4000
	members := generateHosts(hosts)
	o := NewOwnership()
	o.SetDatabases(generateDatabases(databases))
	o.SetMembers(members)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		i := rng.IntN(hosts)
		gone := slices.Delete(slices.Clone(members), i, i+1)
		owned := uint64(len(o.OwnedBy(members[i].Name)))
		o.rankCount, o.scoreCount = 0, 0
		o.SetMembers(gone)
		if o.rankCount != owned {
			t.Errorf("removing a host that owned %d databases ranked %d, want as many", owned, o.rankCount)
		}
		o.rankCount, o.scoreCount = 0, 0
		o.SetMembers(members)
		// A host ranks among the first two for about 20 databases. It ranks before
		// the second owner, which is in another zone than the first, for a few more.
		if o.rankCount > 100 {
			t.Errorf("adding a host ranked %d databases, want at most 100", o.rankCount)
		}
		if limit := uint64(databases/4 + 100*hosts/4); o.scoreCount > limit {
			t.Errorf("adding a host computed %d scores, want at most %d", o.scoreCount, limit)
		}
	}
	o.rankCount = 0
	refuted := slices.Clone(members)
	refuted[7].Incarnation++
	o.SetMembers(refuted)
	if o.rankCount != 0 {
		t.Errorf("a new incarnation of a host ranked %d databases, want 0", o.rankCount)
	}
}
