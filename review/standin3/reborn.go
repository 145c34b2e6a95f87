package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// This scenario is built together with the stand-in of the earlier review, see
// review/build-2.sh.

func init() {
	scenarios["reborn"] = scenario{fenced: true, hosts: 3, limit: 45, distant: true, syncReplicas: 1, run: playReborn}
}

const (
	rebornClients = 9
	// One replica receives nothing for rebornDeafFor, from rebornDeafAfter on. The primary
	// crashes rebornCrashAfter later for rebornCrashFor, and so does the other replica,
	// which starts again under its id after rebornDownFor and knows nothing of before.
	rebornDeafAfter  = 3 * time.Second
	rebornDeafFor    = 6500 * time.Millisecond
	rebornCrashAfter = time.Second
	rebornCrashFor   = 7 * time.Second
	rebornDownFor    = 2 * time.Second
	rebornEnd        = 20 * time.Second
)

// playReborn crashes the primary and the one replica that received what it committed last.
func playReborn(d *deployment) (int, error) {
	h := &handoverRun{deployment: d, acked: map[string]time.Time{}, done: make(chan struct{})}
	s := d.service
	var clients sync.WaitGroup
	for i := range rebornClients {
		clients.Go(func() { h.writer(fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(uint64(i), 9))) })
	}
	started := time.Now()
	time.Sleep(rebornDeafAfter)
	primary := s.primary()
	if primary == nil {
		close(h.done)
		clients.Wait()
		return 0, fmt.Errorf("the service has no primary")
	}
	s.mu.Lock()
	// The stand-in refers to the last promotion when a database that has just crashed ends
	// a statement, so the first primary counts as promoted before the start.
	s.promoted = append(s.promoted, promotion{name: primary.id, term: 1})
	s.mu.Unlock()
	if d.trouble {
		receiver := s.otherReplica(primary)
		s.setDeaf(true, receiver, primary)
		time.AfterFunc(rebornDeafFor, func() { s.setDeaf(false, nil, nil) })
		time.Sleep(rebornCrashAfter)
		s.crash(primary, rebornCrashFor)
		s.startAnew(receiver, rebornDownFor)
	}
	time.Sleep(time.Until(started.Add(rebornEnd)))
	close(h.done)
	clients.Wait()
	return h.checkLost(), nil
}

// otherReplica returns a replica.
func (s *service) otherReplica(primary *database) *database {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.members {
		if d != primary {
			return d
		}
	}
	return nil
}

// startAnew crashes a replica. It starts again under its id with a new `born`, holds and
// knows nothing of before, and then receives like any other replica.
func (s *service) startAnew(d *database, downFor time.Duration) {
	s.mu.Lock()
	d.receive()
	d.down, d.crashedAt = true, time.Now()
	for c := range d.open {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.record.say("%s crashes", d.id)
	time.AfterFunc(downFor, func() {
		s.mu.Lock()
		d.log, d.pauseTerm, d.primary, d.down = d.log[:1:1], 0, false, false
		s.mu.Unlock()
		s.store.put("servers", d.id, map[string]any{
			"service": s.name, "address": d.address, "zone": d.zone, "version": "v1", "slots": 3,
			"state": "ready", "coldRemainingMs": 0, "databaseRole": "replica", "sequence": 0, "born": time.Now().UnixMilli(),
		})
		s.record.say("%s starts again under its id and knows nothing of before", d.id)
	})
}
