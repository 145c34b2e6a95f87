package confstore_test

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
)

// service returns a service with the given number of databases of five slots.
// Its random addresses and verifiers compress as poorly as real ones.
func service(name string, databases int) config.Service {
	random := rand.New(rand.NewChaCha8(sha256.Sum256([]byte(name))))
	s := config.Service{
		Name:          name,
		CommitTimeout: config.DefaultCommitTimeout,
		ReplicaWait:   config.DefaultReplicaWait,
		Callers:       []config.Caller{{User: "crew", Verifier: verifier(random)}},
		Classes:       []config.Class{{Name: "pay-claim", Deadline: config.DefaultDeadline, QueueLimit: 100}},
	}
	for d := range databases {
		db := config.Database{Name: fmt.Sprintf("%s-%d", name, d), ConnectionLimit: 45}
		for i := range 5 {
			db.Slots = append(db.Slots, group.Slot{
				ID:      group.SlotID(fmt.Sprintf("%s/%d", db.Name, i)),
				Address: fmt.Sprintf("10.%d.%d.%d:5432", random.IntN(256), random.IntN(256), random.IntN(256)),
				Zone:    fmt.Sprintf("zone-%d", i),
				Region:  "region",
			})
		}
		s.Databases = append(s.Databases, db)
	}
	return s
}

func verifier(random *rand.Rand) string {
	key := func(n int) string {
		b := make([]byte, n)
		for i := range b {
			b[i] = byte(random.Uint32())
		}
		return base64.StdEncoding.EncodeToString(b)
	}
	return "SCRAM-SHA-256$4096:" + key(16) + "$" + key(32) + ":" + key(32)
}

func services(names ...string) *config.Snapshot {
	var out []config.Service
	for _, name := range names {
		out = append(out, service(name, 1))
	}
	return config.NewSnapshot(0, out)
}

func load(t *testing.T, s platform.Store) *confstore.State {
	t.Helper()
	state, err := confstore.Load(context.Background(), s, nil)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// apply applies a snapshot to the current configuration and fails the test on
// an error.
func apply(t *testing.T, s platform.Store, next *config.Snapshot) confstore.Result {
	t.Helper()
	result, err := confstore.Apply(context.Background(), s, load(t, s), next)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func wantCurrent(t *testing.T, s platform.Store, version uint64, want *config.Snapshot) {
	t.Helper()
	got := load(t, s).Snapshot
	if got.Version() != version {
		t.Errorf("version %d is current, want %d", got.Version(), version)
	}
	if changes := config.Diff(want, got); len(changes) > 0 {
		t.Errorf("the current configuration differs from the expected one: %v", changes)
	}
}

// Guards against an apply that loses a service, keeps a removed one, or writes
// without a change.
func TestApplyAndLoad(t *testing.T) {
	s := platformtest.New(platformtest.Options{})
	apply(t, s, services("a", "b", "c"))
	wantCurrent(t, s, 1, services("a", "b", "c"))
	apply(t, s, services("b", "c", "d"))
	wantCurrent(t, s, 2, services("b", "c", "d"))

	writes := s.Counts().Writes()
	if result := apply(t, s, services("d", "c", "b")); len(result.Changes) != 0 || result.Version != 2 {
		t.Errorf("apply without a change: got %+v, want version 2 without changes", result)
	}
	if got := s.Counts().Writes(); got != writes {
		t.Errorf("apply without a change: got %d writes, want 0", got-writes)
	}
}

// Guards against an apply that silently overwrites the change of another
// operator, and against a conflict error that does not name that change.
func TestOneOfTwoAppliesConflicts(t *testing.T) {
	s := platformtest.New(platformtest.Options{})
	apply(t, s, services("a"))
	base := load(t, s)
	apply(t, s, services("a", "b"))

	_, err := confstore.Apply(t.Context(), s, base, services("a", "c"))
	var conflict *confstore.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got error %v, want a conflict", err)
	}
	if conflict.Base != 1 || conflict.Current != 2 || len(conflict.Changes) != 1 || conflict.Changes[0].Service != "b" {
		t.Errorf("got conflict %+v, want base 1, current 2 and a change of service b", conflict)
	}
	if !strings.Contains(err.Error(), "added service b") {
		t.Errorf("got error %v, want it to name the added service b", err)
	}
	wantCurrent(t, s, 2, services("a", "b"))
}

// Guards against an apply that reports a failure although it took effect, or
// that takes effect twice, when responses are lost.
func TestLostResponsesAreResolved(t *testing.T) {
	for _, lost := range []int{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			s := platformtest.New(platformtest.Options{})
			apply(t, s, services("a"))
			s.SetFaults(platformtest.Faults{LoseResponses: lost})
			if result := apply(t, s, services("a", "b")); result.Version != 2 {
				t.Errorf("%d lost responses: applied version %d, want 2", lost, result.Version)
			}
			wantCurrent(t, s, 2, services("a", "b"))
		})
	}
}

