package replication

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

const (
	// DefaultRefreshInterval is the time between status requests to a slot while
	// no caller waits.
	DefaultRefreshInterval = time.Second
	// DefaultStatusTimeout is the deadline of a status request.
	DefaultStatusTimeout = 250 * time.Millisecond

	// minRefreshInterval bounds the request load that classes with a small
	// maximum age of data can cause.
	minRefreshInterval = 50 * time.Millisecond
	// failedSlotGap is the pause before the next request to a slot that did not
	// answer the last one.
	failedSlotGap = 100 * time.Millisecond
	// firstRepeatGap is the first pause between requests on behalf of the same
	// waits. The pause doubles each time, because a slot that lags behind usually
	// does so for a while.
	firstRepeatGap = time.Millisecond
	// lastRepeatGap is the longest such pause.
	lastRepeatGap = 16 * time.Millisecond
	// stallAfter is the age from which an unfinished commit wait is reported,
	// and the interval between such reports.
	stallAfter = 250 * time.Millisecond
	// reportInterval is the least time between reports of unchanged statuses of
	// a slot.
	reportInterval = 200 * time.Millisecond
)

// Observation is a report of a Runner to its observer: the outcome of a status
// request, a failure reported by traffic, or a stalled commit.
type Observation struct {
	// Slot is the index of the slot that Status or Err belongs to; -1 in a
	// report of stalled commits.
	Slot int
	// Sent is when the status request was sent.
	Sent time.Time
	// Status is the answer, if Err is nil.
	Status group.Status
	// Err is the reason why there is no answer. It wraps an error of package
	// group, or is ErrTrafficFailure.
	Err error
	// Stalled is the age of the oldest unfinished commit wait; 0 in other
	// reports.
	Stalled time.Duration
}

// ErrTrafficFailure is the Err of an observation that comes from ReportFailure.
var ErrTrafficFailure = errors.New("slot failure reported by traffic")

// Options configures a Runner.
type Options struct {
	// Client sends the status requests.
	Client group.Client
	// Slots are the slots of the group; there must be at least one.
	Slots []group.Slot
	// RefreshInterval is the time between requests to a slot while no caller
	// waits; 0 selects DefaultRefreshInterval.
	RefreshInterval time.Duration
	// StatusTimeout is the deadline of a request; 0 selects
	// DefaultStatusTimeout.
	StatusTimeout time.Duration
	// Observe, if set, is called from the goroutine of Run and must not block.
	// Unchanged statuses of a slot are reported at most every 200 ms.
	Observe func(Observation)
}

// Runner drives a Tracker through a group.Client and implements Monitor. Each
// slot has at most one request in flight. While a caller waits, the next request
// to a slot follows the last answer, so that one request serves all waits that
// began before it; otherwise each slot is asked once per refresh interval.
type Runner struct {
	opts Options
	// refresh is the refresh interval in nanoseconds.
	refresh atomic.Int64
	view    atomic.Pointer[View]
	// replicaCursor counts replica choices, to spread reads over the slots.
	replicaCursor atomic.Uint64
	// lastAnswers holds the time of the last answer of each slot, in nanoseconds
	// since started; 0 if there is none.
	lastAnswers []atomic.Int64
	// started is the time from which lastAnswers are counted.
	started time.Time

	mu sync.Mutex
	// inbox holds the functions that the goroutine of Run is to execute.
	inbox []func()
	ended bool
	wake  chan struct{}
	done  chan struct{}

	// The fields below belong to the goroutine of Run.
	tracker  *Tracker
	polls    []poll
	commits  []*commitWaiter
	barriers []*barrierWaiter
	views    []*viewWaiter
	// lastBeforeWait is the number of the last request sent before the latest
	// wait began.
	lastBeforeWait  uint64
	barrierRetryAt  time.Time
	stallReportedAt time.Time
	wg              sync.WaitGroup
}

// poll is the state of the status requests to one slot.
type poll struct {
	inFlight bool
	number   uint64 // of the last request
	sent     time.Time
	ended    time.Time
	failed   bool // the last request was not answered
	// repeatGap is the pause before the next request on behalf of the same waits.
	repeatGap time.Duration
	forced    bool // the next request is due at once
	// reportedAt is the time of the last report to the observer.
	reportedAt time.Time
	// reportedStatus is the status in the last report to the observer.
	reportedStatus group.Status
	// reportedErr is true if the last report to the observer was of a failure.
	reportedErr bool
}

// waitResult is the result of a wait; which fields are set depends on its kind.
type waitResult struct {
	position group.Position
	slot     int
	term     group.Term
	err      error
}

// commitWaiter is a blocked call of WaitDurable.
type commitWaiter struct {
	wait  CommitWait
	began time.Time
	reply chan waitResult
}

