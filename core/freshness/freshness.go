// Package freshness records log positions of primaries that prove how fresh the
// log of a replica is.
//
// A sample is the end of the log of a primary together with the time at which
// the statement that returned it was sent. While the server that answered was
// the primary of its service, every commit acknowledged before that time lies at
// or before the position. A replica whose log contains the position therefore
// misses only commits that are younger than the sample. Samples must come from
// statements that only an active primary accepts, because a replaced one still
// answers plain reads.
package freshness

import (
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// Tracker holds the samples of one service. It is safe for concurrent use. The
// zero value holds no sample.
type Tracker struct {
	mu        sync.Mutex
	samples   [maxSamples]sample
	nextIndex int
	// latest is the sample with the highest term, and of those the one sent
	// last.
	latest sample
}

// Limits on the stored samples. At one sample per minSampleInterval, maxSamples
// reach back further than the bound on staleness of any route needs.
const (
	maxSamples        = 64
	minSampleInterval = 100 * time.Millisecond
)

// sample is a position and the time at which the statement that returned it was
// sent.
type sample struct {
	sent     time.Time
	position group.Position
}

// Add records a sample. It drops samples of older terms than the latest.
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

// Latest returns the time and position of the latest sample; zero values if
// there is none.
func (t *Tracker) Latest() (time.Time, group.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest.sent, t.latest.position
}

// LowestCovering returns the lowest known position that covers every commit
// acknowledged before since. The lowest one is contained in the logs of most
// replicas. It returns false if no sample was sent at or after since.
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
