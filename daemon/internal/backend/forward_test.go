package backend

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/statement/statementtest"
)

// testOwner is an owner in the same process.
type testOwner struct {
	name  string
	group *Group
	// err and unavailable replace the result. If loseAnswers is set, batches are
	// executed but not answered.
	err                      error
	unavailable, loseAnswers bool
	calls                    atomic.Int64
}

func (o *testOwner) Name() string { return o.name }

func (o *testOwner) Execute(ctx context.Context, _, server string, b Batch) (BatchResult, error) {
	o.calls.Add(1)
	switch {
	case o.err != nil:
		return BatchResult{}, o.err
	case o.unavailable:
		return BatchResult{Unavailable: true}, nil
	}
	result := o.group.Execute(ctx, server, b)
	if o.loseAnswers {
		return BatchResult{}, errors.New("connection lost")
	}
	return result, nil
}

// groupOf returns a group of one of two hosts that share four connections to each
// server of the service.
func groupOf(service *statementtest.Service) *Group {
	g := NewGroup("service", Options{Backends: statementtest.Backends{service}, Recorder: &countingRecorder{}, Now: time.Now, Zone: "a"})
	g.SetService(catalog.Service{Name: "service", ConnectionLimit: 4}, 2)
	g.SetServers(service.Catalog())
	g.SetTransactionIdleTimeout(3 * time.Second)
	return g
}

// forwarding is a host whose statements two owners run.
type forwarding struct {
	service       *statementtest.Service
	entry         *Group
	first, second *testOwner
}

func newForwarding() *forwarding {
	service := statementtest.New("service", statementtest.Options{StatementTime: 5 * time.Millisecond, ConnectionLimit: 4}, "s1", "s2")
	f := &forwarding{
		service: service, entry: groupOf(service),
		first: &testOwner{name: "o1", group: groupOf(service)}, second: &testOwner{name: "o2", group: groupOf(service)},
	}
	f.entry.SetOwners([]Owner{f.first, f.second})
	return f
}

// close ends the hosts and waits for their goroutines.
func (f *forwarding) close() {
	for _, g := range []*Group{f.entry, f.first.group, f.second.group} {
		g.Close()
	}
	time.Sleep(10 * time.Second)
}

// inForwarding runs a test with a host whose statements two owners run.
func inForwarding(t *testing.T, test func(service *statementtest.Service, entry *Group, first, second *testOwner)) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwarding()
		defer f.close()
		test(f.service, f.entry, f.first, f.second)
	})
}

func writeOf(id string) statement.Statement {
	return statement.Statement{ID: id, Kind: statement.Write, Text: "WRITE item " + id}
}

// forward sends statements to the primary on a new connection.
func forward(g *Group, statements ...statement.Statement) ([]statement.Answer, bool, error) {
	c, err := g.Primary().Acquire(context.Background(), writeClass)
	if err != nil {
		return nil, false, err
	}
	defer c.Release()
	return c.ExchangeAsPrimary(time.Now().Add(time.Second), Session{}, statements...)
}

// Guards against hosts whose shares add up to more than the limit, so that some hold
// all connections and others get none.
func TestSharesStayWithinLimit(t *testing.T) {
	for hosts := 1; hosts <= 40; hosts++ {
		for limit := 1; limit <= 200; limit++ {
			g := NewGroup("service", Options{Recorder: &countingRecorder{}, Now: time.Now})
			g.SetService(catalog.Service{Name: "service", ConnectionLimit: limit}, hosts)
			users := hosts
			if owners := OwnerCount(limit, hosts); owners > 0 {
				users = owners
			}
			// A single host or owner may need more than its share to serve at all.
			if share := int(g.connectionShare.Load()); users > 1 && share*users > limit {
				t.Errorf("%d hosts with a limit of %d: %d users have %d connections each", hosts, limit, users, share)
			}
		}
	}
}

// Guards against a service that is not served when the only host with connections to
// it is lost.
func TestServiceHasMoreThanOneOwner(t *testing.T) {
	for limit := 2; limit <= 40; limit++ {
		if n := OwnerCount(limit, 2*limit); n < 2 {
			t.Errorf("limit of %d connections: got %d owners, want two or more", limit, n)
		}
	}
}

