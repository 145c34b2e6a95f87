package session

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// accounts is a VerifierStore that maps the users of one database to verifiers.
type accounts map[string]string

func (a accounts) Verifier(database, user string) (string, error) {
	if database != "werkplaats-1-a" {
		return "", ErrUnknownDatabase
	}
	if v, ok := a[user]; ok {
		return v, nil
	}
	return "", ErrUnknownUser
}

// verifierOf returns the verifier of a password in the form in which PostgreSQL stores
// it.
func verifierOf(t testing.TB, password string) string {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		t.Fatal(err)
	}
	k := scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096}
	c, err := client.GetStoredCredentialsWithError(k)
	if err != nil {
		t.Fatal(err)
	}
	e := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", k.Iters, e([]byte(k.Salt)), e(c.StoredKey), e(c.ServerKey))
}

// Guards against callers that log in without the password, and against errors with a
// wrong SQLSTATE.
func TestPassword(t *testing.T) {
	cases := []struct {
		name, verifier, database, code string
	}{
		{"right", verifierOf(t, "secret"), "werkplaats-1-a", ""},
		{"wrong", verifierOf(t, "other"), "werkplaats-1-a", codeInvalidPassword},
		{"unknown user", "", "werkplaats-1-a", codeInvalidPassword},
		{"unknown database", verifierOf(t, "secret"), "nowhere", codeUnknownDatabase},
		{"broken verifier", "SCRAM-SHA-256$x", "werkplaats-1-a", codeInternal},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := accounts{}
				if tc.verifier != "" {
					a["mechanic"] = tc.verifier
				}
				w := newTestProxy(t, 1, func(o *Options) { o.Verifiers = a })
				config, err := pgx.ParseConfig("postgres://mechanic:secret@" + w.address + "/" + tc.database + "?sslmode=disable")
				if err != nil {
					t.Fatal(err)
				}
				config.DialFunc = w.n.dial
				c, err := pgx.ConnectConfig(context.Background(), config)
				wantState(t, err, tc.code)
				if err == nil {
					mustExec(t, c, "INSERT a")
					c.Close(context.Background())
				}
			})
		})
	}
}

// Guards against an owner that cannot be reached because its listener requires a
// password.
func TestUpstreamPasswordAuthentication(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := accounts{"gypsumgap": verifierOf(t, "between hosts")}
		owner := newTestProxy(t, 1, func(o *Options) { o.Verifiers, o.AcceptForwards = a, true })
		entry := newFakeRouter(t, owner.n)
		entry.backends = []string{owner.address}
		entry.forwarded = true
		entry.options.Password = "between hosts"
		_, address := startServer(t, owner.n, Options{Router: entry})
		mustExec(t, connect(t, owner.n, address, ""), "INSERT a")
		wantEffects(t, owner.backends[0], "INSERT a")
	})
}

// Guards against a panic, a hang or an end without an error message on input that is
// not a valid startup packet.
func TestMalformedStartup(t *testing.T) {
	long := append([]byte{0, 1, 0, 0}, make([]byte, 100)...)
	cases := []struct {
		name string
		sent []byte
		code string
	}{
		{"short length", []byte{0, 0, 0, 3, 0, 3, 0, 0}, codeProtocolViolation},
		{"long length", long, codeProtocolViolation},
		{"unknown request", []byte{0, 0, 0, 8, 4, 210, 22, 99}, codeProtocolViolation},
		{"protocol 2.0", []byte{0, 0, 0, 9, 0, 2, 0, 0, 0}, codeProtocolViolation},
		{"unterminated parameter", []byte{0, 0, 0, 12, 0, 3, 0, 0, 'u', 's', 'e', 'r'}, codeProtocolViolation},
		{"no user", append([]byte{0, 0, 0, 20, 0, 3, 0, 0}, "database\x00x\x00\x00"...), codeInvalidAuthorization},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestProxy(t, 1, nil)
				nc, err := w.n.dial(context.Background(), "tcp", w.address)
				if err != nil {
					t.Fatal(err)
				}
				defer nc.Close()
				go func() { _, _ = nc.Write(tc.sent) }()
				m, err := pgproto3.NewFrontend(nc, nc).Receive()
				if err != nil {
					t.Fatal(err)
				}
				e, ok := m.(*pgproto3.ErrorResponse)
				if !ok || e.Code != tc.code || e.Severity != severityFatal {
					t.Fatalf("got %#v, want a fatal ErrorResponse with the SQLSTATE of the case", m)
				}
			})
		})
	}
	t.Run("cut short", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 1, nil)
			nc, err := w.n.dial(context.Background(), "tcp", w.address)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := nc.Write([]byte{0, 0}); err != nil {
				t.Fatal(err)
			}
			nc.Close()
			synctest.Wait()
			if w.server.Sessions() != 0 {
				t.Fatal("session remains after its connection was closed")
			}
		})
	})
	t.Run("silent", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 1, nil)
			nc, err := w.n.dial(context.Background(), "tcp", w.address)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			if _, err := io.ReadAll(nc); err != nil {
				t.Fatal(err)
			}
			if w.server.Sessions() != 0 {
				t.Fatal("session remains after its connection was closed")
			}
		})
	})
}

