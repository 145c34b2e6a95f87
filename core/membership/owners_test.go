package membership

import (
	"fmt"
	"testing"
)

// Guards against hosts that choose different hosts from the same list, and
// against a loss that moves those that had not chosen the lost host.
func TestSelectHost(t *testing.T) {
	if got := SelectHost("relay", nil); got != "" {
		t.Errorf("got %q for no hosts, want none", got)
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
			t.Errorf("got %q without %s, want %q", got, lost, chosen)
		}
		if lost == chosen && (got == chosen || got == "") {
			t.Errorf("got %q after the loss of the first", got)
		}
	}
}
