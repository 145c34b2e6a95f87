// Package freshness keeps the positions of primaries that prove how fresh a
// replica's log is.
//
// A sample is the end of a primary's log together with the time at which the
// statement that returned it was sent. While the server that answered led its
// service, every commit acknowledged before that time lies at or before the
// position. A replica whose log holds the position therefore misses only
// commits that are younger than the sample. Samples must come from statements
// that only a leading primary accepts, since a replaced one goes on answering
// plain reads.
package freshness

import (
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// Tracker holds the samples of one service. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	samples   [maxSamples]sample
	nextIndex int
	// latest has the highest term, and within it the latest time.
	latest sample
}

// maxSamples bounds the samples of a service. At the sampling interval of
// minSampleInterval they reach back further than any route's bound on staleness needs.
const (
	maxSamples        = 64
	minSampleInterval = 100 * time.Millisecond
)

type sample struct {
	sent     time.Time
	position group.Position
}

// Add takes a sample. Samples of older terms than the latest are dropped.
func (t *Tracker) Add(sent time.Time, position group.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if position.Term < t.latest.position.Term {
		return
	}
	if sent.After(t.latest.sent) || position.Term > t.latest.position.Term {
		t.latest = sample{sent, position}
	}
	last := &t.samples[(t.nextIndex+maxSamples-1)%maxSamples]
	if position.Term == last.position.Term && sent.Sub(last.sent) < minSampleInterval {
		return
	}
	t.samples[t.nextIndex] = sample{sent, position}
	t.nextIndex = (t.nextIndex + 1) % maxSamples
}

// Latest returns the time of the latest sample and its position.
func (t *Tracker) Latest() (time.Time, group.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest.sent, t.latest.position
}

// LowestCovering returns the lowest known position that covers every commit
// acknowledged before the given time, so that as many replicas as possible
// hold it. It reports false if no sample is young enough.
func (t *Tracker) LowestCovering(since time.Time) (group.Position, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, found := group.Position{}, false
	if !t.latest.sent.IsZero() && !t.latest.sent.Before(since) {
		best, found = t.latest.position, true
	}
	for _, s := range t.samples {
		if s.sent.IsZero() || s.sent.Before(since) || s.position.Term < t.latest.position.Term {
			continue
		}
		if !found || s.position.Compare(best) < 0 {
			best, found = s.position, true
		}
	}
	return best, found
}
