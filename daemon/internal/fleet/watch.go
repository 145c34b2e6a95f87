package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gypsumgap/gypsumgap/core/objects"
)

// The timing of watches.
const (
	// watchWait is how long a watch waits for a change.
	watchWait = 20 * time.Second
	// callTimeout bounds other calls to the store.
	callTimeout = 2 * time.Second
	// firstRetry and lastRetry bound the pause after a failed call.
	firstRetry = 150 * time.Millisecond
	lastRetry  = time.Second
)

// change is what a watcher learned.
type change struct {
	kind objects.Kind
	// full tells that the objects are all of their kind.
	full    bool
	objects []objects.Object
	// err is the failure of a call; the watcher goes on by itself.
	err error
}

// watch lists a kind and then follows its changes until ctx ends.
func watch(ctx context.Context, store objects.Store, kind objects.Kind, post func(change)) {
	var retry backoff
	for ctx.Err() == nil {
		listCtx, cancel := context.WithTimeout(ctx, callTimeout)
		snapshot, err := store.List(listCtx, kind, false)
		cancel()
		if err != nil {
			post(change{kind: kind, err: err})
			retry.wait(ctx)
			continue
		}
		retry = backoff{}
		post(change{kind: kind, full: true, objects: snapshot.Objects})
		follow(ctx, store, kind, snapshot.Revision, post)
	}
}

// follow watches from a revision until its history is no longer kept.
func follow(ctx context.Context, store objects.Store, kind objects.Kind, since uint64, post func(change)) {
	var retry backoff
	for ctx.Err() == nil {
		snapshot, err := store.Watch(ctx, kind, since, watchWait)
		if errors.Is(err, objects.ErrCompacted) {
			return
		}
		if err != nil {
			post(change{kind: kind, err: err})
			retry.wait(ctx)
			continue
		}
		retry = backoff{}
		since = max(since, snapshot.Revision)
		post(change{kind: kind, objects: snapshot.Objects})
	}
}

// backoff separates retries, with exponential pauses and jitter.
type backoff struct{ last time.Duration }

func (b *backoff) wait(ctx context.Context) {
	b.last = min(max(2*b.last, firstRetry), lastRetry)
	t := time.NewTimer(b.last/2 + rand.N(b.last))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
