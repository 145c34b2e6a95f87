package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// OwnersPerDatabase is the number of hosts that hold connections to a
// database: one to serve and one to take over at once.
const OwnersPerDatabase = 2

// Owners ranks the hosts of a database by rendezvous hashing and returns the
// owners, best first. Only living hosts of the region are taken, or of all
// regions if it has none, and the second owner is in another availability zone
// than the first if there is one. Hosts that agree on the members agree on the
// owners, and a host that comes or goes moves only the databases it owns.
func Owners(database, region string, members []Member) []Member {
	ranked := rankMembers(database, region, members)
	if len(ranked) == 0 {
		return nil
	}
	first := ranked[0]
	second := slices.IndexFunc(ranked, func(m Member) bool { return m.Zone != first.Zone })
	switch {
	case second > 0:
		return []Member{first, ranked[second]}
	case len(ranked) > 1:
		return ranked[:OwnersPerDatabase:OwnersPerDatabase]
	default:
		return ranked
	}
}

type scoredMember struct {
	Member
	score uint64
}

func rankMembers(database, region string, members []Member) []Member {
	candidates := eligibleInRegion(region, members)
	scores := make([]scoredMember, len(candidates))
	for i, m := range candidates {
		scores[i] = scoredMember{m, rendezvousScore(database, m.Name)}
	}
	slices.SortFunc(scores, func(a, b scoredMember) int {
		return compareScores(a.score, a.Name, b.score, b.Name)
	})
	out := make([]Member, len(scores))
	for i, s := range scores {
		out[i] = s.Member
	}
	return out
}

// eligibleInRegion returns the eligible members of the region, or of all regions if it
// has none.
func eligibleInRegion(region string, members []Member) []Member {
	all := eligibleMembers(members)
	var inRegion []Member
	for _, m := range all {
		if m.Region == region {
			inRegion = append(inRegion, m)
		}
	}
	if len(inRegion) > 0 {
		return inRegion
	}
	return all
}

// eligibleMembers returns the members that may own databases. A suspect host still
// counts, because most suspicions are refuted and each move of ownership costs
// connections. So does a host that only the platform's list names, since hosts
// that start together would otherwise each own everything until they have heard
// of each other. A host that has not reached the store since its start can't
// hold connections yet and counts only if no other does.
func eligibleMembers(members []Member) []Member {
	var ready, running []Member
	for _, m := range members {
		if m.State != Alive && m.State != Suspect {
			continue
		}
		running = append(running, m)
		if !m.Joining() {
			ready = append(ready, m)
		}
	}
	if len(ready) > 0 {
		return ready
	}
	return running
}

// SelectHost returns the first of the hosts for a purpose in the order in which Owners
// ranks those of a database, so that hosts with the same list choose the same one
// and a change of the list moves few. It returns an empty string for an empty
// list.
func SelectHost(purpose string, hosts []string) string {
	if len(hosts) == 0 {
		return ""
	}
	return slices.MinFunc(hosts, func(a, b string) int {
		return compareScores(rendezvousScore(purpose, a), a, rendezvousScore(purpose, b), b)
	})
}

func compareScores(scoreA uint64, a string, scoreB uint64, b string) int {
	return cmp.Or(cmp.Compare(scoreB, scoreA), cmp.Compare(a, b))
}

func rendezvousScore(database, host string) uint64 {
	d := xxhash.New()
	// Writes to a digest do not fail.
	_, _ = d.WriteString(database)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}
