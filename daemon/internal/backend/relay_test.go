package backend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/statement/statementtest"
)

// Guards against treating a sample from another host as a proof that this host
// reaches the primary, and against accepting a sample of a replaced primary.
func TestSampleOfAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := statementtest.New("service", statementtest.Options{DialTime: 10 * time.Millisecond}, "s1", "s2")
		g := NewGroup("service", Options{
			Backends: statementtest.Backends{service}, Recorder: &countingRecorder{}, Now: time.Now, Zone: "a", RegionOf: map[string]string{"a": "r"},
		})
		g.SetService(catalog.Service{Name: "service", ConnectionLimit: 2}, 3)
		g.SetServers(service.Catalog())
		g.SelectForRead(nil)
		if !g.NeedsSamples() {
			t.Fatal("host needs no samples of a service in use with fewer connections than hosts")
		}
		service.Hang("s1")
		asked := time.Now()
		g.AddSample(Sample{Primary: "s1", Position: group.Position{Term: 2, Offset: 7}, SentAt: asked})
		if sent, position := g.Freshness.Latest(); !sent.Equal(asked) || position.Offset != 7 {
			t.Errorf("got latest sample %v of %s, want the one that was added", position, sent)
		}
		if h, known := g.ObservePrimary(); !known || !h.Suspected {
			t.Errorf("got health %+v (known: %t) of a primary that does not answer this host, want it suspected", h, known)
		}
		g.AddSample(Sample{Primary: "s2", Position: group.Position{Term: 3, Offset: 1}, SentAt: time.Now()})
		g.AddSample(Sample{Primary: "s1", Position: group.Position{Term: 2, Offset: 9}, SentAt: time.Now()})
		if h := g.Health(); h.Primary != "s2" || h.Term != 3 {
			t.Errorf("got primary %s of term %d, want s2 of term 3", h.Primary, h.Term)
		}
		if s, ok := g.RecentSample(); !ok || s.Primary != "s2" || s.Position.Offset != 1 {
			t.Errorf("got sample %+v (%t) for other hosts, want that of s2", s, ok)
		}
		time.Sleep(2 * time.Second)
		if s, ok := g.RecentSample(); ok {
			t.Errorf("got a sample sent at %s after 2 s, want none", s.SentAt)
		}
		service.Start("s1")
		g.Close()
		synctest.Wait()
	})
}

// Guards against a host that relies on samples from another host while its own
// connections to the primary fail.
func TestHostWithFailedConnectionsProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := statementtest.New("service", statementtest.Options{DialTime: 10 * time.Millisecond}, "s1", "s2")
		recorder := &countingRecorder{}
		g := NewGroup("service", Options{
			Backends: statementtest.Backends{service}, Recorder: recorder, Now: time.Now, Zone: "a", RegionOf: map[string]string{"a": "r"},
		})
		g.SetService(catalog.Service{Name: "service", ConnectionLimit: 2}, 3)
		g.SetServers(service.Catalog())
		position := group.Position{Term: 1, Offset: 1}
		pass := func(d time.Duration) {
			for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				g.SelectForRead(nil)
				g.AddSample(Sample{Primary: "s1", Position: position, SentAt: time.Now()})
				g.ProbeIfDue(false)
			}
		}
		pass(5 * time.Second)
		if recorder.opened > 0 {
			t.Errorf("opened %d connections, want none while another host provides samples", recorder.opened)
		}
		service.Hang("s1")
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if c, err := g.Primary().Acquire(ctx, probeClass); err == nil {
				c.Release()
			}
		}()
		pass(2 * time.Second)
		if !g.Health().Suspected {
			t.Error("primary to which connections fail is not suspected")
		}
		service.Start("s1")
		g.Close()
		time.Sleep(2 * dialTimeout)
	})
}
