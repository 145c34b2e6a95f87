package admission

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// AgingStep is the waiting time after which a request gains one level of
	// priority.
	AgingStep = 500 * time.Millisecond
	// AdmissionsPerAged bounds the admissions that overtake a better class
	// because of age to one in this many.
	AdmissionsPerAged = 10
	// RampStep is the time in which the release rate after a failover doubles.
	RampStep = 50 * time.Millisecond

	// reserveDivisor reserves a tenth of the limit for the classes that may use
	// the reserve.
	reserveDivisor = 10
	// firstStepDivisor makes the first step of a release admit an eighth of the
	// limit.
	firstStepDivisor = 8
	// rampSteps is the number of steps after which the release ends; by then its
	// rate has grown 1024-fold.
	rampSteps = 10
	// ewmaDivisor gives a new observation a weight of one eighth in a moving
	// average.
	ewmaDivisor = 8
)

// Class holds the properties of a request class on which admission depends.
type Class struct {
	// Name identifies the queue of the class.
	Name string
	// Priority orders the classes; the lowest value is admitted first.
	Priority int
	// QueueLimit is the largest number of requests of the class that may wait.
	QueueLimit int
	// MayUseReserve reports whether the class may use the reserved connections.
	MayUseReserve bool
}

// Reason is the reason why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// QueueFull means that QueueLimit requests of the class wait already.
	QueueFull Reason = "queue full"
	// DeadlineUnreachable means that the request would not finish before its
	// deadline.
	DeadlineUnreachable Reason = "deadline cannot be met"
	// Closed means that the limiter was closed.
	Closed Reason = "closed"
)

// RefusedError reports a request that was not admitted.
type RefusedError struct {
	Reason Reason
	// Class is the name of the class of the request.
	Class string
}

// Error returns the reason and the class.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("not admitted: %s (class %q)", e.Reason, e.Class)
}

// Status is the state of a ticket.
type Status int

// The statuses of a ticket.
const (
	// Inactive is the status before arrival and after Finish or Cancel.
	Inactive Status = iota
	// Waiting is the status in the queue of the class.
	Waiting
	// Admitted is the status while the ticket holds one connection of the limit.
	Admitted
	// Refused is the final status of a ticket that was not admitted.
	Refused
)

// Ticket is one request. The caller owns the memory and sets Class and Deadline
// before the request arrives; the other fields belong to State.
type Ticket struct {
	Class *Class
	// Deadline is the time by which the request must have finished.
	Deadline time.Time

	status     Status
	reason     Reason
	arrived    time.Time
	admitted   time.Time
	generation int // State.generation at admission
	queue      *queue
	previous   *Ticket
	next       *Ticket
	done       chan struct{} // closed by Limiter when the ticket stops waiting
}

// Status returns the state of the ticket.
func (t *Ticket) Status() Status { return t.status }

// Err returns the *RefusedError of a refused ticket, and nil for any other.
func (t *Ticket) Err() error {
	if t.status != Refused {
		return nil
	}
	return &RefusedError{Reason: t.reason, Class: t.Class.Name}
}

// rank is the key by which aged requests are ordered; the earliest is admitted
// first.
func (t *Ticket) rank() time.Time {
	return t.arrived.Add(time.Duration(t.Class.Priority) * AgingStep)
}

// queue holds the waiting requests of one class in order of arrival.
type queue struct {
	class       Class
	first       *Ticket
	last        *Ticket
	length      int
	meanService time.Duration // moving average of the service time; 0 until observed
	// departureInterval is the moving average of the time between two departures
	// from the queue while it is not empty; 0 until observed.
	departureInterval time.Duration
	lastDeparture     time.Time // zero after the queue was empty or admission was paused
	// unservedSince is when the class began to wait without any admission.
	// Requests refused meanwhile because of their deadline do not reset it.
	unservedSince time.Time
}

// rank is the key by which queues are ordered by age; the earliest goes first. A
// class without any admission ages as a whole, because each of its requests may
// reach its deadline before it has aged enough.
func (q *queue) rank() time.Time {
	starved := q.unservedSince.Add(time.Duration(q.class.Priority) * AgingStep)
	if rank := q.first.rank(); rank.Before(starved) {
		return rank
	}
	return starved
}

