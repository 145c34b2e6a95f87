package placement

import "github.com/cespare/xxhash/v2"

// Relay chooses the host that reads the positions of primaries for the hosts of
// an availability zone, by rendezvous hashing of their names, so that hosts with
// the same list choose the same one and a change of the list moves few. It
// returns an empty string for an empty list.
func Relay(hosts []string) string {
	best := ""
	for _, name := range hosts {
		if best == "" || precedes(name, best) {
			best = name
		}
	}
	return best
}

func precedes(a, b string) bool {
	x, y := xxhash.Sum64String(a), xxhash.Sum64String(b)
	return x > y || x == y && a < b
}