// Guards against a host without connections that opens some, or loses answers.
func TestOwnerRunsStatements(t *testing.T) {
	inForwarding(t, func(service *statementtest.Service, entry *Group, _, second *testOwner) {
		answers, _, err := forward(entry, writeOf("w1"))
		if err != nil || answers[0].Code != statement.OK || answers[0].Signature == "" {
			t.Errorf("got answers %+v and error %v, want the server's answer", answers, err)
		}
		if n := service.Connections("s1"); n != 1 || second.calls.Load() != 0 {
			t.Errorf("got %d connections and %d calls of the second owner, want one connection of the first", n, second.calls.Load())
		}
	})
}

// Guards against a host that keeps connections which it opened before other hosts
// owned them, so that the owners get none.
func TestHostGivesConnectionsToOwners(t *testing.T) {
	inForwarding(t, func(service *statementtest.Service, entry *Group, first, second *testOwner) {
		entry.SetOwners(nil)
		c, err := acquire(entry)
		if err != nil {
			t.Fatal(err)
		}
		c.Release()
		if service.Connections("s1") != 1 {
			t.Fatal("host opened no connection")
		}
		entry.SetOwners([]Owner{first, second})
		entry.CloseIdle()
		if n := service.Connections("s1"); n != 0 {
			t.Errorf("host still holds %d connections, want none", n)
		}
	})
}

// Guards against statements that fail because one owner is away, and against a
// write that is repeated although it may have run.
func TestNextOwnerIsAskedOnlyIfNothingWasSent(t *testing.T) {
	tests := map[string]struct {
		fail    func(*testOwner)
		wantErr bool
	}{
		"not reached": {func(o *testOwner) { o.err = ErrNotSent }, false},
		"stopping":    {func(o *testOwner) { o.unavailable = true }, false},
		"answer lost": {func(o *testOwner) { o.loseAnswers = true }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inForwarding(t, func(service *statementtest.Service, entry *Group, first, _ *testOwner) {
				tt.fail(first)
				_, mayRun, err := forward(entry, writeOf("w1"))
				if tt.wantErr && (err == nil || !mayRun) || !tt.wantErr && err != nil {
					t.Errorf("got error %v and mayRun %t", err, mayRun)
				}
				if n := service.ExecutionCount("w1"); n != 1 {
					t.Errorf("write ran %d times, want once", n)
				}
				if _, _, err := forward(entry, writeOf("w2")); err != nil {
					t.Errorf("next write: %v, want it to go to the other owner", err)
				}
			})
		})
	}
}