// push appends the ticket to the queue.
func (q *queue) push(t *Ticket) {
	if q.unservedSince.IsZero() {
		q.unservedSince = t.arrived
	}
	t.previous = q.last
	if q.last != nil {
		q.last.next = t
	} else {
		q.first = t
	}
	q.last = t
	q.length++
}

// remove takes the ticket out of the queue.
func (q *queue) remove(t *Ticket) {
	if t.previous != nil {
		t.previous.next = t.next
	} else {
		q.first = t.next
	}
	if t.next != nil {
		t.next.previous = t.previous
	} else {
		q.last = t.previous
	}
	t.previous, t.next = nil, nil
	q.length--
	if q.length == 0 {
		q.lastDeparture = time.Time{}
	}
}

// observeDeparture updates the average rate at which the queue shrinks.
func (q *queue) observeDeparture(now time.Time) {
	if !q.lastDeparture.IsZero() {
		q.departureInterval = updateAverage(q.departureInterval, now.Sub(q.lastDeparture))
	}
	q.lastDeparture = now
}

// updateAverage returns the exponentially weighted moving average after sample.
func updateAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/ewmaDivisor
}

// ramp bounds the admissions in each step of the release after a failover.
type ramp struct {
	active    bool
	steps     int
	size      int // admissions in this step
	remaining int
	stepEnd   time.Time
}

// start begins a release with the first step.
func (r *ramp) start(now time.Time, limit int) {
	size := max(1, limit/firstStepDivisor)
	*r = ramp{active: true, size: size, remaining: size, stepEnd: now.Add(RampStep)}
}

// advance starts the steps that are due by now.
func (r *ramp) advance(now time.Time) {
	for r.active && !now.Before(r.stepEnd) {
		r.steps++
		r.size *= 2
		r.remaining = r.size
		r.stepEnd = r.stepEnd.Add(RampStep)
		r.active = r.steps < rampSteps
	}
}

// restore returns an unused admission to the current step, if it was made in
// that step.
func (r *ramp) restore(admitted time.Time) {
	if r.active && !admitted.Before(r.stepEnd.Add(-RampStep)) {
		r.remaining++
	}
}

// State is the admission control of one database as a deterministic state
// machine. It is not safe for concurrent use. Times passed to its methods must
// not decrease.
type State struct {
	limit      int
	inUse      int
	lowerInUse int      // part of inUse that may not use the reserve
	queues     []*queue // lowest priority value first
	byName     map[string]*queue
	waiting    int
	generation int // counts ReplaceBackend; older tickets are not part of inUse
	paused     bool
	closed     bool
	ramp       ramp
	sinceAged  int // admissions since an aged request went first, up to AdmissionsPerAged
	settled    []*Ticket
}

// NewState returns a state that admits up to limit requests at a time.
func NewState(limit int) *State {
	return &State{limit: limit, byName: make(map[string]*queue)}
}

// Arrive admits, queues or refuses a new request. The outcome is the status of
// the ticket.
func (s *State) Arrive(now time.Time, t *Ticket) {
	t.arrived = now
	q := s.queue(t.Class)
	t.queue = q
	if s.closed {
		t.refuse(Closed)
		return
	}
	if !now.Before(t.Deadline) {
		t.refuse(DeadlineUnreachable)
		return
	}
	s.Tick(now)
	// Tick has admitted every waiting request that may be admitted, so the new
	// one overtakes none of them.
	if s.mayAdmit(t.Class) {
		s.admit(now, t)
		return
	}
	s.enqueue(now, t)
}

// TryArrive admits the request if it need not wait, and reports whether it did.
func (s *State) TryArrive(now time.Time, t *Ticket) bool {
	t.arrived = now
	t.queue = s.queue(t.Class)
	s.Tick(now)
	if !now.Before(t.Deadline) || !s.mayAdmit(t.Class) {
		return false
	}
	s.admit(now, t)
	return true
}

