package admission

import (
	"slices"
	"testing"
	"time"

	_ "github.com/gypsumgap/gypsumgap/core/testseed"
	"pgregory.net/rapid"
)

var (
	pay    = &Class{Name: "pay", Priority: 0, QueueLimit: 8, MayUseReserve: true}
	book   = &Class{Name: "book", Priority: 1, QueueLimit: 8}
	report = &Class{Name: "report", Priority: 2, QueueLimit: 3}

	classes = []*Class{pay, book, report}
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// machine drives a State with random calls and compares it with its own record
// of the tickets.
type machine struct {
	state    *State
	now      time.Time
	limit    int
	paused   bool
	released int // admissions since the last resume
	resumed  time.Time
	waiting  ticketSet
	admitted ticketSet
	earlier  ticketSet // admitted before the last ReplaceBackend
}

func newMachine(t *rapid.T) *machine {
	m := &machine{}
	m.now = epoch
	m.limit = rapid.IntRange(0, 12).Draw(t, "limit")
	m.state = NewState(m.limit)
	return m
}

func (m *machine) Arrive(t *rapid.T) {
	ticket := &Ticket{
		Class:    rapid.SampledFrom(classes).Draw(t, "class"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(-1, 3000).Draw(t, "deadline")) * time.Millisecond),
	}
	m.state.Arrive(m.now, ticket)
	m.collect(t)
	switch ticket.Status() {
	case Admitted:
		m.admit(t, ticket)
	case Waiting:
		m.waiting.add(ticket)
	case Refused:
		if ticket.Err() == nil {
			t.Fatal("refused ticket has no error")
		}
		if m.mayAdmit(ticket.Class) && m.now.Before(ticket.Deadline) {
			t.Fatal("request refused although a connection is free")
		}
	default:
		t.Fatalf("got status %v after arrival", ticket.Status())
	}
}

// mayAdmit reports whether a request of the class may be admitted.
func (m *machine) mayAdmit(c *Class) bool {
	if m.paused || len(m.admitted) >= m.limit || m.state.ramp.active {
		return false
	}
	return c.MayUseReserve || m.countLowerAdmitted() < m.limit-m.state.reserve()
}

// countLowerAdmitted counts the admitted tickets that may not use the reserve.
func (m *machine) countLowerAdmitted() int {
	n := 0
	for _, ticket := range m.admitted {
		if !ticket.Class.MayUseReserve {
			n++
		}
	}
	return n
}

// admit records an admission and checks the bounds that must hold at each one.
func (m *machine) admit(t *rapid.T, ticket *Ticket) {
	if slices.Contains(m.admitted, ticket) {
		t.Fatal("ticket admitted twice")
	}
	m.admitted.add(ticket)
	m.released++
	if m.paused {
		t.Fatal("request admitted during a pause")
	}
	if len(m.admitted) > m.limit {
		t.Fatalf("got %d requests admitted, limit %d", len(m.admitted), m.limit)
	}
	if !ticket.Class.MayUseReserve && m.limit > 1 && m.countLowerAdmitted() >= m.limit {
		t.Fatal("lower classes hold all connections")
	}
}

// collect moves the tickets that stopped waiting out of the waiting set.
func (m *machine) collect(t *rapid.T) {
	for _, ticket := range m.state.Settled() {
		if !m.waiting.remove(ticket) {
			t.Fatal("Settled returned a ticket that did not wait")
		}
		switch ticket.Status() {
		case Admitted:
			m.admit(t, ticket)
		case Refused:
		default:
			t.Fatalf("Settled returned a ticket with status %v", ticket.Status())
		}
	}
}

// ticketSet keeps the order of arrival, so that a run is reproducible.
type ticketSet []*Ticket

func (s *ticketSet) add(t *Ticket) { *s = append(*s, t) }

// remove reports whether the ticket was in the set.
func (s *ticketSet) remove(t *Ticket) bool {
	i := slices.Index(*s, t)
	if i >= 0 {
		*s = slices.Delete(*s, i, i+1)
	}
	return i >= 0
}

// draw removes and returns a random ticket.
func (s *ticketSet) draw(t *rapid.T) *Ticket {
	if len(*s) == 0 {
		t.Skip("no ticket")
	}
	ticket := (*s)[rapid.IntRange(0, len(*s)-1).Draw(t, "ticket")]
	s.remove(ticket)
	return ticket
}

func (m *machine) Finish(t *rapid.T) {
	ticket := m.admitted.draw(t)
	m.state.Finish(m.now, ticket)
	m.collect(t)
}

func (m *machine) CancelWaiting(t *rapid.T) {
	ticket := m.waiting.draw(t)
	m.state.Cancel(m.now, ticket)
	m.collect(t)
}

func (m *machine) CancelAdmitted(t *rapid.T) {
	ticket := m.admitted.draw(t)
	if step := m.now.Sub(m.resumed) / RampStep * RampStep; !ticket.admitted.Before(m.resumed.Add(step)) {
		m.released--
	}
	m.state.Cancel(m.now, ticket)
	m.collect(t)
}

