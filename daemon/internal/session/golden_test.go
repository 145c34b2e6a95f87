package session

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"testing/synctest"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sebdah/goldie/v2"

	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
)

// wireCaller is a caller that logs each protocol message of its session.
type wireCaller struct {
	t   *testing.T
	nc  net.Conn
	fe  *pgproto3.Frontend
	log bytes.Buffer
}

func newWireCaller(t *testing.T, w *testProxy) *wireCaller { return newWireCallerWith(t, w, "") }

// newWireCallerWith connects a caller. A token that is not empty becomes its session
// token.
func newWireCallerWith(t *testing.T, w *testProxy, token string) *wireCaller {
	nc, err := w.n.dial(context.Background(), "tcp", w.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	c := &wireCaller{t: t, nc: nc, fe: pgproto3.NewFrontend(nc, nc)}
	parameters := map[string]string{"user": "mechanic", "database": "werkplaats-1-a"}
	if token != "" {
		parameters["gypsumgap.session_token"] = token
	}
	c.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters})
	c.receive()
	return c
}

func (c *wireCaller) logMessage(direction string, m any) {
	text, err := json.Marshal(m)
	if err != nil {
		c.t.Fatal(err)
	}
	fmt.Fprintf(&c.log, "%s %s\n", direction, text)
}

// send sends messages in one flush.
func (c *wireCaller) send(messages ...pgproto3.FrontendMessage) {
	c.t.Helper()
	for _, m := range messages {
		c.logMessage("caller:", m)
		c.fe.Send(m)
	}
	if err := c.fe.Flush(); err != nil {
		c.t.Fatal(err)
	}
}

// receive logs the answer up to ReadyForQuery or the end of the connection.
func (c *wireCaller) receive() {
	c.t.Helper()
	for {
		m, err := c.fe.Receive()
		if err != nil {
			c.log.WriteString("proxy:  closed\n")
			return
		}
		if k, ok := m.(*pgproto3.BackendKeyData); ok {
			m = &pgproto3.BackendKeyData{ProcessID: k.ProcessID}
		}
		c.logMessage("proxy: ", m)
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			return
		}
	}
}

func (c *wireCaller) query(sql string) {
	c.t.Helper()
	c.send(&pgproto3.Query{String: sql})
	c.receive()
}

// queryWithParameters runs a statement by the extended protocol.
func (c *wireCaller) queryWithParameters(sql string, values ...string) {
	c.t.Helper()
	bind := &pgproto3.Bind{}
	for _, v := range values {
		bind.Parameters = append(bind.Parameters, []byte(v))
	}
	c.send(&pgproto3.Parse{Query: sql}, bind, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{})
	c.receive()
}

// assertGolden compares the messages of the caller and the statements that the
// backend ran with a golden file.
func assertGolden(t *testing.T, w *testProxy, c *wireCaller) {
	t.Helper()
	for _, s := range w.backends[0].statements() {
		fmt.Fprintf(&c.log, "server: %s\n", s)
	}
	goldie.New(t, goldie.WithFixtureDir("testdata/sessions")).Assert(t, t.Name(), c.log.Bytes())
}

// Guards against a change of the messages that answer a request without a connection.
func TestGoldenRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, nil)
		w.router.begin = func(int) error { return &route.NotRunError{Reason: "queue of class job-card is full"} }
		c := newWireCaller(t, w)
		c.query("INSERT job_card /*class='job-card'*/")
		c.queryWithParameters("INSERT job_card", "42")
		assertGolden(t, w, c)
	})
}

// Guards against a stale read after a caller has moved to another proxy, which does
// not know of its earlier writes: the token of the first session must reach the
// router with each request of the second.
func TestGoldenTokenFromOtherProxy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, nil)
		const token = "werkplaats-1-a/1:100"
		w.router.finish = func(int) (string, error) { return token, nil }
		first := newWireCaller(t, w)
		first.query("INSERT floor_check")
		second := newWireCallerWith(t, w, token)
		second.query("SELECT 1 /*class='status-page'*/")
		second.query("SET gypsumgap.session_token = 'none'")
		second.query("SELECT 1 /*class='status-page'*/")
		first.log.Write(second.log.Bytes())
		for _, r := range w.router.begun() {
			fmt.Fprintf(&first.log, "router: class=%q token=%q\n", r.Class, r.Token)
		}
		assertGolden(t, w, first)
	})
}

// Guards against a replay whose messages differ from those of the first answer.
func TestGoldenReplayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, nil)
		w.router.finish = func(int) (string, error) { return "werkplaats-1-a/1:100", nil }
		c := newWireCaller(t, w)
		for range 2 {
			c.query("SET gypsumgap.request_key = 'claim-7'")
			c.queryWithParameters("SELECT $1", "paid")
		}
		assertGolden(t, w, c)
	})
}

// Guards against an unknown outcome that becomes visible to the caller although the
// request key resolves it.
func TestGoldenOutcomeResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, nil)
		w.backends[0].injectFaults("COMMIT", dropAfter)
		w.router.finish = func(int) (string, error) { return "werkplaats-1-a/2:7", nil }
		c := newWireCaller(t, w)
		c.query("INSERT claim /*request_key='claim-8'*/")
		assertGolden(t, w, c)
		wantEffects(t, w.backends[0], "INSERT claim")
	})
}

// Guards against a draining server that interrupts a transaction, or that ends the
// session without an error message.
func TestGoldenDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, nil)
		c := newWireCaller(t, w)
		c.query("BEGIN")
		done := make(chan error, 1)
		go func() { done <- w.server.Shutdown(context.Background()) }()
		synctest.Wait()
		c.query("INSERT inspection")
		c.query("COMMIT")
		c.receive()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		assertGolden(t, w, c)
	})
}
