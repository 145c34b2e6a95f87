// Package platformtest provides an in-memory platform.Store whose faults can be
// changed at any time. It uses only the time package as its clock, so it works
// under testing/synctest.
//
// Versions come from one counter for the whole store, so an object that was
// deleted and created again never repeats a version. A delayed call takes effect
// after half of its delay and returns after the other half, so the outcome is
// unknown if the call is canceled in between.
package platformtest

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/platform"
)

// Options configures a Store.
type Options struct {
	// HostLag is the time after which a change of the host list becomes visible.
	HostLag time.Duration
	// ValueLimit is the largest value in bytes; 0 means platform.MaxValueBytes.
	ValueLimit int
	// ReadRate is the number of reads accepted per second; 0 means no limit. Reads
	// are Get, List, Watch and Hosts.
	ReadRate int
	// WriteRate is the number of writes accepted per second; 0 means no limit.
	WriteRate int
	// Hosts is the initial host list.
	Hosts []platform.Host
}

// Faults are the injected faults. The zero value means none.
type Faults struct {
	// Down makes every call, including waiting watches, fail with platform.ErrUnavailable.
	Down bool
	// Delay is the duration of every call. A watch waits only half of it, before
	// its own wait.
	Delay time.Duration
	// LoseResponses is the number of following changes that take effect but fail
	// with platform.ErrUnknown; a negative number means all.
	LoseResponses int
	// RateLimit makes every call fail with platform.ErrRateLimited.
	RateLimit bool
}

// Counts are the calls received since the store was made. A watch counts once,
// however long it waits.
type Counts struct {
	Gets    int `json:"gets"`
	Puts    int `json:"puts"`
	Deletes int `json:"deletes"`
	Lists   int `json:"lists"`
	Watches int `json:"watches"`
	Hosts   int `json:"hosts"`
	// Failed is the number of calls rejected because of a fault or the rate limit.
	Failed int `json:"failed"`
}

// Reads returns the number of calls that only read.
func (c Counts) Reads() int { return c.Gets + c.Lists + c.Watches + c.Hosts }

// Writes returns the number of calls that request a change.
func (c Counts) Writes() int { return c.Puts + c.Deletes }

// Total returns the number of all calls.
func (c Counts) Total() int { return c.Reads() + c.Writes() }

// Store is an in-memory platform.Store. It is safe for concurrent use.
type Store struct {
	options Options

	mu          sync.Mutex
	objects     map[string]platform.Object
	lastVersion platform.Version
	faults      Faults
	counts      Counts
	reads       rateWindow
	writes      rateWindow
	hosts       []hostList
	// changed is closed and replaced on every change of an object or of the faults.
	changed chan struct{}
}

// hostList is a host list and the time from which it is visible.
type hostList struct {
	hosts       []platform.Host
	visibleFrom time.Time
}

var _ platform.Store = (*Store)(nil)

