// Package objectstest provides an in-memory object store for tests that injects
// the faults of the platform's store: outages for all or some hosts, lost
// responses, delayed writes, and watches that stall until the history is
// compacted.
package objectstest

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/objects"
)

// Store is an in-memory object store. Each host accesses it through a Client.
type Store struct {
	mu       sync.Mutex
	rng      *rand.Rand
	revision objects.Revision
	kinds    map[objects.Kind]map[string]objects.Object
	events   map[objects.Kind][]objects.Object
	changed  chan struct{}
	// compactedRevision is the revision before which no history is kept.
	compactedRevision objects.Revision

	down        bool
	partitioned map[string]bool
	// stalled makes watches return no changes.
	stalled    bool
	lossShare  float64
	writeDelay time.Duration
	calls      int
	// staleReads is the number of calls that were stale reads.
	staleReads int
}

// latency is the duration of a call.
const latency = 4 * time.Millisecond

// New returns an empty store. The seed determines which responses are lost.
func New(seed uint64) *Store {
	return &Store{
		rng: rand.New(rand.NewPCG(seed, 0)), revision: objects.NewRevision(1, 1), partitioned: map[string]bool{}, changed: make(chan struct{}),
		kinds: map[objects.Kind]map[string]objects.Object{}, events: map[objects.Kind][]objects.Object{},
	}
}

// SetDown makes every call fail with objects.ErrUnavailable, or a waiting watch
// with objects.ErrUnknown.
func (s *Store) SetDown(down bool) { s.withLock(func() { s.down = down }) }

// SetPartitioned makes every call of a host fail as SetDown does.
func (s *Store) SetPartitioned(host string, cut bool) {
	s.withLock(func() { s.partitioned[host] = cut })
}

// SetWatchesStalled makes watches return no changes. The end of the fault
// compacts the history, so that earlier changes cannot be watched any more.
func (s *Store) SetWatchesStalled(deaf bool) {
	s.withLock(func() {
		if s.stalled && !deaf {
			s.compactedRevision = s.revision
		}
		s.stalled = deaf
	})
}

// LoseResponses makes a share of the writes fail with objects.ErrUnknown. They
// are executed nevertheless, after the delay late.
func (s *Store) LoseResponses(share float64, late time.Duration) {
	s.withLock(func() { s.lossShare, s.writeDelay = share, late })
}

// Calls returns the number of calls of all hosts so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Cost returns the price of all calls so far in calls, where a stale read costs
// staleReadCost.
func (s *Store) Cost() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.calls-s.staleReads) + staleReadCost*float64(s.staleReads)
}

// staleReadCost is the price of a stale read in calls.
const staleReadCost = 0.1

// Backup is a copy of the objects of a store.
type Backup struct {
	revision objects.Revision
	kinds    map[objects.Kind]map[string]objects.Object
}

// Backup returns a copy of the objects that the store holds now.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Backup{revision: s.revision, kinds: map[objects.Kind]map[string]objects.Object{}}
	for kind, stored := range s.kinds {
		b.kinds[kind] = maps.Clone(stored)
	}
	return b
}

