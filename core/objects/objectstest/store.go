// Package objectstest is an in-memory object store for tests, with the faults of
// the platform's: outages, for all hosts or for some, slow answers, answers that
// are lost, writes that are executed late, and watches that go silent when the
// history is dropped.
package objectstest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/objects"
)

// Store is the store; each host uses a Client of it.
type Store struct {
	mu       sync.Mutex
	rng      *rand.Rand
	revision uint64
	kinds    map[objects.Kind]map[string]objects.Object
	events   map[objects.Kind][]objects.Object
	changed  chan struct{}
	// compactedRevision is the revision before which the history is gone.
	compactedRevision uint64

	down        bool
	partitioned map[string]bool
	// stalled lets waiting watches learn nothing.
	stalled    bool
	lossShare  float64
	writeDelay time.Duration
	calls      int
}

// latency is the time of a call.
const latency = 4 * time.Millisecond

// New returns an empty store. The seed decides which answers are lost.
func New(seed uint64) *Store {
	return &Store{
		rng: rand.New(rand.NewPCG(seed, 0)), revision: 1, partitioned: map[string]bool{}, changed: make(chan struct{}),
		kinds: map[objects.Kind]map[string]objects.Object{}, events: map[objects.Kind][]objects.Object{},
	}
}

// SetDown lets every call fail.
func (s *Store) SetDown(down bool) { s.withLock(func() { s.down = down }) }

// SetPartitioned lets every call of a host fail.
func (s *Store) SetPartitioned(host string, cut bool) {
	s.withLock(func() { s.partitioned[host] = cut })
}

// SetWatchesStalled lets watches learn nothing until the end of the fault, which drops
// the history.
func (s *Store) SetWatchesStalled(deaf bool) {
	s.withLock(func() {
		if s.stalled && !deaf {
			s.compactedRevision = s.revision
		}
		s.stalled = deaf
	})
}

// LoseResponses loses the answers of a share of the writes. With late above 0,
// they are executed that much later.
func (s *Store) LoseResponses(share float64, late time.Duration) {
	s.withLock(func() { s.lossShare, s.writeDelay = share, late })
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
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

// Register writes the entry of a backend server if it has changed.
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

// set changes an object and wakes the watches. The caller holds the lock.
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

// Client is the store as one host sees it.
type Client struct {
	Store *Store
	Host  string
}

var _ objects.Store = Client{}

// call counts a call and reports whether it reaches the store.
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
func (c Client) List(ctx context.Context, kind objects.Kind, _ bool) (objects.Snapshot, error) {
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

// Watch waits for changes of a kind.
func (c Client) Watch(ctx context.Context, kind objects.Kind, since uint64, wait time.Duration) (objects.Snapshot, error) {
	if err := c.call(ctx); err != nil {
		return objects.Snapshot{}, err
	}
	timeout := time.After(wait)
	for {
		snapshot, changed, err := c.changes(kind, since)
		if err != nil || len(snapshot.Objects) > 0 {
			return snapshot, err
		}
		select {
		case <-changed:
		case <-timeout:
			return snapshot, nil
		case <-ctx.Done():
			return objects.Snapshot{}, objects.ErrUnknown
		}
	}
}

func (c Client) changes(kind objects.Kind, since uint64) (objects.Snapshot, chan struct{}, error) {
	s := c.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	out := objects.Snapshot{Revision: since}
	switch {
	case s.down || s.partitioned[c.Host]:
		return out, s.changed, objects.ErrUnknown
	case s.stalled:
		return out, s.changed, nil
	case since < s.compactedRevision:
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
		return objects.Object{}, objects.ErrNotFound
	}
	return o, nil
}

// Put writes an object if its revision is the expected one.
func (c Client) Put(ctx context.Context, kind objects.Kind, name string, value []byte, expected uint64) (objects.Object, error) {
	if err := c.call(ctx); err != nil {
		return objects.Object{}, err
	}
	s := c.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	write := func() (objects.Object, error) {
		if s.kinds[kind][name].Revision != expected {
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
