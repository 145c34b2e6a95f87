package confstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/platform"
)

// watchWait is the greatest time for which one watch call waits. It is long
// because each call counts against the store's rate limit.
const watchWait = time.Minute

// Watcher follows the current configuration in the store.
type Watcher struct {
	Store platform.Store
	// Snapshot returns the newest snapshot that the host holds, or nil. Chunks
	// that it covers are not fetched.
	Snapshot func() *config.Snapshot
	// OnUpdate receives the updates to versions newer than that of Snapshot.
	OnUpdate func(Update)
	// OnConfirmed receives each version that the store reports as current. It may be nil.
	OnConfirmed func(version uint64)
	// OnError receives each error of the store. It may be nil.
	OnError func(error)
}

// Run watches the configuration until ctx ends. After a failure it waits for an
// exponential backoff before the next call.
func (w *Watcher) Run(ctx context.Context) {
	var known platform.Version
	failures := 0
	for ctx.Err() == nil {
		object, err := w.waitForChange(ctx, known)
		if err == nil {
			known = object
			failures = 0
			continue
		}
		if ctx.Err() == nil && w.OnError != nil {
			w.OnError(err)
		}
		failures++
		_ = waitBackoff(ctx, failures)
	}
}

// waitForChange waits up to watchWait for a change of the root and handles it.
// It returns the version of the root object.
func (w *Watcher) waitForChange(ctx context.Context, known platform.Version) (platform.Version, error) {
	wait := watchWait
	if known == 0 {
		// The first call only reads the current version.
		wait = 0
	}
	obj, err := w.Store.Watch(ctx, RootKey, known, wait)
	if err != nil {
		return 0, fmt.Errorf("watch configuration: %w", err)
	}
	if obj.Version == 0 {
		return 0, w.waitForFirst(ctx, known)
	}
	if obj.Version == known {
		return known, nil
	}
	return obj.Version, w.handleRoot(ctx, obj)
}

// waitForFirst waits for the first configuration in a store that has none.
func (w *Watcher) waitForFirst(ctx context.Context, known platform.Version) error {
	if known == 0 {
		w.confirm(0)
	}
	_, err := w.Store.Watch(ctx, RootKey, 0, watchWait)
	if err != nil {
		return fmt.Errorf("watch configuration: %w", err)
	}
	return nil
}

// handleRoot fetches the configuration of a new root and passes it to OnUpdate.
func (w *Watcher) handleRoot(ctx context.Context, obj platform.Object) error {
	r, err := decodeRoot(obj)
	if err != nil {
		return err
	}
	if have := w.Snapshot(); have == nil || have.Version() < r.Version {
		update, err := w.load(ctx, r, obj.Version, have)
		if err != nil {
			return err
		}
		w.OnUpdate(update)
	}
	w.confirm(r.Version)
	return nil
}

// load fetches the configuration of a root, or that of the current root if
// chunks of the given one have been removed.
func (w *Watcher) load(ctx context.Context, r root, object platform.Version, have *config.Snapshot) (Update, error) {
	state, err := loadState(ctx, w.Store, r, object, have)
	if errors.Is(err, platform.ErrNotFound) {
		return LoadUpdate(ctx, w.Store, have)
	}
	if err != nil {
		return Update{}, err
	}
	return describeUpdate(ctx, w.Store, state, have)
}

func (w *Watcher) confirm(version uint64) {
	if w.OnConfirmed != nil {
		w.OnConfirmed(version)
	}
}
