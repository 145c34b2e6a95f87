// Package load puts callers on a list of proxy addresses and checks afterwards
// that the proxies kept their promises.
//
// Each caller has a session of its own, whose connection moves from address to
// address. It writes rows with unique ids and reads them back. What became of
// each write is recorded as acknowledged, unknown, refused or aborted. Check
// then compares the record with the table on the primary: acknowledged writes
// must be there once, refused and aborted ones must not be there, and unknown
// ones at most once.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Schema holds the statements that create the table of the load.
var Schema = []string{
	"CREATE TABLE gypsumgap_load (write_id text, session text, seq integer)",
	"CREATE INDEX gypsumgap_load_session ON gypsumgap_load (session, seq)",
}

const (
	// StatusPageClass is the request class that status-page callers name by application_name.
	StatusPageClass = "status-page"

	defaultSessions  = 8
	defaultRoamEvery = 20
	defaultTimeout   = 10 * time.Second
)

// Options sets a load up.
type Options struct {
	// Addresses are the host:port of the proxies; there must be at least one.
	Addresses []string
	Database  string
	User      string
	Password  string
	// Run makes the ids of this load unique in its table.
	Run string
	// Sessions is the number of sessions that write and read their own
	// writes; 0 means 8. Every second one hands over its session token.
	Sessions int
	// StatusPages is the number of callers that only read, with the class status-page.
	StatusPages int
	// Operations is the number of operations of each caller; 0 for no limit.
	Operations int
	// ReconnectEvery is the mean number of operations between changes of address; 0 means 20.
	ReconnectEvery int
	// ReadClass is a class of reads that a part of the reads names in a comment; empty for none.
	ReadClass string
	// Proxied says that the addresses are proxies and not backend servers. A third
	// of the writes then has request keys.
	Proxied bool
	// Pause is the time between the operations of a caller.
	Pause time.Duration
	// Healthy reports whether an address takes callers, as a balancer in front
	// of the proxies knows it; nil takes all for healthy.
	Healthy func(address string) bool
	// Timeout bounds each operation and each connect; 0 means 10 s.
	Timeout time.Duration
	// Seed fixes the choices of the callers.
	Seed uint64
	// Logger receives failures of reads; nil for none.
	Logger logrus.FieldLogger
}

func (o Options) withDefaults() (Options, error) {
	if len(o.Addresses) == 0 {
		return o, fmt.Errorf("load: no addresses")
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

// Run lets the callers work until ctx ends or each has done its operations. It
// fails on unusable options; failures of operations are part of the record.
func Run(ctx context.Context, opts Options) (*Record, error) {
	record, wait, err := Start(ctx, opts)
	if err != nil {
		return nil, err
	}
	wait()
	return record, nil
}

// Start is Run in the background: the record may be read while the callers
// work, and wait returns when they have ended.
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
