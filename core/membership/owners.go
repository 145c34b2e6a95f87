package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// OwnersPerDatabase is the number of hosts that hold connections to a
// database: one serves it and one is ready to take over immediately.
const OwnersPerDatabase = 2

// Owners ranks the hosts for a database by rendezvous hashing and returns the
// owners, highest score first. Only alive and suspect hosts of the region are
// eligible, or those of all regions if the region has none. The second owner is
// in another availability zone than the first if an eligible host is. Hosts
// that agree on the members agree on the owners, and a host that joins or
// leaves moves only the databases that it owns.
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

// scoredMember is a member with its rendezvous score for one database.
type scoredMember struct {
	Member
	score uint64
}

// rankMembers returns the eligible members, highest score first.
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

// eligibleInRegion returns the eligible members of the region, or those of all
// regions if it has none.
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

// eligibleMembers returns the members that may own databases. Suspect hosts are
// eligible, because most suspicions are refuted and each move of ownership costs
// connections. So are hosts that only the platform's list names: hosts that start
// together would otherwise each own everything until they have exchanged updates.
// A host that has not reached the store since its start can't hold connections
// yet and is eligible only if all running hosts are in that state.
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

// RankHosts returns the hosts in descending order of their rendezvous scores for a
// purpose.
func RankHosts(purpose string, hosts []string) []string {
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(a, b string) int {
		return compareScores(rendezvousScore(purpose, a), a, rendezvousScore(purpose, b), b)
	})
	return out
}

// SelectHost returns the host with the highest rendezvous score for a purpose.
// Hosts with the same list select the same host, and adding or removing a host
// changes the selection only if it is the one selected before or after. SelectHost
// returns an empty string for an empty list.
func SelectHost(purpose string, hosts []string) string {
	if len(hosts) == 0 {
		return ""
	}
	return slices.MinFunc(hosts, func(a, b string) int {
		return compareScores(rendezvousScore(purpose, a), a, rendezvousScore(purpose, b), b)
	})
}

// compareScores orders hosts by descending score, and equal scores by name.
func compareScores(scoreA uint64, a string, scoreB uint64, b string) int {
	return cmp.Or(cmp.Compare(scoreB, scoreA), cmp.Compare(a, b))
}

// rendezvousScore hashes the database and the host, separated by a zero byte.
func rendezvousScore(database, host string) uint64 {
	d := xxhash.New()
	// Writing to a Digest never returns an error.
	_, _ = d.WriteString(database)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}