// barrierWaiter is a blocked call of Barrier.
type barrierWaiter struct {
	wait  BarrierWait
	reply chan waitResult
}

// viewWaiter is a blocked call that waits for a suitable view. ready returns the
// index of a slot in the view, or -1 if the wait goes on.
type viewWaiter struct {
	ready func(*View, time.Time) int
	reply chan waitResult
}

var _ Monitor = (*Runner)(nil)

// NewRunner returns a Runner. Its methods may be called before Run, but those
// that block return only while Run is active or once their context ends.
func NewRunner(o Options) *Runner {
	if o.RefreshInterval <= 0 {
		o.RefreshInterval = DefaultRefreshInterval
	}
	if o.StatusTimeout <= 0 {
		o.StatusTimeout = DefaultStatusTimeout
	}
	r := &Runner{
		opts:        o,
		lastAnswers: make([]atomic.Int64, len(o.Slots)),
		started:     time.Now(),
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		tracker:     NewTracker(o.Slots),
		polls:       make([]poll, len(o.Slots)),
	}
	r.SetRefreshInterval(o.RefreshInterval)
	r.view.Store(r.tracker.View())
	return r
}

// SetRefreshInterval sets the time between requests to a slot while no caller
// waits; values below 50 ms count as 50 ms. The age of data is known only to
// about this interval, so it should be at most half of the smallest age that a
// class in use accepts.
func (r *Runner) SetRefreshInterval(d time.Duration) {
	r.refresh.Store(int64(max(d, minRefreshInterval)))
	r.signal()
}

// Run follows the group until ctx ends and returns the cause. It must be called
// exactly once. Waits that are still pending fail with ErrStopped.
func (r *Runner) Run(ctx context.Context) error {
	defer r.stop()
	requests, cancel := context.WithCancel(ctx)
	defer r.wg.Wait()
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := time.Now()
		r.runInbox()
		r.completeWaits(now)
		next := r.sendDueRequests(requests, now)
		timer.Reset(next.Sub(now))
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-r.wake:
		case <-timer.C:
		}
	}
}

// stop fails the remaining waits.
func (r *Runner) stop() {
	r.mu.Lock()
	r.ended = true
	r.inbox = nil
	r.mu.Unlock()
	close(r.done)
}

// post queues f for the goroutine of Run.
func (r *Runner) post(f func()) {
	r.mu.Lock()
	if !r.ended {
		r.inbox = append(r.inbox, f)
	}
	r.mu.Unlock()
	r.signal()
}

