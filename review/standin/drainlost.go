package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() {
	scenarios["drainlost"] = scenario{fenced: true, hosts: 3, limit: 45, distant: true, syncReplicas: 1, run: playDrainLost}
}

const (
	drainLostClients = 9
	// deafAfter is the time from the release of the primary to the fault: two of three
	// replicas receive nothing for deafFor, and the primary crashes crashAfter later.
	deafAfter  = 4200 * time.Millisecond
	deafFor    = 6500 * time.Millisecond
	crashAfter = 800 * time.Millisecond
	crashFor   = 7 * time.Second
	// leaveTime is the time from the announcement of a database until it has left, and
	// transferTime that until a new one starts at its address, with its log.
	leaveTime    = 7200 * time.Millisecond
	transferTime = 2 * time.Second
	drainLostEnd = 24 * time.Second
)

// playDrainLost releases the primary, as planned work. With trouble, two of the three
// replicas receive nothing for some seconds, so that only the one that drains receives
// commits, and the new primary crashes meanwhile.
func playDrainLost(d *deployment) (int, error) {
	h := &handoverRun{deployment: d, acked: map[string]time.Time{}, done: make(chan struct{})}
	s := d.service
	var clients sync.WaitGroup
	for i := range drainLostClients {
		clients.Go(func() { h.writer(fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(uint64(i), 9))) })
	}
	started := time.Now()
	old := s.primary()
	s.transfersLog = true
	err := s.release(old, leaveTime)
	time.Sleep(time.Until(started.Add(deafAfter)))
	primary := s.primary()
	if primary == nil || primary == old {
		err = fmt.Errorf("the primary was not replaced")
	}
	if err == nil && d.trouble {
		s.setDeaf(true, old, primary)
		time.Sleep(crashAfter)
		s.crash(primary, crashFor)
		time.AfterFunc(deafFor-crashAfter, func() { s.setDeaf(false, nil, nil) })
	}
	time.Sleep(time.Until(started.Add(drainLostEnd)))
	close(h.done)
	clients.Wait()
	return h.checkLost(), err
}

// setDeaf makes all databases but two receive nothing, or all receive again.
func (s *service) setDeaf(deaf bool, draining, primary *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.members {
		d.receive()
		d.deaf = deaf && d != draining && d != primary
		if d.deaf {
			s.record.say("%s receives nothing", d.id)
		}
	}
	if !deaf {
		s.record.say("all databases receive again")
	}
}

// checkLost returns how many writes that were acknowledged before a promotion took
// effect are not in the log of the database that was promoted.
func (h *handoverRun) checkLost() int {
	s := h.service
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := map[string]bool{}
	for _, p := range s.promoted {
		n := 0
		for id, at := range h.acked {
			if at.Before(p.at) && !p.log[id] {
				lost[id] = true
				n++
				h.record.say("LOST: %s, acknowledged %d ms before, is not in the log of %s, which leads term %d", id, p.at.Sub(at).Milliseconds(), p.name, p.term)
			}
		}
		h.record.say("promotion of %s (term %d): %d acknowledged writes are missing", p.name, p.term, n)
	}
	h.record.say("%d writes acknowledged, %d of them lost; %d promotions", len(h.acked), len(lost), len(s.promoted))
	return len(lost)
}
