package fleet

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Guards against a soak in which no caller comes to a stopping host: the balancer must
// use all hosts of a zone while fewer than half are in rotation, and other zones while
// none is.
func TestBalancerFallsBack(t *testing.T) {
	hosts := []*Process{{Name: "a1", Zone: "a"}, {Name: "a2", Zone: "a"}, {Name: "a3", Zone: "a"}, {Name: "a4", Zone: "a"}, {Name: "b1", Zone: "b"}}
	for _, test := range []struct {
		ready []bool
		want  []string
	}{
		{[]bool{true, true, true, true, true}, []string{"a1", "a2", "a3", "a4"}},
		{[]bool{true, false, true, false, true}, []string{"a1", "a3"}},
		{[]bool{true, false, false, false, true}, []string{"a1", "a2", "a3", "a4"}},
		{[]bool{false, false, false, false, true}, []string{"b1"}},
		{[]bool{false, false, false, false, false}, []string{"a1", "a2", "a3", "a4"}},
	} {
		b := newBalancer(hosts)
		for i, ready := range test.ready {
			for range maxMisses {
				b.record(hosts[i], ready)
			}
		}
		rng, got := rand.New(rand.NewPCG(1, 1)), map[string]bool{}
		for range 200 {
			got[b.pick("a", rng).Name] = true
		}
		var names []string
		for name := range got {
			names = append(names, name)
		}
		slices.Sort(names)
		if !slices.Equal(names, test.want) {
			t.Errorf("ready %v: callers come to %v, want %v", test.ready, names, test.want)
		}
	}
}