// signal wakes the goroutine of Run.
func (r *Runner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// runInbox runs the queued functions.
func (r *Runner) runInbox() {
	r.mu.Lock()
	inbox := r.inbox
	r.inbox = nil
	r.mu.Unlock()
	for _, f := range inbox {
		f()
	}
}

// completeWaits ends the waits whose condition holds, and reports stalled
// commits.
func (r *Runner) completeWaits(now time.Time) {
	r.commits = removeIf(r.commits, func(w *commitWaiter) bool {
		p, done, err := r.tracker.CheckCommit(&w.wait)
		return replyIfDone(w.reply, waitResult{position: p, err: err}, done || err != nil)
	})
	r.barrierRetryAt = time.Time{}
	r.barriers = removeIf(r.barriers, func(w *barrierWaiter) bool {
		p, done, retry := r.tracker.CheckBarrier(now, &w.wait)
		if !retry.IsZero() && (r.barrierRetryAt.IsZero() || retry.Before(r.barrierRetryAt)) {
			r.barrierRetryAt = retry
		}
		return replyIfDone(w.reply, waitResult{position: p}, done)
	})
	v := r.view.Load()
	r.views = removeIf(r.views, func(w *viewWaiter) bool {
		i := w.ready(v, now)
		return replyIfDone(w.reply, waitResult{slot: i, term: v.Term}, i >= 0)
	})
	r.reportStall(now)
}

// removeIf removes the elements for which over returns true, in place.
func removeIf[T any](s []T, over func(T) bool) []T {
	kept := s[:0]
	for _, w := range s {
		if !over(w) {
			kept = append(kept, w)
		}
	}
	clear(s[len(kept):])
	return kept
}

// replyIfDone sends the result if the wait is over, and returns over. The send
// never blocks, because reply has room for one result.
func replyIfDone(reply chan waitResult, o waitResult, over bool) bool {
	if over {
		reply <- o
	}
	return over
}

// reportStall reports the age of the oldest commit wait if it is stalled.
func (r *Runner) reportStall(now time.Time) {
	if r.opts.Observe == nil || len(r.commits) == 0 {
		return
	}
	age := now.Sub(r.commits[0].began)
	if age < stallAfter || now.Sub(r.stallReportedAt) < stallAfter {
		return
	}
	r.stallReportedAt = now
	r.opts.Observe(Observation{Slot: -1, Stalled: age})
}

// sendDueRequests starts the requests that are due and returns when to check
// again.
func (r *Runner) sendDueRequests(ctx context.Context, now time.Time) time.Time {
	next := now.Add(time.Duration(r.refresh.Load()))
	if !r.barrierRetryAt.IsZero() && r.barrierRetryAt.Before(next) {
		next = r.barrierRetryAt
	}
	for i := range r.polls {
		p := &r.polls[i]
		if p.inFlight {
			continue
		}
		due := r.nextRequestTime(p, now)
		if due.After(now) {
			if due.Before(next) {
				next = due
			}
			continue
		}
		r.sendRequest(ctx, now, i)
	}
	return next
}

// nextRequestTime returns when the next request to the slot is due.
func (r *Runner) nextRequestTime(p *poll, now time.Time) time.Time {
	if p.sent.IsZero() || p.forced {
		return now
	}
	idle := p.sent.Add(time.Duration(r.refresh.Load()))
	if len(r.commits)+len(r.barriers)+len(r.views) == 0 {
		return idle
	}
	wanted := now
	switch {
	case p.failed:
		wanted = p.ended.Add(failedSlotGap)
	case p.number <= r.lastBeforeWait:
		p.repeatGap = 0
	default:
		wanted = p.ended.Add(max(p.repeatGap, firstRepeatGap))
	}
	if idle.Before(wanted) {
		return idle
	}
	return wanted
}

// sendRequest starts a status request to the slot.
func (r *Runner) sendRequest(ctx context.Context, now time.Time, slot int) {
	p := &r.polls[slot]
	if p.number > r.lastBeforeWait {
		p.repeatGap = min(max(2*p.repeatGap, firstRepeatGap), lastRepeatGap)
	}
	q := r.tracker.BeginRequest(now, slot)
	p.inFlight, p.forced, p.number, p.sent = true, false, q.Number, now
	r.wg.Go(func() {
		c, cancel := context.WithTimeout(ctx, r.opts.StatusTimeout)
		st, err := r.opts.Client.Status(c, r.opts.Slots[slot])
		cancel()
		r.post(func() { r.handleAnswer(q, st, err) })
	})
}

// handleAnswer records the outcome of a request and publishes the new view.
func (r *Runner) handleAnswer(q Request, st group.Status, err error) {
	now := time.Now()
	p := &r.polls[q.Slot]
	p.inFlight, p.ended, p.failed = false, now, err != nil
	if err != nil {
		r.tracker.RecordFailure(q)
	} else {
		r.tracker.RecordAnswer(q, st)
		r.ReportAnswer(r.opts.Slots[q.Slot].ID)
	}
	r.view.Store(r.tracker.View())
	r.observe(now, q, st, err)
}

// observe reports failures and changes to the observer at once, and unchanged
// answers at most once per reportInterval.
func (r *Runner) observe(now time.Time, q Request, st group.Status, err error) {
	if r.opts.Observe == nil {
		return
	}
	p := &r.polls[q.Slot]
	same := err == nil && !p.reportedErr && sameState(p.reportedStatus, st)
	if same && now.Sub(p.reportedAt) < reportInterval {
		return
	}
	p.reportedAt, p.reportedStatus, p.reportedErr = now, st, err != nil
	r.opts.Observe(Observation{Slot: q.Slot, Sent: q.Sent, Status: st, Err: err})
}

// sameState reports whether a and b agree in everything that failover decisions
// depend on except positions.
func sameState(a, b group.Status) bool {
	return a.Role == b.Role && a.AcceptedTerm == b.AcceptedTerm && a.Received.Term == b.Received.Term &&
		a.Leaving == b.Leaving && a.Upstream == b.Upstream
}

// Refresh requests the status of every slot at once and returns when a primary
// of at least the term is known. It fails with the error of the context or with
// ErrStopped.
func (r *Runner) Refresh(ctx context.Context, term group.Term) error {
	r.post(func() {
		for i := range r.polls {
			r.polls[i].forced = true
		}
	})
	return r.waitView(ctx, func(v *View, _ time.Time) int {
		if v.Term < term {
			return -1
		}
		return v.Primary
	}).err
}

// View returns the latest snapshot. It does not block.
func (r *Runner) View() *View { return r.view.Load() }

// LastAnswer returns when the slot last answered a status request or a
// statement; the zero time if it never did.
func (r *Runner) LastAnswer(slot int) time.Time {
	ns := r.lastAnswers[slot].Load()
	if ns == 0 {
		return time.Time{}
	}
	return r.started.Add(time.Duration(ns))
}

// Primary implements Monitor.
func (r *Runner) Primary() (group.Slot, group.Term, bool) {
	v := r.view.Load()
	if v.Primary < 0 {
		return group.Slot{}, 0, false
	}
	return v.Slots[v.Primary].Slot, v.Term, true
}

// WaitPrimary implements Monitor.
func (r *Runner) WaitPrimary(ctx context.Context) (group.Slot, group.Term, error) {
	if s, term, ok := r.Primary(); ok {
		return s, term, nil
	}
	o := r.waitView(ctx, func(v *View, _ time.Time) int { return v.Primary })
	if o.err != nil {
		return group.Slot{}, 0, o.err
	}
	return r.opts.Slots[o.slot], o.term, nil
}

// WaitDurable implements Monitor.
func (r *Runner) WaitDurable(ctx context.Context, t group.Term) (group.Position, error) {
	w := &commitWaiter{reply: make(chan waitResult, 1)}
	o := r.wait(ctx, w.reply, func() {
		r.lastBeforeWait = r.tracker.lastRequest
		w.wait, w.began = r.tracker.BeginCommit(t), time.Now()
		r.commits = append(r.commits, w)
	}, func() { r.commits = removeIf(r.commits, func(o *commitWaiter) bool { return o == w }) })
	return o.position, o.err
}

// Barrier implements Monitor.
func (r *Runner) Barrier(ctx context.Context) (group.Position, error) {
	w := &barrierWaiter{reply: make(chan waitResult, 1)}
	o := r.wait(ctx, w.reply, func() {
		r.lastBeforeWait = r.tracker.lastRequest
		w.wait = r.tracker.BeginBarrier()
		r.barriers = append(r.barriers, w)
	}, func() { r.barriers = removeIf(r.barriers, func(o *barrierWaiter) bool { return o == w }) })
	return o.position, o.err
}

// PickReplica implements Monitor.
func (r *Runner) PickReplica(need group.Position, maxAge time.Duration) (group.Slot, bool) {
	i := r.pick(r.view.Load(), time.Now(), need, maxAge)
	if i < 0 {
		return group.Slot{}, false
	}
	return r.opts.Slots[i], true
}

// pick chooses a replica from the view, beginning at a different slot each time.
func (r *Runner) pick(v *View, now time.Time, need group.Position, maxAge time.Duration) int {
	start := int(r.replicaCursor.Add(1) % uint64(len(r.opts.Slots)))
	return v.PickReplica(now, need, maxAge, start)
}

// WaitReplica implements Monitor.
func (r *Runner) WaitReplica(ctx context.Context, need group.Position, maxAge time.Duration) (group.Slot, error) {
	if s, ok := r.PickReplica(need, maxAge); ok {
		return s, nil
	}
	o := r.waitView(ctx, func(v *View, now time.Time) int { return r.pick(v, now, need, maxAge) })
	if o.err != nil {
		return group.Slot{}, o.err
	}
	return r.opts.Slots[o.slot], nil
}

// waitView blocks until ready accepts a view.
func (r *Runner) waitView(ctx context.Context, ready func(*View, time.Time) int) waitResult {
	w := &viewWaiter{ready: ready, reply: make(chan waitResult, 1)}
	return r.wait(ctx, w.reply, func() {
		r.lastBeforeWait = r.tracker.lastRequest
		r.views = append(r.views, w)
	}, func() { r.views = removeIf(r.views, func(o *viewWaiter) bool { return o == w }) })
}

// wait runs begin in the goroutine of Run and waits for the reply. If ctx ends
// first, it runs withdraw there.
func (r *Runner) wait(ctx context.Context, reply chan waitResult, begin, withdraw func()) waitResult {
	if err := context.Cause(ctx); err != nil {
		return waitResult{err: err}
	}
	r.post(begin)
	select {
	case o := <-reply:
		return o
	case <-ctx.Done():
		r.post(withdraw)
		return waitResult{err: context.Cause(ctx)}
	case <-r.done:
		return waitResult{err: ErrStopped}
	}
}

// ReportAnswer implements Monitor.
func (r *Runner) ReportAnswer(slot group.SlotID) {
	if i := r.slotIndex(slot); i >= 0 {
		r.lastAnswers[i].Store(int64(time.Since(r.started)) | 1)
	}
}

// ReportFailure implements Monitor.
func (r *Runner) ReportFailure(slot group.SlotID) {
	i := r.slotIndex(slot)
	if i < 0 {
		return
	}
	r.post(func() {
		r.tracker.Suspect(i)
		r.polls[i].forced = true
		r.view.Store(r.tracker.View())
		if r.opts.Observe != nil {
			r.opts.Observe(Observation{Slot: i, Sent: time.Now(), Err: ErrTrafficFailure})
		}
	})
}

// slotIndex returns the index of the slot, or -1 if it is not in the group.
func (r *Runner) slotIndex(id group.SlotID) int {
	for i := range r.opts.Slots {
		if r.opts.Slots[i].ID == id {
			return i
		}
	}
	return -1
}