// enqueue queues the request, or refuses it if the queue is full or its deadline
// cannot be met.
func (s *State) enqueue(now time.Time, t *Ticket) {
	q := t.queue
	s.refuseLate(now, q)
	if q.length >= t.Class.QueueLimit {
		t.refuse(QueueFull)
		return
	}
	if now.Add(s.estimate(q)).After(t.Deadline) {
		t.refuse(DeadlineUnreachable)
		return
	}
	t.status = Waiting
	q.push(t)
	s.waiting++
}

// estimate returns the time until a request that joins the queue now would
// finish. It is 0 for an empty queue, so that some requests always get through
// and correct averages that a disturbance has distorted.
func (s *State) estimate(q *queue) time.Duration {
	if q.length == 0 {
		return 0
	}
	byRate := time.Duration(q.length) * q.departureInterval
	return max(byRate, s.workAhead(q)) + q.meanService
}

// workAhead returns the time that all connections together need to serve the
// waiting requests of this class and of those with the same or a better
// priority.
func (s *State) workAhead(q *queue) time.Duration {
	var work time.Duration
	for _, o := range s.queues {
		if o.class.Priority <= q.class.Priority {
			work += time.Duration(o.length) * o.meanService
		}
	}
	return work / time.Duration(max(1, s.limit))
}

// queue returns the queue of the class, creating or updating it if necessary.
func (s *State) queue(c *Class) *queue {
	q := s.byName[c.Name]
	if q == nil {
		q = &queue{class: *c}
		s.byName[c.Name] = q
		s.queues = append(s.queues, q)
		s.sortQueues()
		return q
	}
	if q.class != *c {
		q.class = *c
		s.sortQueues()
	}
	return q
}

func (s *State) sortQueues() {
	slices.SortFunc(s.queues, func(a, b *queue) int {
		return cmp.Or(cmp.Compare(a.class.Priority, b.class.Priority), cmp.Compare(a.class.Name, b.class.Name))
	})
}

// reserve returns the number of connections that only classes with MayUseReserve
// may use.
func (s *State) reserve() int {
	if s.limit < 2 {
		return 0
	}
	return max(1, s.limit/reserveDivisor)
}

// mayAdmit reports whether a request of the class may be admitted now.
func (s *State) mayAdmit(c *Class) bool {
	if s.paused || s.closed || s.inUse >= s.limit || s.ramp.active && s.ramp.remaining == 0 {
		return false
	}
	return c.MayUseReserve || s.lowerInUse < s.limit-s.reserve()
}

func (s *State) admit(now time.Time, t *Ticket) {
	t.status = Admitted
	t.admitted = now
	t.generation = s.generation
	t.queue.unservedSince = time.Time{}
	if t.queue.length > 0 {
		t.queue.unservedSince = now
	}
	s.inUse++
	if !t.Class.MayUseReserve {
		s.lowerInUse++
	}
	if s.ramp.active {
		s.ramp.remaining--
	}
	s.sinceAged = min(s.sinceAged+1, AdmissionsPerAged)
}

func (t *Ticket) refuse(r Reason) {
	t.status = Refused
	t.reason = r
}

// dispatch admits waiting requests while connections are free, and refuses those
// that cannot finish before their deadline.
func (s *State) dispatch(now time.Time) {
	for s.waiting > 0 && !s.paused && s.inUse < s.limit {
		t := s.nextTicket(now)
		if t == nil {
			return
		}
		if !s.ramp.active {
			t.queue.observeDeparture(now)
		}
		s.dequeue(t)
		s.admit(now, t)
		s.settled = append(s.settled, t)
	}
}

func (s *State) dequeue(t *Ticket) {
	t.queue.remove(t)
	s.waiting--
}

// nextTicket returns the request to admit next, or nil if none may be admitted.
func (s *State) nextTicket(now time.Time) *Ticket {
	var first, oldest *queue
	for _, q := range s.queues {
		s.refuseLate(now, q)
		if q.first == nil || !s.mayAdmit(q.first.Class) {
			continue
		}
		if first == nil || q.class.Priority == first.class.Priority && q.first.arrived.Before(first.first.arrived) {
			first = q
		}
		if oldest == nil || q.rank().Before(oldest.rank()) {
			oldest = q
		}
	}
	if first == nil {
		return nil
	}
	if oldest == first || s.sinceAged < AdmissionsPerAged {
		return first.first
	}
	s.sinceAged = 0
	return oldest.first
}

