// Package load generates load on a list of proxy addresses and afterwards
// checks the consistency guarantees of the proxies.
//
// Each caller has its own session, whose connection moves from address to
// address. It writes rows with unique ids and reads them back. The outcome of
// each write is recorded as acknowledged, unknown, refused or aborted. Check
// then compares the record with the table on the primary: acknowledged writes
// must be present exactly once, refused and aborted writes must be absent, and
// writes of unknown outcome may be present at most once.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Schema holds the statements that create the table to which the load writes.
var Schema = []string{
	"CREATE TABLE gypsumgap_load (write_id text, session text, seq integer)",
	"CREATE INDEX gypsumgap_load_session ON gypsumgap_load (session, seq)",
}

const (
	// StatusPageClass is the request class that status-page callers set as application_name.
	StatusPageClass = "status-page"

	defaultSessions  = 8
	defaultRoamEvery = 20
	defaultTimeout   = 10 * time.Second
)

// Options configures a load.
type Options struct {
	// Addresses lists the proxies as host:port; at least one is required.
	Addresses []string
	// Database is the name of the database.
	Database string
	// User is the name that the callers log in with.
	User string
	// Password is that of the user.
	Password string
	// Run is a prefix that makes the write ids of this load unique in the table.
	Run string
	// Sessions is the number of sessions that write and read their own
	// writes; 0 means 8. Every second session passes its session token when it
	// connects.
	Sessions int
	// StatusPages is the number of callers that only read, in the class status-page.
	StatusPages int
	// Operations is the number of operations of each caller; 0 means no limit.
	Operations int
	// ReconnectEvery is the mean number of operations between reconnects to a
	// randomly chosen address; 0 means 20.
	ReconnectEvery int
	// ReadClass is the request class that about a third of the session reads name
	// in an SQL comment; empty for none.
	ReadClass string
	// Proxied is true if the addresses are proxies rather than backend servers.
	// A third of the writes then carry request keys.
	Proxied bool
	// Pause is the time that a caller waits between operations.
	Pause time.Duration
	// Healthy reports whether an address accepts callers, as a load balancer in
	// front of the proxies would; nil means that all addresses are healthy.
	Healthy func(address string) bool
	// Timeout limits each operation and each connection attempt; 0 means 10 s.
	Timeout time.Duration
	// Seed seeds the random choices of the callers.
	Seed uint64
	// Logger receives failed reads; nil disables logging.
	Logger logrus.FieldLogger
}

func (o Options) withDefaults() (Options, error) {
	if len(o.Addresses) == 0 {
		return o, fmt.Errorf("load: no proxy addresses given")
	}
	if o.Sessions == 0 {
		o.Sessions = defaultSessions
	}
	if o.ReconnectEvery == 0 {
		o.ReconnectEvery = defaultRoamEvery
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	return o, nil
}

// Run runs the callers until ctx ends or each has completed its operations. It
// returns an error only for invalid options; failed operations are part of the
// record.
func Run(ctx context.Context, opts Options) (*Record, error) {
	record, wait, err := Start(ctx, opts)
	if err != nil {
		return nil, err
	}
	wait()
	return record, nil
}

// Start is like Run but returns at once. The record may be read while the
// callers run; wait returns when all of them have ended.
func Start(ctx context.Context, opts Options) (record *Record, wait func(), err error) {
	opts, err = opts.withDefaults()
	if err != nil {
		return nil, nil, err
	}
	record = newRecord(time.Now())
	var callers sync.WaitGroup
	for i := range opts.Sessions + opts.StatusPages {
		c := newCaller(opts, i, record)
		callers.Go(func() { c.run(ctx) })
	}
	wait = func() {
		callers.Wait()
		record.finish(time.Now())
	}
	return record, wait, nil
}

func newRandom(seed uint64, caller int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(caller)))
}
