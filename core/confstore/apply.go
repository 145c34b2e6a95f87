package confstore

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"maps"
	mathrand "math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/core/retry"
)

const (
	// maxAttempts is the number of attempts of a call that the store does not
	// execute.
	maxAttempts = 4
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = 2 * time.Second
)

// Result describes the effect of an apply.
type Result struct {
	// Version is the version that holds the applied configuration.
	Version uint64
	// Changes are the differences from the base. If there are none, nothing was written.
	Changes []config.Change
	// Written is the number of chunk objects that were written.
	Written int
	// Superseded is true if a later apply has already replaced the version.
	Superseded bool
	// CleanupErr is the error of the removal of old chunks, which the next apply
	// retries.
	CleanupErr error
}

// ConflictError reports that another operator applied a configuration after
// the base was read. Nothing was changed.
type ConflictError struct {
	// Base is the version that the apply was based on.
	Base uint64
	// Current is the version in the store, or 0 if it could not be read.
	Current uint64
	// Changes are the changes in the store since the base. They are empty if the
	// store failed before they could be read.
	Changes []config.Change
}

// Error returns a message with the versions and the first changes.
func (e *ConflictError) Error() string {
	const shown = 5
	var lines []string
	for _, c := range e.Changes[:min(shown, len(e.Changes))] {
		lines = append(lines, c.String())
	}
	s := fmt.Sprintf("conflict: the configuration was changed from version %d to %d by another apply", e.Base, e.Current)
	if len(lines) > 0 {
		s += ": " + strings.Join(lines, "; ")
	}
	if more := len(e.Changes) - shown; more > 0 {
		s += fmt.Sprintf("; and %d more", more)
	}
	return s
}

// OutcomeUnknownError reports that an apply may or may not have taken effect,
// because the response was lost and reading the root did not resolve the outcome.
type OutcomeUnknownError struct {
	// Version is the version that the apply would have created.
	Version uint64
	// Err is the last failure.
	Err error
}

// Error returns a message with the version and the last failure.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: version %d may have been applied: %v", e.Version, e.Err)
}

// Unwrap returns the last failure.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// Apply makes the services of next the current configuration if base is still
// current. The version of next is ignored. If next does not differ from base,
// nothing is written. If a response is lost, Apply reads the root until it knows
// the outcome or ctx ends.
//
// Apply fails with a *ConflictError, an *OutcomeUnknownError, or an error of
// platform.Store, in which case the configuration is unchanged.
func Apply(ctx context.Context, store platform.Store, base *State, next *config.Snapshot) (Result, error) {
	a := &applier{store: store, base: base, next: next}
	return a.run(ctx)
}

// applier executes one apply.
type applier struct {
	store platform.Store
	base  *State
	next  *config.Snapshot
	root  root
}

func (a *applier) run(ctx context.Context) (Result, error) {
	changes := config.Diff(a.base.Snapshot, a.next)
	if len(changes) == 0 {
		return Result{Version: a.base.root.Version}, nil
	}
	objects, err := a.plan(changes)
	if err != nil {
		return Result{}, err
	}
	result := Result{Version: a.root.Version, Changes: changes, Written: len(objects)}
	if err := a.writeChunks(ctx, objects); err != nil {
		return Result{}, err
	}
	result.Superseded, err = a.writeRoot(ctx)
	if err != nil {
		return Result{}, err
	}
	if !result.Superseded {
		result.CleanupErr = a.cleanUp(ctx)
	}
	return result, nil
}