// Guards against a transaction whose statements run on several connections, and
// against one that keeps its connection when its caller is gone.
func TestOwnerHoldsTransaction(t *testing.T) {
	inForwarding(t, func(service *statementtest.Service, entry *Group, first, _ *testOwner) {
		c, _ := entry.Primary().Acquire(context.Background(), writeClass)
		deadline := time.Now().Add(time.Second)
		for _, s := range []statement.Statement{{Kind: statement.Begin}, writeOf("w1"), {ID: "c1", Kind: statement.Commit}} {
			if answers, _, err := c.ExchangeAsPrimary(deadline, Session{}, s); err != nil || answers[0].Code != statement.OK {
				t.Fatalf("statement %d: answers %+v, error %v", s.Kind, answers, err)
			}
		}
		c.Release()
		if service.ExecutionCount("w1") != 1 || len(service.Committed()) != 1 {
			t.Errorf("got %d executions and %d commits, want one of each", service.ExecutionCount("w1"), len(service.Committed()))
		}
		abandoned, _ := entry.Primary().Acquire(context.Background(), writeClass)
		if _, _, err := abandoned.ExchangeAsPrimary(deadline, Session{}, statement.Statement{Kind: statement.Begin}, writeOf("w2")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if _, _, err := abandoned.ExchangeAsPrimary(time.Now().Add(time.Second), Session{}, statement.Statement{ID: "c2", Kind: statement.Commit}); err == nil {
			t.Error("abandoned transaction was committed")
		}
		if n := len(first.group.held.conns); n != 0 || len(service.Committed()) != 1 {
			t.Errorf("owner holds %d connections and %d commits took place, want none held and one commit", n, len(service.Committed()))
		}
	})
}

// Guards against session values of one caller that another caller's statement sees.
func TestOwnerSeparatesSessions(t *testing.T) {
	inForwarding(t, func(_ *statementtest.Service, entry *Group, _, _ *testOwner) {
		for _, want := range []string{"v=1", "v=2", ""} {
			values := map[string]string{}
			if want != "" {
				values["v"] = want[2:]
			}
			c, _ := entry.Primary().Acquire(context.Background(), writeClass)
			answers, _, err := c.ExchangeAsPrimary(time.Now().Add(time.Second), Session{Values: values}, writeOf("w"+want))
			c.Release()
			if err != nil {
				t.Fatal(err)
			}
			if sig, err := statementtest.ParseSignature(answers[0].Signature); err != nil || sig.Values != want {
				t.Errorf("statement ran with session values %q (%v), want %q", sig.Values, err, want)
			}
		}
	})
}

// Guards against a prepared statement that runs instead of another host's one of the
// same name.
func TestOwnerSeparatesPreparedNames(t *testing.T) {
	inForwarding(t, func(_ *statementtest.Service, entry *Group, _, _ *testOwner) {
		for _, writes := range []bool{false, true} {
			c, _ := entry.Primary().Acquire(context.Background(), writeClass)
			prepare := &statement.Statement{Kind: statement.Prepare, Name: "g1", Value: fmt.Sprint("shape ", writes), Writes: writes}
			answers, _, err := c.Exchange(time.Now().Add(time.Second), Session{Prepare: prepare}, statement.Statement{ID: fmt.Sprint(writes), Kind: statement.Execute, Name: "g1", Arguments: "item data"})
			c.Release()
			if err != nil || answers[0].Code != statement.OK {
				t.Fatalf("got answers %+v and error %v", answers, err)
			}
			if sig, _ := statementtest.ParseSignature(answers[0].Signature); (sig.Length == 1) != writes {
				t.Errorf("prepared statement with writes %t left a log of length %d", writes, sig.Length)
			}
		}
	})
}

// Guards against the handle of an earlier process of an owner that names another
// host's transaction.
func TestHandlesOfRestartedOwner(t *testing.T) {
	inForwarding(t, func(_ *statementtest.Service, entry *Group, first, _ *testOwner) {
		begin := func() *Conn {
			c, _ := entry.Primary().Acquire(context.Background(), writeClass)
			if _, _, err := c.ExchangeAsPrimary(time.Now().Add(time.Second), Session{}, statement.Statement{Kind: statement.Begin}); err != nil {
				t.Fatal(err)
			}
			return c
		}
		old := begin()
		former := first.group
		defer former.Close()
		first.group = groupOf(statementtest.New("service", statementtest.Options{}, "s1", "s2"))
		other := begin()
		if _, mayRun, err := old.ExchangeAsPrimary(time.Now().Add(time.Second), Session{}, writeOf("w1")); err == nil || mayRun {
			t.Errorf("statement of a lost transaction got error %v and mayRun %t, want a failure", err, mayRun)
		}
		if _, _, err := old.ExchangeAsPrimary(time.Now().Add(time.Second), Session{}, writeOf("w2")); err == nil {
			t.Error("statement after a lost transaction ran outside it")
		}
		old.Release()
		other.Release()
	})
}

// Guards against a statement that waits for a connection of the owner until the
// other host gives up, and whose outcome is then unknown.
func TestOwnerRefusesInTime(t *testing.T) {
	inForwarding(t, func(_ *statementtest.Service, entry *Group, first, second *testOwner) {
		second.err = ErrNotSent
		var held []*Conn
		for {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			c, err := first.group.Primary().acquireOwn(ctx, forwardClasses[0])
			cancel()
			if err != nil {
				break
			}
			held = append(held, c)
		}
		if len(held) == 0 {
			t.Fatal("owner has no connections")
		}
		began := time.Now()
		_, mayRun, err := forward(entry, writeOf("w1"))
		if took := time.Since(began); err == nil || mayRun || took >= time.Second {
			t.Errorf("got error %v and mayRun %t after %s, want a refusal within the time limit", err, mayRun, took)
		}
		for _, c := range held {
			c.Release()
		}
	})
}

// Guards against most hosts being starved where a service has far fewer connections
// than hosts: it plays 60 hosts with a connection limit of 12, each with a write
// every 200 ms, and counts what their callers get within the latency objective.
func TestManyHostsShareFewConnections(t *testing.T) {
	const hosts, limit, objective = 60, 12, 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		service := statementtest.New("service", statementtest.Options{StatementTime: 5 * time.Millisecond, DialTime: 12 * time.Millisecond, ConnectionLimit: limit}, "s1")
		var groups []*Group
		var owners []Owner
		for i := range hosts {
			g := NewGroup("service", Options{Backends: statementtest.Backends{service}, Recorder: &countingRecorder{}, Now: time.Now, Zone: "a"})
			g.SetService(catalog.Service{Name: "service", ConnectionLimit: limit}, hosts)
			g.SetServers(service.Catalog())
			groups = append(groups, g)
			if i < OwnerCount(limit, hosts) {
				owners = append(owners, &testOwner{name: fmt.Sprint("o", i), group: g})
			}
		}
		for i, g := range groups[len(owners):] {
			g.SetOwners([]Owner{owners[i%len(owners)]})
		}
		var mu sync.Mutex
		served, total := 0, 0
		var running sync.WaitGroup
		for i, g := range groups {
			running.Go(func() {
				time.Sleep(time.Duration(i) * 3 * time.Millisecond)
				for n := range 50 {
					ctx, cancel := context.WithTimeout(context.Background(), objective)
					ok := false
					if c, err := g.Primary().Acquire(ctx, writeClass); err == nil {
						answers, _, err := c.ExchangeAsPrimary(time.Now().Add(objective), Session{}, writeOf(fmt.Sprintf("w%d-%d", i, n)))
						ok = err == nil && answers[0].Code == statement.OK
						c.Release()
					}
					cancel()
					mu.Lock()
					total++
					if ok {
						served++
					}
					mu.Unlock()
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
		running.Wait()
		if share := float64(served) / float64(total); share < 0.99 {
			t.Errorf("%.3f of the writes were served within %s, want 0.99", share, objective)
		}
		for _, g := range groups {
			g.Close()
		}
		time.Sleep(10 * time.Second)
	})
}

// Guards against an owner whose process ends while it runs a statement of another host:
// a transaction between two statements was awaited, one with a running statement was not.
func TestDrainAwaitsRunningBatches(t *testing.T) {
	inForwarding(t, func(_ *statementtest.Service, entry *Group, first, _ *testOwner) {
		c, _ := entry.Primary().Acquire(context.Background(), writeClass)
		exchange := func(st statement.Statement) error {
			_, _, err := c.ExchangeAsPrimary(time.Now().Add(time.Second), Session{}, st)
			return err
		}
		if err := exchange(statement.Statement{Kind: statement.Begin}); err != nil {
			t.Fatal(err)
		}
		answered := make(chan error, 1)
		go func() { answered <- exchange(writeOf("w1")) }()
		time.Sleep(time.Millisecond)
		if n := first.group.DrainForwarded(true); n != 1 {
			t.Errorf("%d statements and transactions are awaited while a statement runs, want 1", n)
		}
		if err := <-answered; err != nil {
			t.Errorf("statement that ran when the drain began: %v", err)
		}
		if n := first.group.DrainForwarded(true); n != 0 {
			t.Errorf("%d statements and transactions are awaited after the rollback, want none", n)
		}
		if err := exchange(statement.Statement{ID: "c1", Kind: statement.Commit}); err == nil {
			t.Error("transaction was committed after its rollback")
		}
		c.Release()
	})
}