// lossyRootStore loses the response of the first root update and then calls after.
type lossyRootStore struct {
	platform.Store
	after func()
	// drop prevents that update from taking effect.
	drop bool
	puts int
}

func (l *lossyRootStore) Put(ctx context.Context, key string, value []byte, expected platform.Version) (platform.Version, error) {
	if key != confstore.RootKey {
		return l.Store.Put(ctx, key, value, expected)
	}
	l.puts++
	if l.puts > 1 {
		return l.Store.Put(ctx, key, value, expected)
	}
	if !l.drop {
		if _, err := l.Store.Put(ctx, key, value, expected); err != nil {
			return 0, err
		}
	}
	l.after()
	return 0, platform.ErrUnknown
}

// Guards against a wrong outcome of an apply whose response is lost while
// another apply follows or precedes it.
func TestLostResponseWithConcurrentApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platformtest.New(platformtest.Options{})
		apply(t, s, services("a"))
		base := load(t, s)
		l := &lossyRootStore{Store: s, after: func() { apply(t, s, services("a", "b", "c")) }}
		result, err := confstore.Apply(t.Context(), l, base, services("a", "b"))
		if err != nil || !result.Superseded || result.Version != 2 {
			t.Errorf("superseded apply: got %+v, %v, want superseded version 2", result, err)
		}
		wantCurrent(t, s, 3, services("a", "b", "c"))

		base = load(t, s)
		l = &lossyRootStore{Store: s, drop: true, after: func() { apply(t, s, services("d")) }}
		_, err = confstore.Apply(t.Context(), l, base, services("e"))
		var conflict *confstore.ConflictError
		if !errors.As(err, &conflict) {
			t.Errorf("apply that did not take effect: got error %v, want a conflict", err)
		}
		wantCurrent(t, s, 4, services("d"))

		l = &lossyRootStore{Store: s, drop: true, after: func() {}}
		if _, err := confstore.Apply(t.Context(), l, load(t, s), services("e")); err != nil {
			t.Errorf("a dropped update of the root was not repeated: %v", err)
		}
		wantCurrent(t, s, 5, services("e"))
	})
}

// Guards against an apply that reports a definite outcome although the response
// is lost and the store stays unavailable.
func TestOutcomeStaysUnknownInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platformtest.New(platformtest.Options{})
		apply(t, s, services("a"))
		base := load(t, s)
		l := &lossyRootStore{Store: s, after: func() { s.SetFaults(platformtest.Faults{Down: true}) }}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		_, err := confstore.Apply(ctx, l, base, services("b"))
		var unknown *confstore.OutcomeUnknownError
		if !errors.As(err, &unknown) || unknown.Version != 2 {
			t.Errorf("got error %v, want an unknown outcome of version 2", err)
		}
	})
}

// Guards against an apply that changes something in an outage, or that fails
// without one of the errors of package platform.
func TestApplyInAnOutageChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, f := range []platformtest.Faults{{Down: true}, {RateLimit: true}} {
			s := platformtest.New(platformtest.Options{})
			apply(t, s, services("a"))
			base := load(t, s)
			s.SetFaults(f)
			_, err := confstore.Apply(t.Context(), s, base, services("b"))
			if !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrRateLimited) {
				t.Errorf("%+v: got error %v, want ErrUnavailable or ErrRateLimited", f, err)
			}
			s.SetFaults(platformtest.Faults{})
			wantCurrent(t, s, 1, services("a"))
		}
	})
}

// Guards against old chunks that accumulate, and against the removal of chunks
// that a recent version references.
func TestOldChunksAreRemoved(t *testing.T) {
	s := platformtest.New(platformtest.Options{})
	apply(t, s, services("a"))
	if _, err := s.Put(t.Context(), "config/chunks/2/00-orphan-0", nil, 0); err != nil {
		t.Fatal(err)
	}
	const rounds = 30
	for i := range rounds {
		next := services("a")
		next.Service("a").Classes[0].QueueLimit = i
		apply(t, s, next)
	}
	objects, err := s.List(t.Context(), "config/chunks/")
	if err != nil {
		t.Fatal(err)
	}
	if len(objects) != 9 {
		t.Errorf("%d chunks are left, want the 9 of the current and 8 earlier versions", len(objects))
	}
}

// Guards against a load that fetches unchanged chunks, which would cost a
// watching host a read of every bucket on each change.
func TestLoadFetchesOnlyChangedChunks(t *testing.T) {
	s := platformtest.New(platformtest.Options{})
	names := []string{"a", "b", "c", "d", "e", "f"}
	apply(t, s, services(names...))
	have := load(t, s).Snapshot
	apply(t, s, services(names[1:]...))
	next := services(names[1:]...)
	next.Service("c").Classes[0].QueueLimit = 7
	apply(t, s, next)

	before := s.Counts().Gets
	state, err := confstore.Load(t.Context(), s, have)
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Counts().Gets - before; got != 2 {
		t.Errorf("made %d reads, want 2: the root and one chunk", got)
	}
	if changes := config.Diff(next, state.Snapshot); len(changes) > 0 {
		t.Errorf("the loaded configuration differs from the applied one: %v", changes)
	}
}

