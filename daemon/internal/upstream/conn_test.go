package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// script runs on a fake server after it has read the startup message.
type script func(be *pgproto3.Backend, start *pgproto3.StartupMessage)

func accept(be *pgproto3.Backend, _ *pgproto3.StartupMessage) {
	be.Send(&pgproto3.AuthenticationOk{})
	be.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	be.Send(&pgproto3.BackendKeyData{ProcessID: 7, SecretKey: []byte{1, 2, 3, 4}})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: StatusIdle})
	_ = be.Flush()
}

// pipeTo returns options that connect through a pipe to a fake server that runs
// the script.
func pipeTo(run script) Options {
	return Options{
		Address: "127.0.0.1:5432", User: "gypsumgap", Database: "planting-1-a", Host: "e1", Incarnation: "42",
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				be := pgproto3.NewBackend(far, far)
				m, err := be.ReceiveStartupMessage()
				if start, ok := m.(*pgproto3.StartupMessage); ok && err == nil {
					run(be, start)
				}
			}()
			return near, nil
		},
	}
}

// Guards against connections without the application_name by which the
// connections of a dead host are recognised.
func TestDialSendsParameters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got map[string]string
		o := pipeTo(func(be *pgproto3.Backend, start *pgproto3.StartupMessage) {
			got = start.Parameters
			accept(be, start)
		})
		o.Parameters = DefaultParameters()
		c, err := Dial(context.Background(), o)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		synctest.Wait()
		want := map[string]string{"application_name": "gypsumgap/e1/42", "user": "gypsumgap", "database": "planting-1-a", "TimeZone": "UTC"}
		for name, value := range want {
			if got[name] != value {
				t.Errorf("%s = %q, want %q", name, got[name], value)
			}
		}
		if v, _ := c.Parameter("server_version"); v != "16.0" || c.PID() != 7 || c.TxStatus() != StatusIdle {
			t.Errorf("server_version %q, PID %d, transaction status %c; want 16.0, 7, I", v, c.PID(), c.TxStatus())
		}
	})
}

// Guards against connect failures that callers cannot distinguish: an
// unreachable peer, a refused login and a peer that does not respond.
func TestDialErrors(t *testing.T) {
	t.Run("unreachable", func(t *testing.T) {
		refused := errors.New("connection refused")
		o := Options{DialContext: func(context.Context, string, string) (net.Conn, error) { return nil, refused }}
		if _, err := Dial(context.Background(), o); !errors.Is(err, ErrUnreachable) || !errors.Is(err, refused) {
			t.Fatal(err)
		}
	})
	t.Run("refused", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			_, err := Dial(context.Background(), pipeTo(func(be *pgproto3.Backend, _ *pgproto3.StartupMessage) {
				be.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "too many connections"})
				_ = be.Flush()
			}))
			var se *ServerError
			if !errors.As(err, &se) || se.Code != "53300" {
				t.Fatal(err)
			}
		})
	})
	t.Run("silent", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			_, err := Dial(context.Background(), pipeTo(func(be *pgproto3.Backend, _ *pgproto3.StartupMessage) {
				_, _ = be.Receive()
			}))
			if err == nil || time.Since(start) != defaultDialTimeout {
				t.Fatalf("Dial ended after %v with error %v, want an error after 10s", time.Since(start), err)
			}
		})
	})
}

// Guards against waiting without a deadline for a peer that stops responding.
func TestAnswerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := pipeTo(func(be *pgproto3.Backend, start *pgproto3.StartupMessage) {
			accept(be, start)
			for {
				if _, err := be.Receive(); err != nil {
					return
				}
			}
		})
		o.AnswerTimeout = 5 * time.Second
		c, err := Dial(context.Background(), o)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if err := c.Ping(context.Background()); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		start := time.Now()
		if err := c.Ping(ctx); err == nil || time.Since(start) != time.Second {
			t.Fatalf("Ping ended after %v with %v", time.Since(start), err)
		}
	})
}

// Guards against a Reset after which the connection still records statements
// and settings that the peer has dropped.
func TestResetForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := Dial(context.Background(), pipeTo(func(be *pgproto3.Backend, start *pgproto3.StartupMessage) {
			accept(be, start)
			if m, _ := be.Receive(); m.(*pgproto3.Query).String != "DISCARD ALL" {
				return
			}
			be.Send(&pgproto3.CommandComplete{CommandTag: []byte("DISCARD ALL")})
			be.Send(&pgproto3.ReadyForQuery{TxStatus: StatusIdle})
			_ = be.Flush()
		}))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.AddStatement("a")
		c.SetUnnamedStatement("b")
		c.Settings()["TimeZone"] = "UTC"
		if err := c.Reset(context.Background()); err != nil {
			t.Fatal(err)
		}
		if c.HasStatement("a") || c.UnnamedStatement() != "" || len(c.Settings()) != 0 {
			t.Fatal("connection still records a statement or setting after Reset")
		}
	})
}

// Guards against an unbounded number of prepared statements on a connection, and
// against evicting a statement that was used recently.
func TestStatementSet(t *testing.T) {
	s := newStatementSet(2)
	for i, name := range []string{"a", "b"} {
		if evicted := s.add(name); evicted != "" {
			t.Fatalf("add %d evicted %q", i, evicted)
		}
	}
	s.touch("a")
	if evicted := s.add("c"); evicted != "b" {
		t.Fatalf("evicted %q, want the least recently used", evicted)
	}
	s.restore("b")
	if !s.touch("b") || s.order.Len() != 3 {
		t.Fatal("restored statement is missing")
	}
	if evicted := s.add("d"); evicted != "a" {
		t.Fatalf("evicted %q, want a", evicted)
	}
}

// Guards against different statements that share a server-side name, which would
// execute the wrong SQL.
func TestStatementNames(t *testing.T) {
	names := map[string]string{}
	for _, sql := range []string{"SELECT 1", "SELECT $1"} {
		for _, oids := range [][]uint32{nil, {25}, {25, 25}, {23}} {
			id := fmt.Sprint(sql, oids)
			name := NewStatement(sql, oids).Name
			if other, ok := names[name]; ok {
				t.Errorf("%s and %s share %s", id, other, name)
			}
			if name != NewStatement(sql, oids).Name {
				t.Errorf("%s has two names", id)
			}
			names[name] = id
		}
	}
}

// Guards against writing a request to a connection that the server has already
// closed, and against dropping a healthy connection.
func TestStale(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	closing := make(chan struct{})
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		be := pgproto3.NewBackend(nc, nc)
		if _, err := be.ReceiveStartupMessage(); err != nil {
			return
		}
		accept(be, nil)
		<-closing
		nc.Close()
	}()
	c, err := Dial(context.Background(), Options{Address: ln.Addr().String(), LocalIP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if c.Stale() {
		t.Fatal("open connection counts as stale")
	}
	close(closing)
	<-closed
	// The end of the stream arrives without further action by either side.
	for deadline := time.Now().Add(time.Minute); !c.Stale(); {
		if time.Now().After(deadline) {
			t.Fatal("closed connection does not count as stale")
		}
		time.Sleep(time.Millisecond)
	}
}