// plan builds the new root and the chunk objects that it needs.
func (a *applier) plan(changes []config.Change) (map[string][]byte, error) {
	a.root = root{
		Format:  format,
		Version: a.base.root.Version + 1,
		ApplyID: rand.Text(),
		Chunks:  maps.Clone(a.base.root.Chunks),
	}
	if a.root.Chunks == nil {
		a.root.Chunks = map[int]chunk{}
	}
	objects := map[string][]byte{}
	touched := map[int][]*config.Service{}
	for _, c := range changes {
		touched[bucketOf(c.Service)] = nil
	}
	for _, name := range a.next.Names() {
		if b := bucketOf(name); hasKey(touched, b) {
			touched[b] = append(touched[b], a.next.Service(name))
		}
	}
	for b, services := range touched {
		if err := a.planBucket(objects, b, services); err != nil {
			return nil, err
		}
	}
	a.root.History = a.history()
	return objects, nil
}

func (a *applier) planBucket(objects map[string][]byte, bucket int, services []*config.Service) error {
	if len(services) == 0 {
		delete(a.root.Chunks, bucket)
		return nil
	}
	data, err := encodeBucket(services)
	if err != nil {
		return err
	}
	parts := slices.Collect(slices.Chunk(data, partBytes))
	c := chunk{Version: a.root.Version, Hash: hashOf(data), Parts: len(parts)}
	a.root.Chunks[bucket] = c
	for i, part := range parts {
		objects[c.key(bucket, i)] = part
	}
	return nil
}

// history returns the history of the new root, latest version first.
func (a *applier) history() []historyEntry {
	if a.base.root.Version == 0 {
		return nil
	}
	now := a.root.chunkKeys()
	latest := historyEntry{Version: a.base.root.Version, ApplyID: a.base.root.ApplyID}
	for key := range a.base.root.chunkKeys() {
		if !now[key] {
			latest.Retired = append(latest.Retired, key)
		}
	}
	slices.Sort(latest.Retired)
	out := append([]historyEntry{latest}, a.base.root.History...)
	return out[:min(len(out), historyLength)]
}

func (a *applier) writeChunks(ctx context.Context, objects map[string][]byte) error {
	var jobs []func(context.Context) error
	for key, value := range objects {
		jobs = append(jobs, func(ctx context.Context) error {
			return retryNotExecuted(ctx, func() error { return a.writeChunk(ctx, key, value) })
		})
	}
	return runParallel(ctx, jobs)
}

// writeChunk creates a chunk object. One that already exists was written by an
// earlier attempt or by another apply with the same content. A lost response is
// reported as platform.ErrUnavailable, so that the call is retried: repeating it
// is harmless.
func (a *applier) writeChunk(ctx context.Context, key string, value []byte) error {
	_, err := a.store.Put(ctx, key, value, 0)
	switch {
	case errors.Is(err, platform.ErrUnknown):
		return fmt.Errorf("%w: write configuration: %v", platform.ErrUnavailable, err)
	case errors.Is(err, platform.ErrConflict):
		return a.checkChunk(ctx, key, value)
	case err != nil:
		return fmt.Errorf("write configuration: %w", err)
	}
	return nil
}

func (a *applier) checkChunk(ctx context.Context, key string, value []byte) error {
	obj, err := a.store.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	if !bytes.Equal(obj.Value, value) {
		return fmt.Errorf("chunk %s: %w: existing object with the same hash has different content", key, ErrCorrupt)
	}
	return nil
}

// writeRoot makes the new root current. It reports whether a later apply has
// already superseded it.
func (a *applier) writeRoot(ctx context.Context) (superseded bool, err error) {
	value, err := compressJSON(a.root)
	if err != nil {
		return false, err
	}
	lost := false
	for attempt := 1; ; attempt++ {
		_, err := a.store.Put(ctx, RootKey, value, a.base.object)
		lost = lost || errors.Is(err, platform.ErrUnknown)
		switch {
		case err == nil:
			return false, nil
		case errors.Is(err, platform.ErrConflict) || lost:
			resolved, superseded, err := a.resolveOutcome(ctx, lost)
			if resolved {
				return superseded, err
			}
		case !isRetryable(err) || attempt >= maxAttempts:
			return false, fmt.Errorf("write configuration: %w", err)
		}
		if werr := waitBackoff(ctx, attempt); werr != nil {
			return false, a.interruptedError(lost, fmt.Errorf("%w: %w", werr, err))
		}
	}
}