// New returns an empty store.
func New(o Options) *Store {
	if o.ValueLimit == 0 {
		o.ValueLimit = platform.MaxValueBytes
	}
	return &Store{
		options: o,
		objects: map[string]platform.Object{},
		hosts:   []hostList{{hosts: slices.Clone(o.Hosts)}},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Faults returns the injected faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetHosts replaces the host list. The new list becomes visible after HostLag.
func (s *Store) SetHosts(hosts []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := time.Now().Add(s.options.HostLag)
	s.hosts = append(s.hosts, hostList{hosts: slices.Clone(hosts), visibleFrom: from})
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := s.beginRead(ctx, &s.counts.Gets); err != nil {
		return platform.Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	obj, ok := s.read(key)
	if err := s.finishRead(ctx); err != nil {
		return platform.Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	if !ok {
		return platform.Object{}, fmt.Errorf("get %s: %w", key, platform.ErrNotFound)
	}
	return obj, nil
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected platform.Version) (platform.Version, error) {
	var version platform.Version
	err := s.change(ctx, &s.counts.Puts, func() error {
		if len(value) > s.options.ValueLimit {
			return platform.ErrTooLarge
		}
		if s.objects[key].Version != expected {
			return platform.ErrConflict
		}
		s.lastVersion++
		version = s.lastVersion
		s.objects[key] = platform.Object{Key: key, Value: bytes.Clone(value), Version: version}
		return nil
	})
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	return version, nil
}

// Delete implements platform.Store. It fails with platform.ErrNotFound if the
// object does not exist and expected is 0.
func (s *Store) Delete(ctx context.Context, key string, expected platform.Version) error {
	err := s.change(ctx, &s.counts.Deletes, func() error {
		obj, ok := s.objects[key]
		if obj.Version != expected {
			return platform.ErrConflict
		}
		if !ok {
			return platform.ErrNotFound
		}
		delete(s.objects, key)
		return nil
	})
	if err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	if err := s.beginRead(ctx, &s.counts.Lists); err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	out := s.keys(prefix)
	if err := s.finishRead(ctx); err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	return out, nil
}

// Watch implements platform.Store. An object that does not exist when the wait
// ends is returned with version 0 and no error.
func (s *Store) Watch(ctx context.Context, key string, known platform.Version, wait time.Duration) (platform.Object, error) {
	if err := s.beginRead(ctx, &s.counts.Watches); err != nil {
		return platform.Object{}, fmt.Errorf("watch %s: %w", key, err)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		obj, changed, err := s.observe(key)
		if err != nil {
			return platform.Object{}, fmt.Errorf("watch %s: %w", key, err)
		}
		if obj.Version != known {
			return obj, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return obj, nil
		case <-ctx.Done():
			return platform.Object{}, fmt.Errorf("watch %s: %w: %w", key, platform.ErrUnavailable, ctx.Err())
		}
	}
}

// Hosts implements platform.Store.
func (s *Store) Hosts(ctx context.Context) ([]platform.Host, error) {
	if err := s.beginRead(ctx, &s.counts.Hosts); err != nil {
		return nil, fmt.Errorf("hosts: %w", err)
	}
	hosts := s.visibleHosts()
	if err := s.finishRead(ctx); err != nil {
		return nil, fmt.Errorf("hosts: %w", err)
	}
	return hosts, nil
}

// change executes a conditional change, subject to the injected faults.
func (s *Store) change(ctx context.Context, count *int, apply func() error) error {
	if err := s.begin(count, &s.writes, s.options.WriteRate); err != nil {
		return err
	}
	if err := s.delay(ctx); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnknown, err)
	}
	lost, err := s.execute(apply)
	if derr := s.delay(ctx); derr != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnknown, derr)
	}
	if err == nil && lost {
		return platform.ErrUnknown
	}
	return err
}

// execute applies a change under the lock and reports whether its response is
// lost.
func (s *Store) execute(apply func() error) (lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := apply(); err != nil {
		return false, err
	}
	s.notifyWatches()
	if s.faults.LoseResponses == 0 {
		return false, nil
	}
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
	}
	return true, nil
}

// begin counts a call and returns an error if a fault or the rate limit rejects
// it.
func (s *Store) begin(count *int, w *rateWindow, rate int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	*count++
	err := s.admissionError(w, rate)
	if err != nil {
		s.counts.Failed++
	}
	return err
}

func (s *Store) admissionError(w *rateWindow, rate int) error {
	switch {
	case s.faults.Down:
		return platform.ErrUnavailable
	case s.faults.RateLimit:
		return platform.ErrRateLimited
	case rate > 0 && !w.allow(time.Now(), rate):
		return platform.ErrRateLimited
	default:
		return nil
	}
}

func (s *Store) beginRead(ctx context.Context, count *int) error {
	if err := s.begin(count, &s.reads, s.options.ReadRate); err != nil {
		return err
	}
	return s.finishRead(ctx)
}

func (s *Store) finishRead(ctx context.Context) error {
	if err := s.delay(ctx); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return nil
}

// delay waits for half of Faults.Delay.
func (s *Store) delay(ctx context.Context) error {
	d := s.Faults().Delay / 2
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Store) read(key string) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[key]
	obj.Value = bytes.Clone(obj.Value)
	return obj, ok
}

// observe returns the object and a channel that is closed on the next change.
func (s *Store) observe(key string) (platform.Object, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return platform.Object{}, nil, platform.ErrUnavailable
	}
	obj := s.objects[key]
	obj.Key = key
	obj.Value = bytes.Clone(obj.Value)
	return obj, s.changed, nil
}

func (s *Store) keys(prefix string) []platform.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Object
	for key, obj := range s.objects {
		if strings.HasPrefix(key, prefix) {
			out = append(out, platform.Object{Key: key, Version: obj.Version})
		}
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return strings.Compare(a.Key, b.Key) })
	return out
}

func (s *Store) visibleHosts() []platform.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	visible := 0
	for i, list := range s.hosts {
		if !list.visibleFrom.After(now) {
			visible = i
		}
	}
	s.hosts = s.hosts[visible:]
	return slices.Clone(s.hosts[0].hosts)
}

// notifyWatches wakes the waiting watches. The caller holds the lock.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// rateWindow counts the calls in a window of one second.
type rateWindow struct {
	start time.Time
	used  int
}

func (w *rateWindow) allow(now time.Time, limit int) bool {
	if now.Sub(w.start) >= time.Second {
		*w = rateWindow{start: now}
	}
	if w.used >= limit {
		return false
	}
	w.used++
	return true
}
