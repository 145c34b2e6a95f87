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

// cutStatement is a statement whose connection ended without an answer.
type cutStatement struct {
	service int
	id      string
	host    *Process
	sentAt  time.Time
	took    time.Duration
}

// cutStatements collects the cut statements of all callers.
type cutStatements struct {
	mu   sync.Mutex
	list []cutStatement
}

// observedCaller is a caller that records its cut statements.
type observedCaller struct {
	*Caller
	service int
	cuts    *cutStatements
}

// Do implements statementtest.Caller.
func (c *observedCaller) Do(st statement.Statement) (statement.Answer, error) {
	sentAt := time.Now()
	a, err := c.Caller.Do(st)
	if err != nil {
		c.cuts.mu.Lock()
		defer c.cuts.mu.Unlock()
		c.cuts.list = append(c.cuts.list, cutStatement{c.service, st.ID, c.host, sentAt, time.Since(sentAt)})
	}
	return a, err
}

// checkPlanned reports writes whose outcome callers do not know, and statements that a
// backend server executed and whose connection ended without an answer within the time
// limit of the route.
func (s *Soak) checkPlanned(result *Result) {
	if n := result.Writes[statement.InDoubt]; n > 0 {
		result.Problems = append(result.Problems, fmt.Sprintf("%d writes are in doubt although nothing failed", n))
	}
	for _, c := range s.cuts.list {
		if s.services[c.service].ExecutionCount(c.id) == 0 || c.took >= routeTimeout {
			continue
		}
		problem := fmt.Sprintf("statement %s got no answer from %s although a backend server executed it", c.id, c.host.Name)
		if stoppedAt := c.host.stoppedBefore(c.sentAt.Add(c.took)); !stoppedAt.IsZero() {
			problem += fmt.Sprintf("; it was sent %s and cut %s after the host's SIGTERM", c.sentAt.Sub(stoppedAt), c.sentAt.Add(c.took).Sub(stoppedAt))
		}
		result.Problems = append(result.Problems, problem)
	}
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
		switch n := s.rng.IntN(10); n {
		case 0:
			name = "reload"
			s.randomProcess().Signal(syscall.SIGHUP)
		case 1:
			name = "configuration"
			_ = s.configure()
		case 2:
			name = "primary drains"
			s.drainPrimary(s.rng.IntN(len(s.services)))
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
