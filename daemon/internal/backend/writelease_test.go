package backend

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/admission"
	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/statement/statementtest"
	"github.com/gypsumgap/gypsumgap/core/writelease"
)

var writeClass = &admission.Class{Name: "write", Priority: 1, QueueLimit: 10}

// leasedGroup returns a group of a host that holds a write lease, whose primary s1
// has been verified.
func leasedGroup(t *testing.T, service *statementtest.Service) (*Group, *writelease.Lease) {
	lease := writelease.New()
	lease.SetRegistered(time.Now(), time.Now(), 0)
	lease.Renew(writelease.Proof{RequestedAt: time.Now()})
	g := NewGroup("service", Options{Backends: statementtest.Backends{service}, Recorder: &countingRecorder{}, Now: time.Now, Zone: "a", WriteLease: lease})
	g.SetService(catalog.Service{Name: "service", ConnectionLimit: 8}, 1)
	g.SetServers(service.Catalog())
	if err := g.verifyPrimary(g.pools["s1"], false); err != nil {
		t.Fatal(err)
	}
	return g, lease
}

// acquire returns a connection to the primary.
func acquire(g *Group) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return g.Primary().Acquire(ctx, writeClass)
}

var writeStatement = statement.Statement{ID: "1", Kind: statement.Write, Text: "WRITE item data"}

// Guards against a write that waited for its connection while the lease expired or
// the primary was revoked, and is sent nevertheless.
func TestWriteIsNotSentWithoutLease(t *testing.T) {
	for name, end := range map[string]func(*writelease.Lease){
		"expired": func(*writelease.Lease) { time.Sleep(writelease.Duration) },
		"revoked": func(l *writelease.Lease) { l.Revoke(writelease.Revocations{"service": 1}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := statementtest.New("service", statementtest.Options{}, "s1", "s2")
				g, lease := leasedGroup(t, service)
				defer g.Close()
				c, err := acquire(g)
				if err != nil {
					t.Fatal(err)
				}
				end(lease)
				_, mayRun, err := c.ExchangeAsPrimary(time.Now().Add(time.Second), Session{}, writeStatement)
				c.Release()
				if !errors.Is(err, ErrNoWriteLease) || mayRun || service.ExecutionCount("1") != 0 {
					t.Errorf("got error %v, mayRun %t and %d executions, want ErrNoWriteLease and nothing sent", err, mayRun, service.ExecutionCount("1"))
				}
			})
		})
	}
}

// Guards against a revocation that is confirmed while a write is under way to the
// revoked primary, also if its entry has lapsed meanwhile.
func TestRevocationWaitsForOutstandingWrites(t *testing.T) {
	for _, lapsed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			service := statementtest.New("service", statementtest.Options{StatementTime: 200 * time.Millisecond}, "s1", "s2")
			g, lease := leasedGroup(t, service)
			defer g.Close()
			c, err := acquire(g)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				_, _, _ = c.ExchangeAsPrimary(time.Now().Add(time.Second), Session{}, writeStatement)
				c.Release()
			}()
			synctest.Wait()
			if lapsed {
				g.SetServers(nil)
			}
			lease.Revoke(writelease.Revocations{"service": 1})
			g.ApplyRevocations()
			began := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			if g.DrainRevoked(ctx) {
				t.Error("revocation was confirmed while a write was outstanding")
			}
			if !g.DrainRevoked(context.Background()) || time.Since(began) < 200*time.Millisecond {
				t.Errorf("revocation was confirmed after %s, want it after the write ended", time.Since(began))
			}
		})
	}
}

// Guards against a new primary that is not used before its first commit, and a
// replaced one that is used again because it still claims to be the primary.
func TestClaimsAreVerifiedAfterRevocation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := statementtest.New("service", statementtest.Options{ReplacedPrimaryContinues: true}, "s1", "s2")
		g, lease := leasedGroup(t, service)
		defer g.Close()
		service.SetIsolated("s1", true)
		lease.Revoke(writelease.Revocations{"service": 1})
		g.ApplyRevocations()
		g.SetServers(service.Catalog())
		synctest.Wait()
		if p := g.Primary(); p != nil {
			t.Errorf("replaced primary %s is used, want none", p.Server().ID)
		}
		if err := service.Promote(context.Background(), objects.Promotion{Service: "service", Server: "s2", Token: 1}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		g.SetServers(service.Catalog())
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if p, err := g.WaitPrimary(ctx); err != nil || p.Server().ID != "s2" {
			t.Errorf("got primary %v and error %v, want s2", p, err)
		}
	})
}

// hookedConn calls a function after each exchange.
type hookedConn struct {
	statement.Conn
	after func()
}

func (c hookedConn) Exchange(deadline time.Time, requests ...statement.Statement) ([]statement.Answer, bool, error) {
	defer c.after()
	return c.Conn.Exchange(deadline, requests...)
}

// Guards against a statement that is sent after the lease ended, because it was valid
// when the session values of the caller were sent.
func TestLeaseEndsWhileSessionIsSetUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := statementtest.New("service", statementtest.Options{}, "s1", "s2")
		g, lease := leasedGroup(t, service)
		defer g.Close()
		c := acquirePrimary(t, g)
		c.conn = hookedConn{c.conn, func() { lease.Revoke(writelease.Revocations{"service": 1}) }}
		_, mayRun, err := c.ExchangeAsPrimary(time.Now().Add(time.Second), sessionOf("t1"), writeStatement)
		c.Release()
		if !errors.Is(err, ErrNoWriteLease) || mayRun || service.ExecutionCount("1") != 0 {
			t.Errorf("got error %v, mayRun %t and %d executions, want ErrNoWriteLease and nothing sent", err, mayRun, service.ExecutionCount("1"))
		}
	})
}
