package confstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/platform"
)

const (
	// maxParallelCalls is the number of concurrent store calls of one load or apply.
	maxParallelCalls = 8
	// maxLoadAttempts is the number of attempts of a load that finds chunks of the
	// root missing, because they were removed after it had read the root.
	maxLoadAttempts = 4
)

// Version reads the current version with one store call. It is 0 if the store
// has no configuration. It fails with the errors of platform.Store or ErrCorrupt.
func Version(ctx context.Context, store platform.Store) (uint64, error) {
	r, _, err := readRoot(ctx, store)
	return r.Version, err
}

// Load reads the current configuration. Chunks that have not changed since
// the snapshot have are not fetched; if have is nil, all are. A store without a
// configuration yields a state of version 0. Load fails with the errors of
// platform.Store or ErrCorrupt.
func Load(ctx context.Context, store platform.Store, have *config.Snapshot) (*State, error) {
	for attempt := 1; ; attempt++ {
		r, object, err := readRoot(ctx, store)
		if err != nil {
			return nil, err
		}
		state, err := loadState(ctx, store, r, object, have)
		if errors.Is(err, platform.ErrNotFound) {
			if attempt < maxLoadAttempts {
				continue
			}
			return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		return state, err
	}
}

func readRoot(ctx context.Context, store platform.Store) (root, platform.Version, error) {
	obj, err := store.Get(ctx, RootKey)
	if errors.Is(err, platform.ErrNotFound) {
		return root{}, 0, nil
	}
	if err != nil {
		return root{}, 0, fmt.Errorf("read configuration: %w", err)
	}
	r, err := decodeRoot(obj)
	return r, obj.Version, err
}

// loadState returns the state of a root. It fetches only the chunks that are
// newer than have. object is the store's version of the root object.
func loadState(ctx context.Context, store platform.Store, r root, object platform.Version, have *config.Snapshot) (*State, error) {
	if have == nil || have.Version() > r.Version {
		have = config.NewSnapshot(0, nil)
	}
	state := &State{root: r, object: object}
	if have.Version() == r.Version {
		state.Snapshot = have
		return state, nil
	}
	changed, err := fetchServices(ctx, store, r, have.Version())
	if err != nil {
		return nil, err
	}
	state.Snapshot = have.With(r.Version, changed, removedServices(have, r, changed))
	return state, nil
}

// fetchServices returns the services of the chunks written after version since.
func fetchServices(ctx context.Context, store platform.Store, r root, since uint64) ([]*config.Service, error) {
	var mu sync.Mutex
	var out []*config.Service
	var jobs []func(context.Context) error
	for b, c := range r.Chunks {
		if c.Version <= since {
			continue
		}
		jobs = append(jobs, func(ctx context.Context) error {
			services, err := fetchChunk(ctx, store, b, c)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, services...)
			return err
		})
	}
	if err := runParallel(ctx, jobs); err != nil {
		return nil, err
	}
	return out, nil
}

func fetchChunk(ctx context.Context, store platform.Store, bucket int, c chunk) ([]*config.Service, error) {
	var buf bytes.Buffer
	for p := range c.Parts {
		obj, err := store.Get(ctx, c.key(bucket, p))
		if err != nil {
			return nil, fmt.Errorf("read configuration: %w", err)
		}
		buf.Write(obj.Value)
	}
	if hashOf(buf.Bytes()) != c.Hash {
		return nil, fmt.Errorf("chunk %s: %w: content does not match its hash", c.key(bucket, 0), ErrCorrupt)
	}
	return decodeBucket(buf.Bytes())
}

// removedServices returns the names of the services of have that are missing in
// the buckets that were fetched or have become empty.
func removedServices(have *config.Snapshot, r root, fetched []*config.Service) []string {
	present := make(map[string]bool, len(fetched))
	for _, s := range fetched {
		present[s.Name] = true
	}
	var out []string
	for _, name := range have.Names() {
		c, ok := r.Chunks[bucketOf(name)]
		unchanged := ok && c.Version <= have.Version()
		if !unchanged && !present[name] {
			out = append(out, name)
		}
	}
	return out
}

// runParallel runs jobs, at most maxParallelCalls at a time, and returns the
// first error, after which no further jobs start.
func runParallel(ctx context.Context, jobs []func(context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	queue := make(chan func(context.Context) error)
	var wg sync.WaitGroup
	for range min(maxParallelCalls, len(jobs)) {
		wg.Go(func() {
			for job := range queue {
				if err := job(ctx); err != nil {
					cancel(err)
				}
			}
		})
	}
	for _, job := range jobs {
		if ctx.Err() != nil {
			break
		}
		queue <- job
	}
	close(queue)
	wg.Wait()
	return context.Cause(ctx)
}
