package latency

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"
)

var testSettings = Settings{
	Zones: map[string][]string{
		"randstad-a": {"127.0.1.0/24"}, "tanga-a": {"127.0.0.0/16", "127.0.2.0/24"},
	},
	Links:   []Link{{A: "randstad-a", B: "tanga-a", OneWay: Duration(20 * time.Millisecond)}},
	Within:  Duration(time.Millisecond),
	Default: Duration(3 * time.Millisecond),
}

// Guards against an address that is mapped to the wrong zone and so gets the latency of
// another pair of zones.
func TestTable(t *testing.T) {
	table, err := NewTable(testSettings)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		a, b string
		want time.Duration
	}{
		{"127.0.1.1", "127.0.2.1", 20 * time.Millisecond},
		{"127.0.3.1", "127.0.1.1", 20 * time.Millisecond},
		{"127.0.1.1", "127.0.1.2", time.Millisecond},
		{"127.0.1.1", "10.0.0.1", 3 * time.Millisecond},
	} {
		got := table.OneWay(table.Zone(netip.MustParseAddr(c.a)), table.Zone(netip.MustParseAddr(c.b)))
		if got != c.want {
			t.Errorf("%s to %s: got %v, want %v", c.a, c.b, got, c.want)
		}
	}
}

// Guards against malformed settings that are accepted and then silently ignored.
func TestTableRefusesMalformedSettings(t *testing.T) {
	zones := map[string][]string{"a": {"127.0.0.0/8"}}
	for name, s := range map[string]Settings{
		"prefix":       {Zones: map[string][]string{"a": {"127.0.0.1"}}},
		"unknown zone": {Zones: zones, Links: []Link{{A: "a", B: "b"}}},
		"negative":     {Zones: zones, Within: -1},
	} {
		if _, err := NewTable(s); err == nil {
			t.Errorf("malformed settings (%s) were accepted, want an error", name)
		}
	}
}

// Guards against bytes that arrive early, late or out of order. The test runs in virtual
// time.
func TestDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		delayed := Delay(near, 5*time.Millisecond)
		start := time.Now()
		go func() {
			echo := make([]byte, 4)
			_, _ = io.ReadFull(far, echo)
			_, _ = far.Write(echo)
		}()
		for _, b := range []byte("ping") {
			if _, err := delayed.Write([]byte{b}); err != nil {
				t.Error(err)
			}
		}
		got := make([]byte, 4)
		if _, err := io.ReadFull(delayed, got); err != nil || string(got) != "ping" {
			t.Errorf("got %q, error %v, want \"ping\"", got, err)
		}
		if took := time.Since(start); took != 10*time.Millisecond {
			t.Errorf("the round trip took %v, want 10ms", took)
		}
		_ = delayed.Close()
		_ = far.Close()
	})
}