func (m *machine) SetLimit(t *rapid.T) {
	m.limit = rapid.IntRange(0, 12).Draw(t, "limit")
	m.state.SetLimit(m.now, m.limit)
	m.collect(t)
}

func (m *machine) Pause(*rapid.T) {
	m.state.Pause()
	m.paused = true
}

func (m *machine) Resume(t *rapid.T) {
	if !m.paused {
		t.Skip("not paused")
	}
	m.paused = false
	m.released = 0
	m.resumed = m.now
	m.state.Resume(m.now)
	m.collect(t)
}

func (m *machine) Replace(t *rapid.T) {
	m.earlier = append(m.earlier, m.admitted...)
	m.admitted = nil
	m.released = 0
	m.resumed = m.now
	m.state.ReplaceBackend(m.now)
	m.collect(t)
}

// FinishEarlier ends a ticket that was admitted before the last ReplaceBackend.
func (m *machine) FinishEarlier(t *rapid.T) {
	m.state.Finish(m.now, m.earlier.draw(t))
	m.collect(t)
}

func (m *machine) Pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
	m.state.Tick(m.now)
	m.collect(t)
}

// Check checks the invariants; it runs after every call.
func (m *machine) Check(t *rapid.T) {
	if m.state.InUse() != len(m.admitted) || m.state.Waiting() != len(m.waiting) {
		t.Fatalf("state has %d admitted and %d waiting, tickets %d and %d",
			m.state.InUse(), m.state.Waiting(), len(m.admitted), len(m.waiting))
	}
	queued := map[*Class]int{}
	for _, ticket := range m.waiting {
		queued[ticket.Class]++
		if m.mayAdmit(ticket.Class) {
			t.Fatal("request waits although it may be admitted")
		}
	}
	for c, n := range queued {
		if n > c.QueueLimit {
			t.Fatalf("got %d requests of class %s waiting, limit %d", n, c.Name, c.QueueLimit)
		}
	}
	m.checkRelease(t)
}

// checkRelease checks that a release is gradual, given that the limit never
// exceeds 12.
func (m *machine) checkRelease(t *rapid.T) {
	if !m.state.ramp.active || m.resumed.IsZero() {
		return
	}
	const largestFirstStep = 1 // of limits up to 12: max(1, 12/8)
	steps := int(m.now.Sub(m.resumed)/RampStep) + 1
	if most := largestFirstStep * (1<<steps - 1); m.released > most {
		t.Fatalf("got %d requests released in %d steps, want at most %d", m.released, steps, most)
	}
}

// Guards against exceeding the limit or the reserve, losing a request, admitting
// one twice, leaving one waiting beside a free connection, unbounded queues, and
// a release after a failover that is not gradual.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// ticketOf returns a ticket whose deadline is too far away to matter.
func ticketOf(c *Class, now time.Time) *Ticket {
	return &Ticket{Class: c, Deadline: now.Add(time.Hour)}
}

// Guards against a request of the first class that waits behind lower ones.
func TestStrictPriority(t *testing.T) {
	s := NewState(1)
	running := ticketOf(report, epoch)
	s.Arrive(epoch, running)
	low, middle, high := ticketOf(report, epoch), ticketOf(book, epoch), ticketOf(pay, epoch)
	for i, ticket := range []*Ticket{low, middle, high} {
		s.Arrive(epoch.Add(time.Duration(i)), ticket)
	}
	now := epoch
	for i, want := range []*Ticket{high, middle, low} {
		now = now.Add(time.Millisecond)
		s.Finish(now, running)
		settled := s.Settled()
		if len(settled) != 1 || settled[0] != want {
			t.Fatalf("admission %d went to class %s, want the best priority that waits", i, settled[0].Class.Name)
		}
		running = want
	}
}

// Guards against low classes that starve while the first class alone fills all
// connections, and against aged requests that displace too many of the first
// class.
func TestAgingBound(t *testing.T) {
	s := NewState(4)
	now := epoch
	running := []*Ticket{}
	lows := map[*Ticket]time.Time{}
	start := func(c *Class) {
		ticket := ticketOf(c, now)
		s.Arrive(now, ticket)
		if ticket.Status() == Admitted {
			running = append(running, ticket)
		}
	}
	admitted := map[*Class]int{}
	longest := time.Duration(0)
	for range 4000 {
		for s.byName[pay.Name] == nil || s.byName[pay.Name].length < 4 {
			start(pay)
		}
		if q := s.byName[report.Name]; q == nil || q.length < report.QueueLimit {
			ticket := ticketOf(report, now)
			lows[ticket] = now
			s.Arrive(now, ticket)
		}
		now = now.Add(10 * time.Millisecond)
		done := running[0]
		running = running[1:]
		s.Finish(now, done)
		for _, ticket := range s.Settled() {
			running = append(running, ticket)
			admitted[ticket.Class]++
			if at, ok := lows[ticket]; ok {
				longest = max(longest, now.Sub(at))
			}
		}
	}
	share := float64(admitted[report]) / 4000
	t.Logf("low class: %.1f%% of admissions, longest wait %v", 100*share, longest)
	if share > 1.0/AdmissionsPerAged {
		t.Errorf("low class got %.1f%% of admissions under overload by the first, want at most one in AdmissionsPerAged", 100*share)
	}
	if longest > 2*time.Second {
		t.Errorf("request of the low class waited %v, want at most 2s", longest)
	}
}

