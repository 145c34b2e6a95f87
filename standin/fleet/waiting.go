package fleet

import (
	"fmt"
	"math"
	"time"
)

// Faults of services whose commits wait for replicas. A promotion must then keep every
// acknowledged commit.

// Bounds of the random delay with which a late order is carried out.
const (
	minOrderDelay = time.Second
	maxOrderDelay = 10 * time.Second
)

var waitingFaults = []fault{
	{"order late", func(s *Soak) {
		s.promotions.delayNext(minOrderDelay + time.Duration(s.rng.Int64N(int64(maxOrderDelay-minOrderDelay))))
	}},
	{"server cut from store", func(s *Soak) { _, id := s.randomServer(); s.setSilent(id, true) }},
	{"replica without its log", (*Soak).restartReplica},
	{"new replica", func(s *Soak) { sv, _ := s.randomServer(); sv.Add(newServerID(sv.Name)) }},
	{"replica leaves", (*Soak).removeNewReplica},
}

// newServerID returns the ID of the server of a service that starts and leaves.
func newServerID(service string) string { return fmt.Sprintf("%s-%d", service, serversPerService) }

// setSilent cuts a server off from the store, or connects it again.
func (s *Soak) setSilent(id string, silent bool) {
	s.drainingMu.Lock()
	defer s.drainingMu.Unlock()
	s.silent[id] = silent
}

// restartReplica starts a random replica again without its log. The last primary keeps
// its log, since no promotion could keep the promise otherwise.
func (s *Soak) restartReplica() {
	if service, id := s.randomServer(); id != service.LastPrimary() {
		service.Restart(id)
	}
}

// removeNewReplica ends the server that was added to a random service, unless it leads.
func (s *Soak) removeNewReplica() {
	service, _ := s.randomServer()
	if id := newServerID(service.Name); service.Has(id) && id != service.LastPrimary() {
		service.Remove(id)
	}
}

// checkAcknowledged reports acknowledged writes that the last primary lacks.
func (s *Soak) checkAcknowledged(result *Result) {
	for i, service := range s.services {
		kept := service.WriteIDs(service.LastPrimary(), math.MaxInt)
		for _, id := range s.histories[i].Acknowledged() {
			if !kept[id] {
				result.Problems = append(result.Problems, fmt.Sprintf("acknowledged write %s of %s is lost", id, service.Name))
			}
		}
	}
}