// Restore makes the store go back to a copy of itself, in the next era. It forgets
// all that was written since, and gives the same revisions out again.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = objects.NewRevision(s.revision.Era()+1, b.revision.Number())
	s.compactedRevision = objects.NewRevision(s.revision.Era(), s.compactedRevision.Number())
	s.kinds, s.events = map[objects.Kind]map[string]objects.Object{}, map[objects.Kind][]objects.Object{}
	for kind, stored := range b.kinds {
		s.kinds[kind] = map[string]objects.Object{}
		for name, o := range stored {
			o.Revision = objects.NewRevision(s.revision.Era(), o.Revision.Number())
			s.kinds[kind][name] = o
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) withLock(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// Configure writes the operator's configuration.
func (s *Store) Configure(c *catalog.Configuration) {
	s.withLock(func() { s.set(objects.Configurations, objects.Object{Name: "main", Configuration: c}) })
}

// Register writes the entry of a backend server if it differs from the stored one.
func (s *Store) Register(server catalog.Server) {
	s.withLock(func() {
		old := s.kinds[objects.Servers][server.ID]
		if old.Server == nil || *old.Server != server {
			s.set(objects.Servers, objects.Object{Name: server.ID, Server: &server})
		}
	})
}

// Unregister removes the entry of a backend server.
func (s *Store) Unregister(id string) {
	s.withLock(func() {
		if _, ok := s.kinds[objects.Servers][id]; ok {
			s.set(objects.Servers, objects.Object{Name: id, Deleted: true})
		}
	})
}

// Spoil replaces the entry of a backend server by one that cannot be decoded, as another
// writer might.
func (s *Store) Spoil(id string) {
	s.withLock(func() { s.set(objects.Servers, objects.Object{Name: id, Err: errSpoiled}) })
}

var errSpoiled = errors.New("entry cannot be decoded")

// set writes or deletes an object and wakes the watches. The caller holds the
// lock.
func (s *Store) set(kind objects.Kind, o objects.Object) objects.Object {
	s.revision++
	o.Revision = s.revision
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]objects.Object{}
	}
	if o.Deleted {
		delete(s.kinds[kind], o.Name)
	} else {
		s.kinds[kind][o.Name] = o
	}
	s.events[kind] = append(s.events[kind], o)
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// Client is the access of one host to the store.
type Client struct {
	Store *Store
	Host  string
}

var _ objects.Store = Client{}

// call simulates the latency of a call, counts it and returns an error if it does
// not reach the store.
func (c Client) call(ctx context.Context) error {
	time.Sleep(latency)
	s := c.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down || s.partitioned[c.Host] {
		return objects.ErrUnavailable
	}
	return ctx.Err()
}

// List reads all objects of a kind.
func (c Client) List(ctx context.Context, kind objects.Kind, stale bool) (objects.Snapshot, error) {
	if stale {
		c.Store.withLock(func() { c.Store.staleReads++ })
	}
	if err := c.call(ctx); err != nil {
		return objects.Snapshot{}, err
	}
	s := c.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	out := objects.Snapshot{Revision: s.revision}
	for _, o := range s.kinds[kind] {
		out.Objects = append(out.Objects, o)
	}
	return out, nil
}

// Watch waits for changes of a kind after a revision.
func (c Client) Watch(ctx context.Context, kind objects.Kind, since objects.Revision, wait time.Duration) (objects.Snapshot, error) {
	if err := c.call(ctx); err != nil {
		return objects.Snapshot{}, err
	}
	timeout := time.After(wait)
	for {
		snapshot, changed, err := c.changes(kind, since)
		if err != nil {
			return snapshot, err
		}
		if len(snapshot.Objects) > 0 {
			return checkEra(snapshot, since)
		}
		select {
		case <-changed:
		case <-timeout:
			return checkEra(snapshot, since)
		case <-ctx.Done():
			return objects.Snapshot{}, objects.ErrUnknown
		}
	}
}

// checkEra fails with objects.ErrCompacted if the answer to a watch is of another era
// than the revision that it started from.
func checkEra(answer objects.Snapshot, since objects.Revision) (objects.Snapshot, error) {
	if answer.Revision.Era() != since.Era() {
		return objects.Snapshot{}, objects.ErrCompacted
	}
	return answer, nil
}

// changes returns the changes after a revision. The store knows only its number, so
// a watch from an earlier era fails at once only if the store has no such number.
func (c Client) changes(kind objects.Kind, since objects.Revision) (objects.Snapshot, chan struct{}, error) {
	s := c.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	since = objects.NewRevision(s.revision.Era(), since.Number())
	out := objects.Snapshot{Revision: since}
	switch {
	case s.down || s.partitioned[c.Host]:
		return out, s.changed, objects.ErrUnknown
	case s.stalled:
		return out, s.changed, nil
	case since > s.revision, since < s.compactedRevision:
		return out, s.changed, objects.ErrCompacted
	}
	out.Revision = s.revision
	for _, e := range s.events[kind] {
		if e.Revision > since {
			out.Objects = append(out.Objects, e)
		}
	}
	return out, s.changed, nil
}

// Get reads one object.
func (c Client) Get(ctx context.Context, kind objects.Kind, name string) (objects.Object, error) {
	if err := c.call(ctx); err != nil {
		return objects.Object{}, err
	}
	s := c.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return objects.Object{Revision: objects.NewRevision(s.revision.Era(), 0)}, objects.ErrNotFound
	}
	return o, nil
}

// Put writes an object if its revision is the expected one.
func (c Client) Put(ctx context.Context, kind objects.Kind, name string, value []byte, expected objects.Revision) (objects.Object, error) {
	if err := c.call(ctx); err != nil {
		return objects.Object{}, err
	}
	s := c.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	write := func() (objects.Object, error) {
		if s.kinds[kind][name].Revision.Number() != expected.Number() {
			return objects.Object{}, objects.ErrConflict
		}
		return s.set(kind, objects.Object{Name: name, Value: value}), nil
	}
	if s.rng.Float64() >= s.lossShare {
		return write()
	}
	if s.writeDelay == 0 {
		_, _ = write()
		return objects.Object{}, objects.ErrUnknown
	}
	time.AfterFunc(s.writeDelay, func() { s.withLock(func() { _, _ = write() }) })
	return objects.Object{}, objects.ErrUnknown
}

// Delete removes an object.
func (c Client) Delete(ctx context.Context, kind objects.Kind, name string) error {
	if err := c.call(ctx); err != nil {
		return err
	}
	s := c.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.kinds[kind][name]; !ok {
		return objects.ErrNotFound
	}
	s.set(kind, objects.Object{Name: name, Deleted: true})
	return nil
}