// Guards against a class that starves because its requests reach their deadline
// before they have aged enough to overtake an overloading class.
func TestShortDeadlinesDoNotStarve(t *testing.T) {
	s := NewState(1)
	now := epoch
	running := ticketOf(pay, now)
	s.Arrive(now, running)
	served := 0
	for range 1000 {
		for s.queue(pay).length < 4 {
			s.Arrive(now, ticketOf(pay, now))
		}
		short := ticketOf(report, now)
		short.Deadline = now.Add(100 * time.Millisecond)
		s.Arrive(now, short)
		now = now.Add(10 * time.Millisecond)
		s.Finish(now, running)
		for _, ticket := range s.Settled() {
			if ticket.Status() != Admitted {
				continue
			}
			running = ticket
			if ticket.Class == report {
				served++
			}
		}
	}
	// One per second: two levels of priority, 500 ms each.
	if served < 9 || served > 11 {
		t.Errorf("got %d requests of the low class served in 10 s, want one per second", served)
	}
}

// Guards against queueing requests that cannot meet their deadline, and against
// an estimate that is too high and therefore refuses everything from then on.
func TestDeadlineRefusal(t *testing.T) {
	s := NewState(1)
	now := epoch
	slow := ticketOf(pay, now)
	s.Arrive(now, slow)
	now = now.Add(400 * time.Millisecond)
	s.Finish(now, slow)
	s.Arrive(now, ticketOf(pay, now))
	waits := ticketOf(pay, now)
	waits.Deadline = now.Add(time.Second)
	s.Arrive(now, waits)
	late := ticketOf(pay, now)
	late.Deadline = now.Add(799 * time.Millisecond) // needs 400 ms for the request ahead and 400 ms for itself
	s.Arrive(now, late)
	if waits.Status() != Waiting || late.Status() != Refused || late.reason != DeadlineUnreachable {
		t.Errorf("first request: got status %v, want waiting; second: got status %v (%s), want refused", waits.Status(), late.Status(), late.reason)
	}

	idle := NewState(1)
	idle.queue(pay).meanService = time.Minute
	first := ticketOf(pay, now)
	first.Deadline = now.Add(time.Second)
	idle.Arrive(now, first)
	if first.Status() != Admitted {
		t.Error("request refused by an estimate that is too high although a connection is free")
	}
	idle.Pause()
	idle.Cancel(now, first)
	paused := ticketOf(pay, now)
	paused.Deadline = now.Add(time.Second)
	idle.Arrive(now, paused)
	idle.Resume(now.Add(900 * time.Millisecond))
	if paused.Status() != Admitted {
		t.Error("the only waiting request refused by an estimate that is too high")
	}
}

// Guards against a connection spent on a request that can no longer meet its
// deadline when its turn comes.
func TestLateRequestIsDropped(t *testing.T) {
	s := NewState(1)
	running := ticketOf(pay, epoch)
	s.Arrive(epoch, running)
	late, good := ticketOf(pay, epoch), ticketOf(pay, epoch)
	late.Deadline = epoch.Add(50 * time.Millisecond)
	s.Arrive(epoch, late)
	s.Arrive(epoch, good)
	s.Finish(epoch.Add(40*time.Millisecond), running) // the service time of late is estimated at 40 ms too
	if late.Status() != Refused || good.Status() != Admitted {
		t.Errorf("got status %v for the late request, want refused; got %v for the other, want admitted", late.Status(), good.Status())
	}
}

// Guards against a new primary that receives the whole queue at once.
func TestGradualRelease(t *testing.T) {
	large := &Class{Name: "large", QueueLimit: 1000, MayUseReserve: true}
	s := NewState(400)
	s.Pause()
	for range 1000 {
		s.Arrive(epoch, ticketOf(large, epoch))
	}
	now := epoch.Add(time.Second)
	s.Resume(now)
	for i, want := range []int{50, 100, 200, 400} {
		settled := s.Settled()
		if len(settled) != want {
			t.Errorf("step %d released %d requests, want %d", i, len(settled), want)
		}
		for _, ticket := range settled {
			s.Finish(now, ticket)
		}
		at, ok := s.Next()
		if !ok || at.Sub(now) != RampStep {
			t.Fatalf("got next tick after %v, %v; want one RampStep", at.Sub(now), ok)
		}
		now = at
		s.Tick(now)
	}
}

// Guards against retries that multiply an overload.
func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget()
	granted := 0
	for range 10000 {
		b.Deposit()
		if b.Withdraw() {
			granted++
		}
	}
	if granted > 1000+retryBurst {
		t.Errorf("got %d retries for 10000 requests, want at most one in ten and a burst", granted)
	}
}