// Guards against an update over several versions that omits a change which a
// later version reverted: a peer that holds a version in between would keep it.
func TestUpdateNamesChangesThatWereUndone(t *testing.T) {
	s := platformtest.New(platformtest.Options{})
	all := services("a", "b", "c")
	apply(t, s, all)
	have := load(t, s).Snapshot
	changed := *have.Service("a")
	changed.CommitTimeout++
	apply(t, s, all.With(0, []*config.Service{&changed}, nil))
	apply(t, s, services("a", "b", "c", "d"))
	apply(t, s, services("a", "b"))
	update, err := confstore.LoadUpdate(t.Context(), s, have)
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(update.Touched, " "); !update.Complete || update.Base != 1 || got != "a c d" {
		t.Errorf("got base %d, complete %v, touched %q; want base 1, true and \"a c d\"", update.Base, update.Complete, got)
	}

	for i := range 9 {
		changed.CommitTimeout += config.Duration(i)
		apply(t, s, all.With(0, []*config.Service{&changed}, nil))
		changed.CommitTimeout++
	}
	update, err = confstore.LoadUpdate(t.Context(), s, have)
	if err != nil {
		t.Fatal(err)
	}
	if update.Complete || update.Snapshot.Version() != 13 {
		t.Errorf("update from a version beyond the history: got %+v, want an incomplete one to version 13", update)
	}
}

// Guards against values above the platform's limit at the target size of 19,000
// databases, and against a change of one service that rewrites other buckets.
func TestValueLimitAt19000Databases(t *testing.T) {
	const databases = 19_000
	var many []config.Service
	for i := range databases / 3 {
		many = append(many, service(fmt.Sprintf("service-%d", i), 3))
	}
	many = append(many, service("service-last", databases%3))
	for name, all := range map[string][]config.Service{
		"services of three databases": many,
		"one service":                 {service("service", databases)},
	} {
		t.Run(name, func(t *testing.T) {
			s := platformtest.New(platformtest.Options{})
			next := config.NewSnapshot(0, all)
			result := apply(t, s, next)
			wantCurrent(t, s, 1, next)
			largest, total := sizes(t, s)
			t.Logf("%d chunk objects, largest object %d bytes, all %d bytes", result.Written, largest, total)

			if len(all) == 1 {
				return
			}
			changed := *next.Service(all[0].Name)
			changed.CommitTimeout++
			result = apply(t, s, next.With(0, []*config.Service{&changed}, nil))
			if result.Written != 1 {
				t.Errorf("a change of one service wrote %d chunks, want 1", result.Written)
			}
		})
	}
}

// sizes returns the size of the largest object and the total size of all objects.
func sizes(t *testing.T, s platform.Store) (largest, total int) {
	t.Helper()
	objects, err := s.List(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range objects {
		obj, err := s.Get(t.Context(), o.Key)
		if err != nil {
			t.Fatal(err)
		}
		largest = max(largest, len(obj.Value))
		total += len(obj.Value)
	}
	return largest, total
}

// Guards against a watcher that misses a version, stops in an outage, or
// calls the store more often than once per wait while nothing changes.
func TestWatcherFollowsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platformtest.New(platformtest.Options{})
		ctx, cancel := context.WithCancel(t.Context())
		var have atomic.Pointer[config.Snapshot]
		var confirmed atomic.Uint64
		w := &confstore.Watcher{
			Store:       s,
			Snapshot:    have.Load,
			OnUpdate:    func(u confstore.Update) { have.Store(u.Snapshot) },
			OnConfirmed: confirmed.Store,
		}
		done := make(chan struct{})
		go func() {
			w.Run(ctx)
			close(done)
		}()
		apply(t, s, services("a"))
		synctest.Wait()
		if v := have.Load(); v == nil || v.Version() != 1 || confirmed.Load() != 1 {
			t.Fatalf("after the first apply: got snapshot %v, confirmed version %d, want version 1", v, confirmed.Load())
		}
		before := s.Counts().Total()
		time.Sleep(10 * time.Minute)
		if got := s.Counts().Total() - before; got > 11 {
			t.Errorf("made %d calls in 10 idle minutes, want at most 11", got)
		}
		s.SetFaults(platformtest.Faults{Down: true})
		time.Sleep(5 * time.Minute)
		s.SetFaults(platformtest.Faults{})
		apply(t, s, services("a", "b"))
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if v := have.Load(); v.Version() != 2 || v.Service("b") == nil {
			t.Errorf("got version %d 3 s after the end of an outage, want 2 with service b", v.Version())
		}
		cancel()
		<-done
	})
}
