// Package placement chooses the backend server for a read.
//
// Each host estimates the response time of a server as the round trip plus a
// weighted mean of the time that recent statements took there, multiplied by
// the statements that the host itself has outstanding. The mean decays, so that
// a server that was slow is tried again. Servers in another availability zone
// or region carry a penalty besides their latency: traffic between zones and
// regions costs more than a slightly longer wait.
package placement

import (
	"math"
	"time"
)

// The penalties and weights of an estimate.
const (
	// ZonePenalty and RegionPenalty are added for servers in another zone of the
	// same region, and in another region.
	ZonePenalty   = 15 * time.Millisecond
	RegionPenalty = 120 * time.Millisecond
	// PrimaryPenalty leaves the primary to writes while a replica is as near.
	PrimaryPenalty = 20 * time.Millisecond
	// meanWeight is the weight of a new observation.
	meanWeight = 0.2
	// halfLife is the time in which the mean of an unused server halves.
	halfLife = 1500 * time.Millisecond
)

// Distance is how far a server is.
type Distance int

// The distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Estimate is the load of one server as seen by this host.
type Estimate struct {
	mean         time.Duration
	lastObserved time.Time
}

// Observe takes the time that a statement took.
func (e *Estimate) Observe(now time.Time, took time.Duration) {
	mean := e.Mean(now)
	if e.lastObserved.IsZero() {
		mean = took
	}
	e.mean = mean + time.Duration(meanWeight*float64(took-mean))
	e.lastObserved = now
}

// Mean returns the decayed mean of the times observed.
func (e *Estimate) Mean(now time.Time) time.Duration {
	if e.lastObserved.IsZero() {
		return 0
	}
	idle := now.Sub(e.lastObserved)
	if idle <= 0 {
		return e.mean
	}
	return time.Duration(float64(e.mean) * math.Exp2(-float64(idle)/float64(halfLife)))
}

// Candidate is a server that may serve a read.
type Candidate struct {
	Mean        time.Duration
	Outstanding int
	Distance    Distance
	Primary     bool
	// Failing servers are used only if there is no other.
	Failing bool
}

// Choose returns the index of the server with the lowest estimate, -1 if there
// is no candidate.
func Choose(candidates []Candidate) int {
	best := -1
	var bestCost time.Duration
	for i, c := range candidates {
		cost := c.cost()
		if best < 0 || isBetter(c, cost, candidates[best], bestCost) {
			best, bestCost = i, cost
		}
	}
	return best
}

func isBetter(c Candidate, cost time.Duration, than Candidate, thanCost time.Duration) bool {
	if c.Failing != than.Failing {
		return than.Failing
	}
	return cost < thanCost
}

func (c Candidate) cost() time.Duration {
	cost := c.Mean * time.Duration(1+c.Outstanding)
	switch c.Distance {
	case SameRegion:
		cost += ZonePenalty
	case OtherRegion:
		cost += RegionPenalty
	}
	if c.Primary {
		cost += PrimaryPenalty
	}
	return cost
}
