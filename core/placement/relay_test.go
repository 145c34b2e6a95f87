package placement

import (
	"fmt"
	"testing"
)

// Guards against hosts that choose different relays from the same list, and
// against a loss that moves those that had not chosen the lost host.
func TestRelay(t *testing.T) {
	if got := Relay(nil); got != "" {
		t.Errorf("got %q for no hosts, want none", got)
	}
	var hosts []string
	for i := range 20 {
		hosts = append(hosts, fmt.Sprintf("host-%d", i))
	}
	chosen := Relay(hosts)
	for i, lost := range hosts {
		rest := append(append([]string{}, hosts[i+1:]...), hosts[:i]...)
		got := Relay(rest)
		if lost != chosen && got != chosen {
			t.Errorf("got %q without %s, want %q", got, lost, chosen)
		}
		if lost == chosen && (got == chosen || got == "") {
			t.Errorf("got %q after the loss of the relay", got)
		}
	}
}