// interruptedError returns the error of a root update whose retries ended with
// err. The outcome is unknown if a response was lost.
func (a *applier) interruptedError(lost bool, err error) error {
	if lost {
		return &OutcomeUnknownError{Version: a.root.Version, Err: err}
	}
	return fmt.Errorf("write configuration: %w: %w", platform.ErrUnavailable, err)
}

// resolveOutcome reads the root to determine the outcome of the apply. The
// outcome is not resolved if the root is still that of the base, in which case
// the conditional put may be repeated, or if the root cannot be read.
func (a *applier) resolveOutcome(ctx context.Context, lost bool) (resolved, superseded bool, err error) {
	r, object, err := readRoot(ctx, a.store)
	switch {
	case err != nil && !lost:
		// The store rejected the put because of its version, so nothing changed.
		return true, false, &ConflictError{Base: a.base.root.Version}
	case err != nil || object == a.base.object:
		return false, false, nil
	case r.containsApply(a.root.ApplyID):
		return true, r.ApplyID != a.root.ApplyID, nil
	case lost && !r.coversVersion(a.root.Version):
		return true, false, &OutcomeUnknownError{
			Version: a.root.Version,
			Err:     fmt.Errorf("version %d is current and no longer records which apply made version %d", r.Version, a.root.Version),
		}
	default:
		return true, false, a.conflictError(ctx, r, object)
	}
}

// conflictError returns a *ConflictError with the changes since the base.
func (a *applier) conflictError(ctx context.Context, r root, object platform.Version) error {
	out := &ConflictError{Base: a.base.root.Version, Current: r.Version}
	current, err := loadState(ctx, a.store, r, object, a.base.Snapshot)
	if err == nil {
		out.Changes = config.Diff(a.base.Snapshot, current.Snapshot)
	}
	return out
}

// cleanUp removes the chunks that can no longer become current and that no
// version in the root's history references.
func (a *applier) cleanUp(ctx context.Context) error {
	keep := a.root.chunkKeys()
	for _, h := range a.root.History {
		for _, key := range h.Retired {
			keep[key] = true
		}
	}
	objects, err := a.store.List(ctx, chunkPrefix)
	if err != nil {
		return fmt.Errorf("remove old configuration: %w", err)
	}
	var jobs []func(context.Context) error
	for _, obj := range objects {
		v, ok := keyVersion(obj.Key)
		if !ok || v > a.root.Version || keep[obj.Key] {
			continue
		}
		jobs = append(jobs, func(ctx context.Context) error { return a.remove(ctx, obj) })
	}
	return runParallel(ctx, jobs)
}

func (a *applier) remove(ctx context.Context, obj platform.Object) error {
	err := a.store.Delete(ctx, obj.Key, obj.Version)
	gone := errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict)
	if err != nil && !gone {
		return fmt.Errorf("remove old configuration: %w", err)
	}
	return nil
}

// isRetryable reports whether err means that the store did not execute a call
// and that a later attempt may succeed.
func isRetryable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRateLimited)
}

// retryNotExecuted repeats a call until the store executes it, up to maxAttempts
// attempts.
func retryNotExecuted(ctx context.Context, call func() error) error {
	for attempt := 1; ; attempt++ {
		err := call()
		if err == nil || !isRetryable(err) || attempt >= maxAttempts {
			return err
		}
		if werr := waitBackoff(ctx, attempt); werr != nil {
			return err
		}
	}
}

// waitBackoff waits for an exponential backoff with random jitter.
func waitBackoff(ctx context.Context, attempt int) error {
	limit := min(minBackoff<<min(attempt-1, 10), maxBackoff)
	return retry.Sleep(ctx, limit/2+mathrand.N(limit/2))
}

func hasKey[K comparable, V any](m map[K]V, key K) bool {
	_, ok := m[key]
	return ok
}
