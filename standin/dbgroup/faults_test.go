package dbgroup_test

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/group/pgcontrol"
	"github.com/gypsumgap/gypsumgap/standin/dbgroup"
)

// startQuery runs a query in the background and returns a channel for its error.
func startQuery(c *pgx.Conn) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(background, "SELECT 1")
		done <- err
	}()
	return done
}

// wantNoAnswer fails the test if a response arrives while other runs many queries.
func wantNoAnswer(t *testing.T, done <-chan error, other *pgx.Conn) {
	t.Helper()
	for range silenceProbeCount {
		exec(t, other, "SELECT 1")
	}
	select {
	case err := <-done:
		t.Fatalf("got a response (error %v), want none", err)
	default:
	}
}

// TestConnectionLimit guards against a connection limit that is not enforced, or that also
// rejects control connections.
func TestConnectionLimit(t *testing.T) {
	g := startGroup(t, func(o *dbgroup.Options) { o.ConnectionLimit = 1 })
	s := g.Slot(0)
	first := connect(t, s)
	_, err := tryConnect(s)
	wantCode(t, err, "53300")
	client := pgcontrol.New(pgcontrol.Options{})
	defer client.Close()
	status, err := client.Status(background, g.GroupSlots()[0])
	if err != nil || status.Connections != 1 || status.ConnectionLimit != 1 {
		t.Fatalf("got status %+v, error %v; want 1 connection of 1", status, err)
	}
	exec(t, first, "SET application_name = 'e1/7'")
	connections, err := client.Connections(background, g.GroupSlots()[0])
	if err != nil || len(connections) != 1 || connections[0] != (pgcontrol.Connection{PID: first.PgConn().PID(), Application: "e1/7"}) {
		t.Fatalf("got connections %+v, error %v; want the one with application name e1/7", connections, err)
	}
	_ = first.Close(background)
	await(t, "the closed connection is no longer counted", func() bool { return s.Status().Connections == 0 })
	connect(t, s)
}

// TestFreeze guards against a frozen slot that responds, or that loses the bytes it was
// sent while frozen.
func TestFreeze(t *testing.T) {
	g := startGroup(t, nil)
	c, other := connect(t, g.Slot(0)), connect(t, g.Slot(1))
	g.Slot(0).Freeze()
	done := startQuery(c)
	wantNoAnswer(t, done, other)
	g.Slot(0).Thaw()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// TestCutClients guards against a cut that affects clients with other addresses, or that
// cannot be ended.
func TestCutClients(t *testing.T) {
	s := startGroup(t, nil).Slot(0)
	config, err := pgx.ParseConfig("postgres://mechanic@" + s.Address() + "/" + testDatabase)
	if err != nil {
		t.Fatal(err)
	}
	config.DialFunc = (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}).DialContext
	c, err := pgx.ConnectConfig(background, config)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(background)
	other := connect(t, s)
	s.CutClients(netip.MustParsePrefix("127.0.0.9/32"))
	done := startQuery(c)
	wantNoAnswer(t, done, other)
	s.CutClients()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// TestSilentConnections guards against a silenced connection that recovers, against new
// connections that are silenced too, and against a silenced connection that is
// reported as running a statement.
func TestSilentConnections(t *testing.T) {
	g := startGroup(t, nil)
	s := g.Slot(0)
	c := connect(t, s)
	pid := c.PgConn().PID()
	s.SilenceConnections()
	done := startQuery(c)
	other := connect(t, s)
	wantNoAnswer(t, done, other)
	client := pgcontrol.New(pgcontrol.Options{})
	defer client.Close()
	running, err := client.IsRunning(background, g.GroupSlots()[0], pid)
	if err != nil || running {
		t.Fatalf("got running %v, error %v; want false", running, err)
	}
	_ = c.PgConn().Conn().Close()
	<-done
	await(t, "the closed connection is no longer counted", func() bool { return s.Status().Connections == 1 })
}

// TestActivity guards against a slow statement that is reported as ended while it runs.
func TestActivity(t *testing.T) {
	g := startGroup(t, nil)
	c := connect(t, g.Slot(0)).PgConn()
	client := pgcontrol.New(pgcontrol.Options{})
	defer client.Close()
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(background, "SELECT pg_sleep(3600)").ReadAll()
		done <- err
	}()
	await(t, "the statement runs", func() bool {
		running, err := client.IsRunning(background, g.GroupSlots()[0], c.PID())
		if err != nil {
			t.Fatal(err)
		}
		return running
	})
	g.Slot(0).Kill()
	if err := <-done; err == nil {
		t.Fatal("statement succeeded on a killed slot, want an error")
	}
}

// TestIdleWriterIsTerminated guards against an idle client that holds the writer lock
// forever.
func TestIdleWriterIsTerminated(t *testing.T) {
	s := startGroup(t, func(o *dbgroup.Options) { o.WriterIdleLimit = 1 }).Slot(0)
	holder := connect(t, s)
	exec(t, holder, "BEGIN")
	exec(t, holder, insertJob, 1, "held")
	exec(t, connect(t, s), insertJob, 1, "free")
	_, err := holder.Exec(background, "COMMIT")
	wantCode(t, err, "25P03")
}

