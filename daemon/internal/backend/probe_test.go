package backend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/statement/statementtest"
)

// countingRecorder counts the opened connections.
type countingRecorder struct{ opened int }

func (r *countingRecorder) ConnectionOpened(string)                           { r.opened++ }
func (*countingRecorder) PrimaryChanged(string, string, group.Term)           {}
func (*countingRecorder) SessionChangeRefused(string, string, statement.Code) {}

// Guards against probes that open a connection each although the pool has an
// idle one. Every new connection takes a connection slot of the backend server.
func TestProbesUsePooledConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := statementtest.New("service", statementtest.Options{DialTime: 10 * time.Millisecond}, "s1", "s2", "s3")
		recorder := &countingRecorder{}
		g := NewGroup("service", Options{
			Backends: statementtest.Backends{service}, Recorder: recorder, Now: time.Now, Zone: "a", RegionOf: map[string]string{"a": "r"},
		})
		g.SetService(catalog.Service{Name: "service", ConnectionLimit: 10}, 1)
		g.SetServers(service.Catalog())
		for range 200 {
			g.ProbeIfDue(true)
			time.Sleep(100 * time.Millisecond)
		}
		if recorder.opened > 3 {
			t.Errorf("opened %d connections in 20 s, want at most one per server", recorder.opened)
		}
		if h := g.Health(); h.Primary != "s1" || time.Since(h.VerifiedAt) > 2*HolderProbeInterval {
			t.Errorf("got health %+v, want s1 as a recently verified primary", h)
		}
		g.Close()
		synctest.Wait()
	})
}

// Guards against a suspicion that remains, and is reported, after the primary
// answers again. This happens if probes stop because the service is no longer
// used.
func TestSuspicionEndsWithoutUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := statementtest.New("service", statementtest.Options{DialTime: 10 * time.Millisecond}, "s1")
		g := NewGroup("service", Options{
			Backends: statementtest.Backends{service}, Recorder: &countingRecorder{}, Now: time.Now, Zone: "a", RegionOf: map[string]string{"a": "r"},
		})
		g.SetService(catalog.Service{Name: "service", ConnectionLimit: 10}, 1)
		g.SetServers(service.Catalog())
		tick := func(d time.Duration) {
			for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
				g.ProbeIfDue(false)
			}
		}
		g.SelectForRead(nil)
		service.Hang("s1")
		tick(2 * time.Second)
		if !g.Health().Suspected {
			t.Fatal("primary that does not answer is not suspected after 2 s")
		}
		tick(2 * useWindow)
		service.Start("s1")
		tick(2 * time.Second)
		if g.Health().Suspected {
			t.Error("primary is still suspected 2 s after it answers again")
		}
		g.Close()
		synctest.Wait()
	})
}

// Guards against a host that keeps unused connections while the server has none
// left for other hosts.
func TestIdleScarceConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := statementtest.New("service", statementtest.Options{DialTime: 10 * time.Millisecond, ConnectionLimit: 2}, "s1")
		var hosts []*Group
		for range 3 {
			g := NewGroup("service", Options{
				Backends: statementtest.Backends{service}, Recorder: &countingRecorder{}, Now: time.Now, Zone: "a", RegionOf: map[string]string{"a": "r"},
			})
			g.SetService(catalog.Service{Name: "service", ConnectionLimit: 2}, 3)
			g.SetServers(service.Catalog())
			hosts = append(hosts, g)
		}
		served := make([]int, len(hosts))
		for range 100 {
			for i, g := range hosts {
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				if c, err := g.Primary().Acquire(ctx, probeClass); err == nil {
					served[i]++
					c.Release()
				}
				cancel()
				g.CloseIdle()
			}
			time.Sleep(100 * time.Millisecond)
		}
		for i, n := range served {
			if n < 20 {
				t.Errorf("host %d got a connection in %d of 100 attempts, want at least 20; all hosts: %v", i, n, served)
			}
		}
		for _, g := range hosts {
			g.Close()
		}
	})
}
