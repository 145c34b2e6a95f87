package session

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"

	"github.com/jackc/pgx/v5/pgproto3"
)

func encode(t testing.TB, messages ...encoder) []byte {
	var b []byte
	var err error
	for _, m := range messages {
		if b, err = m.Encode(b); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

func startupMessage() *pgproto3.StartupMessage {
	return &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "mechanic", "database": "werkplaats-1-a"},
	}
}

// writeAndDrain writes bytes while it discards the answers, then closes the
// connection.
func writeAndDrain(nc net.Conn, sent []byte) {
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		_, _ = io.Copy(io.Discard, nc)
	}()
	_, _ = nc.Write(sent)
	synctest.Wait()
	nc.Close()
	<-drained
}

// Guards against a panic, a hang or a session that remains after arbitrary bytes
// instead of a startup packet.
func FuzzStartup(f *testing.F) {
	f.Add(encode(f, startupMessage()), false)
	f.Add(encode(f, startupMessage()), true)
	f.Add(encode(f, &pgproto3.SSLRequest{}, startupMessage()), false)
	f.Add(encode(f, &pgproto3.GSSEncRequest{}, &pgproto3.SSLRequest{}, startupMessage()), true)
	f.Add(encode(f, &pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}), false)
	f.Add(encode(f, startupMessage(), &pgproto3.SASLInitialResponse{
		AuthMechanism: scramSHA256, Data: []byte("n,,n=,r=abc"),
	}, &pgproto3.SASLResponse{Data: []byte("c=biws,r=abc,p=eA==")}), true)
	f.Add([]byte{0, 0, 0, 4}, false)
	verifier := verifierOf(f, "secret")
	f.Fuzz(func(t *testing.T, sent []byte, password bool) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 1, func(o *Options) {
				if password {
					o.Verifiers = accounts{"mechanic": verifier}
				}
			})
			nc, err := w.n.dial(context.Background(), "tcp", w.address)
			if err != nil {
				t.Fatal(err)
			}
			writeAndDrain(nc, sent)
			synctest.Wait()
			if w.server.Sessions() != 0 {
				t.Fatal("session remains after its connection was closed")
			}
		})
	})
}

// Guards against a panic or a hang on arbitrary bytes instead of requests, and against
// a connection that is released as clean although some of its answers have not been
// read.
func FuzzRequests(f *testing.F) {
	query := func(sql string) encoder { return &pgproto3.Query{String: sql} }
	f.Add(encode(f, query("SELECT 1"), query("BEGIN"), query("INSERT a"), query("COMMIT"), &pgproto3.Terminate{}), false)
	f.Add(encode(f, query("SET gypsumgap.request_key = 'k'"), query("INSERT a"), query("INSERT a /*request_key='k'*/")), false)
	f.Add(encode(f, query(`SET gypsumgap.forward = '{"user":"u","class":"c","key":"k"}'`), query("INSERT a")), true)
	f.Add(encode(f, &pgproto3.Parse{Name: "s", Query: "SELECT $1"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{},
		&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("v")}}, &pgproto3.Execute{}, &pgproto3.Flush{},
		&pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{}), false)
	f.Add(encode(f, query("COPY t FROM STDIN"), &pgproto3.CopyData{Data: []byte("x\n")}, &pgproto3.CopyDone{}), false)
	f.Add(encode(f, &pgproto3.Parse{Query: "FAIL 22012"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{}, &pgproto3.Sync{}), false)
	f.Add(encode(f, &pgproto3.FunctionCall{Function: 1}, &pgproto3.Terminate{}), false)
	f.Add(encode(f, &pgproto3.Bind{PreparedStatement: "gg_none"}, &pgproto3.Close{ObjectType: 'P', Name: "p"}, &pgproto3.Sync{}), false)
	f.Fuzz(func(t *testing.T, sent []byte, forwarded bool) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 1, func(o *Options) { o.AcceptForwards = forwarded })
			nc, err := w.n.dial(context.Background(), "tcp", w.address)
			if err != nil {
				t.Fatal(err)
			}
			writeAndDrain(nc, append(encode(t, startupMessage()), sent...))
			synctest.Wait()
			if w.server.Sessions() != 0 {
				t.Fatal("session remains after its connection was closed")
			}
			for address, conns := range w.router.idle {
				for _, c := range conns {
					if err := c.Ping(context.Background()); err != nil || c.TxStatus() != 'I' {
						t.Fatalf("connection to %s was released with transaction status %c: %v", address, c.TxStatus(), err)
					}
				}
			}
		})
	})
}