// TestControlErrors guards against errors of the wrong kind: the host that performs a
// promotion must know whether a command may have been executed. It also guards
// against a local address that is not used, as the cut would then have no effect.
func TestControlErrors(t *testing.T) {
	g := startGroup(t, nil)
	slot := g.GroupSlots()[1]
	client := pgcontrol.New(pgcontrol.Options{LocalIP: netip.MustParseAddr("127.0.0.7")})
	defer client.Close()
	if _, err := client.Fence(background, slot, 1); !errors.Is(err, group.ErrRefused) {
		t.Fatalf("got error %v, want group.ErrRefused", err)
	}
	wantCode(t, func() error { _, err := client.Fence(background, slot, 1); return err }(), "55000")

	g.Slot(1).CutClients(netip.MustParsePrefix("127.0.0.7/32"))
	if err := fenceUntilCancelled(t, g, client, slot); !errors.Is(err, group.ErrNoAnswer) {
		t.Fatalf("on an open connection that is cut: got error %v, want group.ErrNoAnswer", err)
	}
	g.Slot(1).CutClients()
	g.Slot(1).Freeze()
	if err := fenceUntilCancelled(t, g, client, slot); !errors.Is(err, group.ErrUnreachable) {
		t.Fatalf("without a connection to a frozen slot: got error %v, want group.ErrUnreachable", err)
	}
	g.Slot(1).Thaw()

	status, err := client.Fence(background, slot, 5)
	if err != nil || status.AcceptedTerm != 5 || status.Role != group.Fenced {
		t.Fatalf("fence: got status %+v, error %v; want fenced at term 5", status, err)
	}
	g.Slot(1).Kill()
	if _, err := client.Status(background, slot); !errors.Is(err, group.ErrUnreachable) {
		t.Fatalf("got error %v, want group.ErrUnreachable", err)
	}
	if err := g.Slot(1).Restart(); err != nil {
		t.Fatal(err)
	}
	if status, err := client.Promote(background, slot, 5); err != nil || status.Role != group.Primary {
		t.Fatalf("promote: got status %+v, error %v; want primary", status, err)
	}
	if _, err := client.Follow(background, g.GroupSlots()[2], 5, slot.Address); err != nil {
		t.Fatal(err)
	}
}

// fenceUntilCancelled sends a fence command, checks that no response arrives, and
// cancels it.
func fenceUntilCancelled(t *testing.T, g *dbgroup.Group, client *pgcontrol.Client, slot group.Slot) error {
	t.Helper()
	ctx, cancel := context.WithCancel(background)
	done := make(chan error, 1)
	go func() {
		_, err := client.Fence(ctx, slot, 4)
		done <- err
	}()
	wantNoAnswer(t, done, connect(t, g.Slot(0)))
	cancel()
	return <-done
}

// TestControlReconnects guards against a command that is sent on a connection which the
// slot has closed: its outcome would be reported as unknown.
func TestControlReconnects(t *testing.T) {
	g := startGroup(t, nil)
	slot := g.GroupSlots()[1]
	client := pgcontrol.New(pgcontrol.Options{})
	defer client.Close()
	for term := group.Term(2); term < 6; term++ {
		if _, err := client.Fence(background, slot, term); err != nil {
			t.Fatal(err)
		}
		g.Slot(1).Kill()
		if err := g.Slot(1).Restart(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestAdmin guards against faults that another process cannot set, and against an invalid
// change that is applied in part.
func TestAdmin(t *testing.T) {
	g := startGroup(t, nil)
	server := httptest.NewServer(dbgroup.Admin(g))
	defer server.Close()
	client := dbgroup.AdminClient{URL: server.URL, HTTP: server.Client()}
	yes, limit, cut := true, 7, []int{0, 2}
	clients, bad := []string{"127.0.9.1", "127.0.8.0/24"}, []string{"somewhere"}
	state, err := client.SetFaults(background, testDatabase, 1, dbgroup.Faults{
		Leaving: &yes, ConnectionLimit: &limit, CutSlots: &cut, CutClients: &clients, Frozen: &yes,
	})
	if err != nil || !state.Status.Leaving || state.Status.ConnectionLimit != limit || !state.Frozen || len(state.CutClients) != 2 {
		t.Fatalf("got state %+v, error %v; want the faults that were set", state, err)
	}
	if _, err := client.SetFaults(background, testDatabase, 1, dbgroup.Faults{Killed: &yes, CutClients: &bad}); err == nil || !g.Slot(1).Running() {
		t.Fatalf("invalid change: got error %v, want an error and a running slot", err)
	}
	if _, err := client.SetFaults(background, testDatabase, 1, dbgroup.Faults{Killed: &yes}); err != nil || g.Slot(1).Running() {
		t.Fatalf("set Killed: got error %v, want none and a killed slot", err)
	}
	groups, err := client.Groups(background)
	if err != nil || len(groups) != 1 || groups[0].Slots[1].Running {
		t.Fatalf("got groups %+v, error %v; want one whose slot 1 is killed", groups, err)
	}
}
