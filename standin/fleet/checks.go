package fleet

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/statement/statementtest"
)

// period is a time span; end is zero while it lasts.
type period struct{ start, end time.Time }

// disturbanceSlack is how long after the faults were lifted statements that were
// held up may still be executed.
const disturbanceSlack = 2 * time.Second

// startDisturbance records that messages or processes may be held up from now on.
func (s *Soak) startDisturbance() {
	if n := len(s.disturbed); n > 0 && s.disturbed[n-1].end.IsZero() {
		return
	}
	s.disturbed = append(s.disturbed, period{start: time.Now()})
}

func (s *Soak) endDisturbance() {
	if n := len(s.disturbed); n > 0 && s.disturbed[n-1].end.IsZero() {
		s.disturbed[n-1].end = time.Now().Add(disturbanceSlack)
	}
}

func (s *Soak) wasDisturbed(at time.Time) bool {
	for _, p := range s.disturbed {
		if !at.Before(p.start) && (p.end.IsZero() || at.Before(p.end)) {
			return true
		}
	}
	return false
}

// checkSplitCommits reports commits of replaced primaries, other than those of
// hosts or connections that were held up.
func (s *Soak) checkSplitCommits(result *Result, service *statementtest.Service) {
	for _, at := range service.SplitCommits() {
		if !s.wasDisturbed(at) {
			result.Problems = append(result.Problems, fmt.Sprintf("a replaced primary of %s executed a commit at %s", service.Name, at.Format(time.RFC3339Nano)))
		}
	}
}

// awaitService waits until each host answers a read on each route. Those that do
// not within the limit are added to the problems of the result.
func (s *Soak) awaitService(result *Result, limit time.Duration) {
	until := time.Now().Add(limit)
	var mu sync.Mutex
	var checks sync.WaitGroup
	for _, p := range s.processes {
		for i := range s.services {
			for k := range routeKinds {
				checks.Go(func() {
					if err := awaitRead(p, databaseName(i, k), until); err != nil {
						mu.Lock()
						defer mu.Unlock()
						result.Problems = append(result.Problems, fmt.Sprintf("%s does not serve %s: %v", p.Name, databaseName(i, k), err))
					}
				})
			}
		}
	}
	checks.Wait()
}

// awaitStops waits until no process is stopping, within settleTime.
func (s *Soak) awaitStops() {
	for until := time.Now().Add(settleTime); time.Now().Before(until); time.Sleep(callerPause) {
		if !slices.ContainsFunc(s.processes, (*Process).isStopping) {
			return
		}
	}
}

// awaitRead repeats a read through the process until it succeeds. It returns the last
// error if none succeeds before the given time.
func awaitRead(p *Process, database string, until time.Time) error {
	c := &Caller{Database: database, PickHost: func() *Process { return p }}
	defer c.Close()
	var last error
	for time.Now().Before(until) {
		a, err := c.Do(statement.Statement{ID: "check", Kind: statement.Read, Text: "READ x"})
		if err == nil && a.Code == statement.OK {
			return nil
		}
		last = errors.Join(err, fmt.Errorf("code %s", a.Code))
		time.Sleep(callerPause)
	}
	return last
}

// finish collects the results and stops the processes.
func (s *Soak) finish(result *Result) {
	for i, h := range s.histories {
		result.Problems = append(result.Problems, h.Violations()...)
		counts, broken, reads := h.Attempts()
		for code, n := range counts {
			result.Writes[code] += n
		}
		result.Broken += broken
		result.Reads += reads
		result.Promotions += s.services[i].Promotions()
		s.checkSplitCommits(result, s.services[i])
	}
	if s.options.SyncReplicas > 0 {
		s.checkAcknowledged(result)
	}
	if s.options.Planned {
		s.checkPlanned(result)
	}
	if s.options.NoFaults && result.Promotions > 0 {
		result.Problems = append(result.Problems, fmt.Sprintf("%d primaries were replaced without a fault", result.Promotions))
	}
	for _, p := range s.processes {
		if err := p.Err(); err != nil {
			result.Problems = append(result.Problems, fmt.Sprintf("%s was not started again: %v", p.Name, err))
		}
		for _, end := range p.OwnEnds() {
			result.Problems = append(result.Problems, fmt.Sprintf("%s ended by itself: %s", p.Name, end))
		}
		if err := p.checkMetrics(); err != nil {
			result.Problems = append(result.Problems, err.Error())
		}
	}
	var mu sync.Mutex
	var stops sync.WaitGroup
	for _, p := range s.processes {
		stops.Go(func() {
			if err := p.Stop(); err != nil {
				mu.Lock()
				defer mu.Unlock()
				result.Problems = append(result.Problems, err.Error())
			}
		})
	}
	stops.Wait()
	s.processes = nil
}
