package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/retry"
)

// The timing of watches.
const (
	// reportWatch is how long a watch of reports waits for a change.
	reportWatchTimeout = 5 * time.Second
	// watchSlack is the time beyond its wait in which a watch must be answered: a
	// watch may have gone silent.
	watchTimeoutMargin = 500 * time.Millisecond
	// callTimeout bounds other calls to the store.
	callTimeout = 2 * time.Second
	// gatherTime is how long after a host's start changes are taken together, since
	// backend servers that start with it register one after the other, and
	// gatherPause how long they are gathered.
	batchPeriod = 5 * time.Second
	batchPause  = 600 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call; before
	// the first list it is firstRetry throughout, since the host cannot serve.
	minRetryPause = 150 * time.Millisecond
	maxRetryPause = time.Second
)

// change is what a watcher learned.
type storeChange struct {
	kind objects.Kind
	// full tells that the objects are all of their kind.
	full    bool
	objects []objects.Object
	// err is the failure of a call; the watcher goes on by itself.
	err error
}

// watcher follows the changes of a kind.
type watcher struct {
	store objects.Store
	kind  objects.Kind
	// wait is how long a call waits for a change. A store that loses its history
	// may leave a watch unanswered, so changes may be found this late.
	wait time.Duration
	post func(storeChange)
	// gatherUntil is the time up to which changes are taken together.
	batchUntil time.Time
}

// run lists the kind and then follows its changes until ctx ends.
func (w watcher) run(ctx context.Context) {
	pauses := backoff{limit: minRetryPause}
	for ctx.Err() == nil {
		listCtx, cancel := context.WithTimeout(ctx, callTimeout)
		snapshot, err := w.store.List(listCtx, w.kind, false)
		cancel()
		if err != nil {
			w.post(storeChange{kind: w.kind, err: err})
			pauses.wait(ctx)
			continue
		}
		pauses = backoff{limit: maxRetryPause}
		w.post(storeChange{kind: w.kind, full: true, objects: snapshot.Objects})
		w.follow(ctx, snapshot.Revision)
	}
}

// follow watches from a revision until its history is no longer kept.
func (w watcher) follow(ctx context.Context, since uint64) {
	pauses := backoff{limit: maxRetryPause}
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithTimeout(ctx, w.wait+watchTimeoutMargin)
		snapshot, err := w.store.Watch(watchCtx, w.kind, since, w.wait)
		cancel()
		if errors.Is(err, objects.ErrCompacted) {
			return
		}
		if err != nil {
			w.post(storeChange{kind: w.kind, err: err})
			pauses.wait(ctx)
			continue
		}
		pauses = backoff{limit: maxRetryPause}
		since = max(since, snapshot.Revision)
		w.post(storeChange{kind: w.kind, objects: snapshot.Objects})
		if time.Now().Before(w.batchUntil) {
			_ = retry.Sleep(ctx, batchPause)
		}
	}
}

// backoff separates retries, with exponential pauses and jitter.
type backoff struct{ last, limit time.Duration }

func (b *backoff) wait(ctx context.Context) {
	b.last = min(max(2*b.last, minRetryPause), b.limit)
	_ = retry.Sleep(ctx, b.last/2+rand.N(b.last))
}
