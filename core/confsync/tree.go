package confsync

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// watchersPerZone is the number of hosts in a zone that watch the store. The
	// second one keeps watching until a failure of the first is detected.
	watchersPerZone = 2
	// fanOut is the greatest number of children of a host in a tree.
	fanOut = 4
)

// zone holds the live hosts of the node's availability zone, in an order that
// is the same on every host with the same membership table.
type zone struct {
	// hosts are in rendezvous hashing order; the first watchersPerZone watch the store.
	hosts []string
}

func newZone(name string, members []Member) *zone {
	z := &zone{}
	for _, m := range members {
		if m.Zone == name {
			z.hosts = append(z.hosts, m.Name)
		}
	}
	sortByHash(z.hosts, "config watcher", 0)
	return z
}

func (z *zone) watchers() []string {
	return z.hosts[:min(watchersPerZone, len(z.hosts))]
}

// trees returns one tree for each watcher, which is its root. The order of the
// other hosts depends on the tree and the version, so that hosts below failed
// hosts in both trees are not the same for every version.
func (z *zone) trees(version uint64) []tree {
	var out []tree
	for i, root := range z.watchers() {
		t := tree{root}
		others := slices.DeleteFunc(slices.Clone(z.hosts), func(h string) bool { return h == root })
		sortByHash(others, "config tree", version<<1|uint64(i&1))
		out = append(out, append(t, others...))
	}
	return out
}

// tree is a complete fanOut-ary tree of hosts in breadth-first order: the
// children of the host at index i start at index i*fanOut+1.
type tree []string

func (t tree) children(host string) []string {
	i := slices.Index(t, host)
	if i < 0 {
		return nil
	}
	first := min(i*fanOut+1, len(t))
	return t[first:min(first+fanOut, len(t))]
}

// sortByHash orders hosts by the hash of their name, a purpose and a salt.
func sortByHash(hosts []string, purpose string, salt uint64) {
	keys := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		keys[h] = hash(purpose, salt, h)
	}
	slices.SortFunc(hosts, func(a, b string) int {
		return cmp.Or(cmp.Compare(keys[a], keys[b]), cmp.Compare(a, b))
	})
}

func hash(purpose string, salt uint64, host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(purpose))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(host))
	return splitMix64(h.Sum64() ^ splitMix64(salt))
}

// splitMix64 is the finalizer of SplitMix64. Without it, FNV-1a gives similar
// names the same order for every salt.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
