package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumgap/gypsumgap/core/statement"
)

// A run with planned work stops the hosts of one availability zone over and over, so
// that fewer than half of them are ready most of the time and the load balancer sends
// callers to hosts that are stopping. Configuration changes, reloads and a planned
// change of primary overlap with the stops. Nothing fails, so every statement that reached
// a backend server must be answered, and the outcome of every write be known.

const (
	// plannedZone is the zone whose hosts are stopped, and plannedZoneHosts their
	// number.
	plannedZone      = "zone-a"
	plannedZoneHosts = 4
	// plannedStatementTime is long enough for statements to run at any moment.
	plannedStatementTime = 50 * time.Millisecond
	// plannedThinkTime keeps transactions open long enough to prolong stops.
	plannedThinkTime = 300 * time.Millisecond
	minPlannedPause  = 100 * time.Millisecond
	maxPlannedPause  = 500 * time.Millisecond
	// minRunTime is how long a host runs before it is stopped again.
	minRunTime = time.Second
	// sessionTime is the length of the sessions of callers that come all the while.
	sessionTime = 150 * time.Millisecond
)

// unresolvedStatement is a statement whose connection ended without an answer, or whose
// answer left its outcome open.
type unresolvedStatement struct {
	service int
	id      string
	host    *Process
	sentAt  time.Time
	took    time.Duration
	// answered is true if the answer left the outcome open.
	answered bool
}

// unresolvedStatements collects the unresolved statements of all callers.
type unresolvedStatements struct {
	mu   sync.Mutex
	list []unresolvedStatement
}

// observedCaller is a caller that records its unresolved statements.
type observedCaller struct {
	*Caller
	service    int
	unresolved *unresolvedStatements
}

// Do implements statementtest.Caller.
func (c *observedCaller) Do(st statement.Statement) (statement.Answer, error) {
	sentAt := time.Now()
	a, err := c.Caller.Do(st)
	if err != nil || a.Code == statement.InDoubt {
		c.unresolved.mu.Lock()
		defer c.unresolved.mu.Unlock()
		c.unresolved.list = append(c.unresolved.list, unresolvedStatement{c.service, st.ID, c.host, sentAt, time.Since(sentAt), err == nil})
	}
	return a, err
}

// deadlineMargin is the part of a route's time limit at whose end an answer may say that
// the limit was reached.
const deadlineMargin = routeTimeout / 10

// checkPlanned reports writes in doubt, and statements that a backend server executed and
// whose connection ended without an answer, unless the time limit of the route was
// reached.
func (s *Soak) checkPlanned(result *Result) {
	for _, u := range s.unresolved.list {
		if u.took >= routeTimeout-deadlineMargin {
			continue
		}
		switch {
		case u.answered:
			result.Problems = append(result.Problems, fmt.Sprintf("statement %s is in doubt after %s although nothing failed; answered by %s", u.id, u.took, u.host.Name))
		case s.services[u.service].ExecutionCount(u.id) > 0:
			result.Problems = append(result.Problems, u.describeCut())
		}
	}
}

func (u unresolvedStatement) describeCut() string {
	cutAt := u.sentAt.Add(u.took)
	problem := fmt.Sprintf("statement %s got no answer from %s although a backend server executed it", u.id, u.host.Name)
	if stoppedAt := u.host.stoppedBefore(cutAt); !stoppedAt.IsZero() {
		problem += fmt.Sprintf("; it was sent %s and cut %s after the host's SIGTERM", u.sentAt.Sub(stoppedAt), cutAt.Sub(stoppedAt))
	}
	return problem
}

// startShortSessions starts the i-th caller that opens one short session after another.
func (s *Soak) startShortSessions(load *sync.WaitGroup, i int, until time.Time) {
	rng := rand.New(rand.NewPCG(s.options.Seed, uint64(i)+1000))
	load.Go(func() {
		for n := 0; time.Now().Before(until); n++ {
			s.runCaller(i, fmt.Sprintf("s%d-%d", i, n), rng, time.Now().Add(sessionTime))
		}
	})
}

// doPlannedWork does planned work until the given time and counts it in result.
func (s *Soak) doPlannedWork(result *Result, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(minPlannedPause + time.Duration(s.rng.Int64N(int64(maxPlannedPause-minPlannedPause))))
		name := "stop"
		switch n := s.rng.IntN(40); {
		case n < 4:
			name = "reload"
			s.randomProcess().Signal(syscall.SIGHUP)
		case n < 8:
			name = "configuration"
			_ = s.configure()
		case n < 12:
			name = "primary drains"
			s.drainPrimary(s.rng.IntN(len(s.services)))
		case n == 12:
			name = "stop all"
			for _, p := range s.processes {
				p.stopAfter(minRunTime)
			}
		default:
			for range 1 + n%2 {
				s.stopOneOf(plannedZone)
			}
		}
		result.Faults[name]++
	}
}

// stopOneOf stops a random host of the zone that is neither stopping nor starting, if
// another one stays in rotation: with none, callers would be sent to other zones.
func (s *Soak) stopOneOf(zone string) {
	ready := s.balancer.ready(zone)
	for _, i := range s.rng.Perm(len(s.processes)) {
		p := s.processes[i]
		othersReady := slices.ContainsFunc(ready, func(h *Process) bool { return h != p && !h.isStopping() })
		if p.Zone == zone && othersReady && p.stopAfter(minRunTime) {
			return
		}
	}
}

// drainPrimary announces the stop of the primary of a service, once a run. The server
// goes on as a replica when another one has been promoted.
func (s *Soak) drainPrimary(service int) {
	s.drainingMu.Lock()
	defer s.drainingMu.Unlock()
	if s.draining[service] == "" {
		s.draining[service] = s.services[service].LastPrimary()
	}
}