// refuseLate refuses the requests at the head of the queue that cannot finish
// before their deadline. The last one of a queue is refused only once its
// deadline has passed, for the reason given at estimate.
func (s *State) refuseLate(now time.Time, q *queue) {
	for q.first != nil {
		t := q.first
		finish := now
		if q.length > 1 {
			finish = now.Add(q.meanService)
		}
		if !finish.After(t.Deadline) {
			return
		}
		s.dequeue(t)
		t.refuse(DeadlineUnreachable)
		s.settled = append(s.settled, t)
	}
}

// Finish releases the connection of an admitted ticket and records its service
// time.
func (s *State) Finish(now time.Time, t *Ticket) {
	t.queue.meanService = updateAverage(t.queue.meanService, now.Sub(t.admitted))
	s.releaseConnection(now, t)
}

// Cancel ends a waiting ticket, or an admitted one whose connection was not used
// or failed. It records no service time.
func (s *State) Cancel(now time.Time, t *Ticket) {
	switch t.status {
	case Waiting:
		s.dequeue(t)
		t.status = Inactive
		if t.queue.length == 0 {
			t.queue.unservedSince = time.Time{}
		}
		s.ramp.advance(now)
		s.dispatch(now)
	case Admitted:
		s.ramp.advance(now)
		s.ramp.restore(t.admitted)
		s.releaseConnection(now, t)
	}
}

// releaseConnection frees the connection of the ticket, unless it belongs to an
// earlier generation, and admits waiting requests.
func (s *State) releaseConnection(now time.Time, t *Ticket) {
	t.status = Inactive
	if t.generation != s.generation {
		return
	}
	s.inUse--
	if !t.Class.MayUseReserve {
		s.lowerInUse--
	}
	s.ramp.advance(now)
	s.dispatch(now)
}

// SetLimit changes the limit. Admitted requests above a lower limit keep their
// connections; none is admitted until enough have finished.
func (s *State) SetLimit(now time.Time, limit int) {
	s.limit = limit
	s.Tick(now)
}

// Pause stops admissions until Resume. The queues stay bounded.
func (s *State) Pause() {
	s.paused = true
	for _, q := range s.queues {
		q.lastDeparture = time.Time{}
	}
}

// Resume ends a pause and begins the gradual release.
func (s *State) Resume(now time.Time) {
	s.paused = false
	s.ramp.start(now, s.limit)
	s.Tick(now)
}

// ReplaceBackend records that connections now lead to another backend server:
// the tickets admitted so far no longer count. It begins the gradual release.
func (s *State) ReplaceBackend(now time.Time) {
	s.generation++
	s.inUse = 0
	s.lowerInUse = 0
	s.ramp.start(now, s.limit)
	s.Tick(now)
}

// Close refuses all waiting and all further requests.
func (s *State) Close() {
	s.closed = true
	for _, q := range s.queues {
		for q.first != nil {
			t := q.first
			s.dequeue(t)
			t.refuse(Closed)
			s.settled = append(s.settled, t)
		}
	}
}

// Tick makes the admissions that have become possible by now.
func (s *State) Tick(now time.Time) {
	s.ramp.advance(now)
	s.dispatch(now)
}

// Next returns when Tick must be called. ok is false if the passing of time
// alone allows no further admission.
func (s *State) Next() (at time.Time, ok bool) {
	if s.paused || s.waiting == 0 || !s.ramp.active || s.ramp.remaining > 0 {
		return time.Time{}, false
	}
	return s.ramp.stepEnd, true
}

// Settled returns the tickets that stopped waiting, by admission or refusal,
// since the last call. The slice is valid until the next call of any method.
func (s *State) Settled() []*Ticket {
	settled := s.settled
	s.settled = s.settled[:0]
	return settled
}

// InUse returns the number of admitted tickets.
func (s *State) InUse() int { return s.inUse }

// Waiting returns the number of waiting tickets.
func (s *State) Waiting() int { return s.waiting }
