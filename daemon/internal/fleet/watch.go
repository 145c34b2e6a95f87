package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/retry"
)

// Timeouts of watches.
const (
	// reportWatchTimeout is how long a watch of reports waits for a change.
	reportWatchTimeout = 5 * time.Second
	// watchTimeoutMargin is the time beyond its wait within which a watch must
	// return. A watch may stop answering.
	watchTimeoutMargin = 500 * time.Millisecond
	// checkWait is the shortest time that a watch waits for a change. The first watch
	// after a failed one waits no longer: if the store went back to an older copy
	// meanwhile, its answer is the first sign of that.
	checkWait = 50 * time.Millisecond
	// callTimeout bounds other calls to the store.
	callTimeout = 2 * time.Second
	// batchPeriod is the time after the start of a host during which changes are
	// batched, since backend servers that start with it register one after the
	// other.
	batchPeriod = 5 * time.Second
	// batchPause is the length of one batch.
	batchPause = 600 * time.Millisecond
	// minRetryPause is the shortest pause after a failed call, before jitter is
	// added. The pause remains at it until the first list succeeds, since the host
	// cannot serve without that list.
	minRetryPause = 150 * time.Millisecond
	// maxRetryPause is the longest pause after a failed call, before jitter is
	// added.
	maxRetryPause = time.Second
)

// storeChange is a change of the objects of a kind, or a failure to read them.
type storeChange struct {
	kind objects.Kind
	// full is true if objects holds all objects of the kind.
	full bool
	// objects holds the changed objects, or all objects if full is true.
	objects []objects.Object
	// revision is the revision of the store up to which the change is complete. It
	// was complete at provenAt, or later.
	revision objects.Revision
	provenAt time.Time
	// err is the error of a call. The watcher retries by itself.
	err error
}

// watcher follows the changes of the objects of a kind.
type watcher struct {
	store objects.Store
	kind  objects.Kind
	now   func() time.Time
	// wait returns how long a call waits for a change. A store that drops its history
	// may leave a watch unanswered, so changes may be detected this late.
	wait func() time.Duration
	post func(storeChange)
	// batchUntil is the time until which changes are batched.
	batchUntil time.Time
}

// run lists the objects of the kind and then follows their changes until ctx
// ends. It lists them again if the store no longer keeps the history.
func (w watcher) run(ctx context.Context) {
	pauses := backoff{limit: minRetryPause}
	for ctx.Err() == nil {
		requestedAt := w.now()
		listCtx, cancel := context.WithTimeout(ctx, callTimeout)
		snapshot, err := w.store.List(listCtx, w.kind, false)
		cancel()
		if err != nil {
			w.post(storeChange{kind: w.kind, err: err})
			pauses.wait(ctx)
			continue
		}
		pauses = backoff{limit: maxRetryPause}
		w.post(storeChange{kind: w.kind, full: true, objects: snapshot.Objects, revision: snapshot.Revision, provenAt: requestedAt})
		w.follow(ctx, snapshot.Revision, requestedAt)
	}
}

// follow watches from a revision, which was the latest one at provenAt, until the
// store no longer keeps the history or ctx ends.
func (w watcher) follow(ctx context.Context, since objects.Revision, provenAt time.Time) {
	pauses := backoff{limit: maxRetryPause}
	failed := false
	for ctx.Err() == nil {
		requestedAt := w.now()
		wait := w.waitAfter(requestedAt.Sub(provenAt), failed)
		watchCtx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
		snapshot, err := w.store.Watch(watchCtx, w.kind, since, wait)
		cancel()
		if errors.Is(err, objects.ErrCompacted) {
			return
		}
		failed = err != nil
		if failed {
			w.post(storeChange{kind: w.kind, err: err})
			pauses.wait(ctx)
			continue
		}
		pauses = backoff{limit: maxRetryPause}
		since = max(since, snapshot.Revision)
		provenAt = requestedAt
		if len(snapshot.Objects) == 0 && w.now().Sub(requestedAt) >= wait {
			// The store waited that long before it answered that nothing changed.
			provenAt = requestedAt.Add(wait)
		}
		w.post(storeChange{kind: w.kind, objects: snapshot.Objects, revision: since, provenAt: provenAt})
		if time.Now().Before(w.batchUntil) {
			_ = retry.Sleep(ctx, batchPause)
		}
	}
}

// waitAfter returns how long the next watch waits for a change. A watch that
// reported a change proves the state at its start only, so the next one is shorter by
// the age of that proof.
func (w watcher) waitAfter(proofAge time.Duration, failed bool) time.Duration {
	wait := w.wait()
	if failed {
		return min(wait, checkWait)
	}
	return min(wait, max(wait-proofAge, checkWait))
}

// backoff implements exponential backoff with jitter.
type backoff struct{ last, limit time.Duration }

func (b *backoff) wait(ctx context.Context) {
	b.last = min(max(2*b.last, minRetryPause), b.limit)
	_ = retry.Sleep(ctx, b.last/2+rand.N(b.last))
}
