package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() {
	scenarios["latecall"] = scenario{fenced: false, hosts: 3, limit: 36, distant: true, run: playLateCall}
}

const (
	lateCallClients = 9
	// lateBy is the time after which the platform executes the call that it did not
	// answer.
	lateBy        = 9 * time.Second
	secondRelease = 6 * time.Second
	lateCallEnd   = 18 * time.Second
)

// playLateCall replaces the primary twice, as planned work. With trouble, the platform
// does not answer the first call to promote, and executes it seconds later.
func playLateCall(d *deployment) (int, error) {
	h := &handoverRun{deployment: d, acked: map[string]time.Time{}, done: make(chan struct{})}
	var clients sync.WaitGroup
	for i := range lateCallClients {
		clients.Go(func() { h.writer(fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(uint64(i), 9))) })
	}
	started := time.Now()
	if d.trouble {
		d.service.holdCalls(1, lateBy)
	}
	err := d.service.release(d.service.primary(), drainTime)
	time.Sleep(time.Until(started.Add(secondRelease)))
	if next := d.service.primary(); next == nil {
		err = fmt.Errorf("the service has no primary")
	} else if err == nil {
		err = d.service.release(next, drainTime)
	}
	time.Sleep(time.Until(started.Add(lateCallEnd)))
	close(h.done)
	clients.Wait()
	return h.check(), err
}
