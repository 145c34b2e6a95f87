package membership

import (
	"fmt"
	"testing"
)

// Guards against a selection that depends on the order of the list, so that
// hosts with the same list disagree, and against one that changes although the
// host removed from the list was not the selected one.
func TestSelectHost(t *testing.T) {
	if got := SelectHost("relay", nil); got != "" {
		t.Errorf("empty list: got host %q, want an empty string", got)
	}
	var hosts []string
	for i := range 20 {
		hosts = append(hosts, fmt.Sprintf("host-%d", i))
	}
	chosen := SelectHost("relay", hosts)
	for i, lost := range hosts {
		rest := append(append([]string{}, hosts[i+1:]...), hosts[:i]...)
		got := SelectHost("relay", rest)
		if lost != chosen && got != chosen {
			t.Errorf("selected %q after the removal of %s, want %q", got, lost, chosen)
		}
		if lost == chosen && (got == chosen || got == "") {
			t.Errorf("selected %q after the removal of the selected host, want another host", got)
		}
	}
}
