package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() {
	scenarios["handover"] = scenario{fenced: false, hosts: 3, limit: 36, distant: true, run: playHandover}
}

const (
	handoverRounds  = 5
	handoverClients = 9
	roundTime       = 14 * time.Second
	drainTime       = 8 * time.Second
	orderTimeout    = 6 * time.Second
	// stopDelay is the time from the order of a promotion to the planned stop of the
	// host that gave it.
	stopDelay    = 100 * time.Millisecond
	writerPause  = 200 * time.Millisecond
	settlingTime = 2 * time.Second
)

// handoverRun holds the acknowledged writes.
type handoverRun struct {
	*deployment
	mu    sync.Mutex
	acked map[string]time.Time
	done  chan struct{}
}

// playHandover replaces the primary in rounds, as planned work. With trouble, the host
// that ordered the promotion is stopped and started again, as planned work too.
func playHandover(d *deployment) (int, error) {
	h := &handoverRun{deployment: d, acked: map[string]time.Time{}, done: make(chan struct{})}
	var clients sync.WaitGroup
	for i := range handoverClients {
		clients.Go(func() { h.writer(fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(uint64(i), 9))) })
	}
	for range handoverRounds {
		started := time.Now()
		if err := h.round(); err != nil {
			close(h.done)
			clients.Wait()
			return 0, err
		}
		time.Sleep(time.Until(started.Add(roundTime)))
	}
	time.Sleep(settlingTime)
	close(h.done)
	clients.Wait()
	return h.check(), nil
}

// round replaces the present primary.
func (h *handoverRun) round() error {
	primary := h.service.primary()
	if primary == nil {
		return fmt.Errorf("the service has no primary")
	}
	for len(h.service.ordered) > 0 {
		<-h.service.ordered
	}
	if err := h.service.release(primary, drainTime); err != nil {
		return err
	}
	select {
	case name := <-h.service.ordered:
		if h.trouble {
			time.Sleep(stopDelay)
			h.stopHost(name)
		}
	case <-time.After(orderTimeout):
		h.record.say("no promotion was ordered within %s", orderTimeout)
	}
	return nil
}

func (h *handoverRun) stopHost(name string) {
	for _, x := range h.hosts {
		if x.name == name {
			h.record.say("SIGTERM to %s", name)
			x.terminate()
		}
	}
}

// writer sends single writes until the run ends. It moves to another host when its
// session ends.
func (h *handoverRun) writer(name string, rng *rand.Rand) {
	var s *session
	for n := 0; ; n++ {
		select {
		case <-h.done:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(writerPause)))):
		}
		if s == nil {
			x := h.hosts[rng.IntN(len(h.hosts))]
			var err error
			if s, err = openSession(name, x.front, "werkbon", h.record); err != nil {
				s = nil
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		a, err := s.do(id, fmt.Sprintf("WRITE i%d %s", rng.IntN(50), id))
		switch {
		case err != nil:
			s.close()
			s = nil
		case a.code == "":
			h.mu.Lock()
			h.acked[id] = time.Now()
			h.mu.Unlock()
		}
	}
}

// check returns how many acknowledged writes were committed at a replaced primary
// after the promotion of another database had taken effect, and how many acknowledged
// writes the log of the primary lacks.
func (h *handoverRun) check() int {
	s := h.service
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := map[string]bool{}
	for _, c := range s.leader().log {
		for _, id := range c.ids {
			kept[id] = true
		}
	}
	broken, lost := 0, 0
	for id := range h.acked {
		if !kept[id] {
			lost++
		}
		if c, split := s.splitCommits[id]; split {
			broken++
			h.record.say("ONE: %s was committed at %s (term %d) %d ms after the promotion of %s (term %d) had taken effect, and acknowledged",
				id, c.database, c.term, c.at.Sub(c.newer.at).Milliseconds(), c.newer.name, c.newer.term)
		}
	}
	h.record.say("%d writes acknowledged, %d of them lost; %d promotions", len(h.acked), lost, len(s.promoted))
	return broken
}