// Guards against run-time parameters that are accepted without effect, and against
// those that would change the privileges of the user of pooled connections.
func TestStartupParameters(t *testing.T) {
	cases := []struct{ parameters, code string }{
		{"&client_encoding=utf-8&DateStyle=ISO&extra_float_digits=3&TimeZone=utc&replication=false", ""},
		{"&TimeZone=Africa/Nairobi&search_path=mine", ""},
		{"&extra_float_digits=0", codeFeatureNotSupported},
		{"&replication=database", codeFeatureNotSupported},
		{"&role=admin", codeFeatureNotSupported},
		{"&client_encoding=LATIN1", codeFeatureNotSupported},
		{"&options=-c%20x%3Dy", codeFeatureNotSupported},
		{"&a%3Bb=c", codeFeatureNotSupported},
	}
	for _, tc := range cases {
		t.Run(tc.parameters, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestProxy(t, 1, nil)
				c, err := tryConnect(w.n, w.address, tc.parameters)
				wantState(t, err, tc.code)
				if c != nil {
					c.Close(context.Background())
				}
			})
		})
	}
}

// Guards against a startup parameter that is not set on every connection of the
// caller, or that leaks to another caller, directly or through an owner.
func TestStartupParametersOnEveryConnection(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 1, func(o *Options) { o.AcceptForwards = forwarded })
			address := w.address
			if forwarded {
				entry := newFakeRouter(t, w.n)
				entry.backends = []string{w.address}
				entry.forwarded = true
				_, address = startServer(t, w.n, Options{Router: entry})
			}
			a := connect(t, w.n, address, "&TimeZone=Africa/Nairobi&search_path=mine")
			b := connect(t, w.n, address, "&search_path=yours")
			c := connect(t, w.n, address, "")
			if got := a.PgConn().ParameterStatus("TimeZone"); got != "Africa/Nairobi" {
				t.Fatalf("announced time zone %q, want Africa/Nairobi", got)
			}
			for range 2 {
				for _, x := range []struct {
					c          *pgx.Conn
					zone, path string
				}{{a, "Africa/Nairobi", "mine"}, {b, "", "yours"}, {c, "", ""}} {
					if got := queryString(t, x.c, "SHOW TimeZone"); got != x.zone {
						t.Errorf("time zone %q, want %q", got, x.zone)
					}
					if got := queryString(t, x.c, "SHOW search_path"); got != x.path {
						t.Errorf("search path %q, want %q", got, x.path)
					}
				}
			}
			d := connect(t, w.n, address, "&search_path=invalid")
			wantCode(t, d, codeInvalidSetting, "INSERT a")
			wantEffects(t, w.backends[0])
		})
	}
}

// Guards against a missing answer to an SSLRequest without TLS, and against an
// encrypted session that fails, also after a wait without buffers.
func TestEncryption(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 1, func(o *Options) {
				if enabled {
					o.TLS = selfSigned(t)
				}
			})
			config, err := pgx.ParseConfig("postgres://mechanic@" + w.address + "/werkplaats-1-a?sslmode=require")
			if err != nil {
				t.Fatal(err)
			}
			config.DialFunc = w.n.dial
			c, err := pgx.ConnectConfig(context.Background(), config)
			if !enabled {
				if err == nil || !strings.Contains(err.Error(), "refused TLS") {
					t.Fatalf("got %v, want refused TLS", err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			mustExec(t, c, "INSERT a")
			time.Sleep(time.Minute)
			mustExec(t, c, "INSERT b")
			c.Close(context.Background())
			wantEffects(t, w.backends[0], "INSERT a", "INSERT b")
		})
	}
}

func selfSigned(t testing.TB) *tls.Config {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}}}
}

// Guards against plain-text bytes after an SSLRequest that are treated as encrypted
// data.
func TestPlainTextAfterSSLRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, func(o *Options) { o.TLS = selfSigned(t) })
		nc, err := w.n.dial(context.Background(), "tcp", w.address)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		sent := []byte{0, 0, 0, 8, 4, 210, 22, 47, 0, 0, 0, 9, 0, 3, 0, 0, 0}
		go func() { _, _ = nc.Write(sent) }()
		m, err := pgproto3.NewFrontend(nc, nc).Receive()
		if err != nil {
			t.Fatal(err)
		}
		if e, ok := m.(*pgproto3.ErrorResponse); !ok || e.Code != codeProtocolViolation {
			t.Fatalf("got %#v, want an ErrorResponse with SQLSTATE 08P01", m)
		}
	})
}

// Guards against a malformed message that is skipped, or that ends the session without
// an error message.
func TestMalformedMessage(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		h, err := c.PgConn().Hijack()
		if err != nil {
			t.Fatal(err)
		}
		defer h.Conn.Close()
		if _, err := h.Conn.Write([]byte{'Q', 0, 0, 0, 2}); err != nil {
			t.Fatal(err)
		}
		m, err := h.Frontend.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if e, ok := m.(*pgproto3.ErrorResponse); !ok || e.Code != codeProtocolViolation {
			t.Fatalf("got %#v, want an ErrorResponse with SQLSTATE 08P01", m)
		}
		if _, err := h.Frontend.Receive(); err == nil || errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v after the error, want the end of the connection", err)
		}
	})
}
