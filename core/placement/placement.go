// Package placement chooses the backend server for a read.
//
// Each host estimates the response time of a server as a weighted mean of the
// time that recent statements took there, multiplied by one more than the number
// of statements that the host itself has outstanding. The mean decays, so that a
// server that was slow is tried again. Servers in another availability zone or
// region carry a penalty besides their latency, because traffic between zones
// and regions costs more than a slightly longer wait.
package placement

import (
	"math"
	"time"
)

// The penalties and weights of an estimate.
const (
	// ZonePenalty is added to the estimate of servers in another zone of the same
	// region.
	ZonePenalty = 15 * time.Millisecond
	// RegionPenalty is added to the estimate of servers in another region.
	RegionPenalty = 120 * time.Millisecond
	// PrimaryPenalty is added to the estimate of the primary. It keeps reads off
	// the primary while a replica is as near.
	PrimaryPenalty = 20 * time.Millisecond
	// meanWeight is the weight of a new observation in the mean.
	meanWeight = 0.2
	// halfLife is the time in which the mean of an unused server halves.
	halfLife = 1500 * time.Millisecond
)

// Distance is the network distance between this host and a server.
type Distance int

// The distances, from near to far.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Estimate is the response time of one server as observed by this host.
type Estimate struct {
	mean         time.Duration
	lastObserved time.Time
}

// Observe records the duration of a statement that ended at now.
func (e *Estimate) Observe(now time.Time, took time.Duration) {
	mean := e.Mean(now)
	if e.lastObserved.IsZero() {
		mean = took
	}
	e.mean = mean + time.Duration(meanWeight*float64(took-mean))
	e.lastObserved = now
}

// Mean returns the weighted mean of the observed durations, decayed to now; 0
// without an observation.
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
	// Mean is the mean of the estimate at the time of the choice.
	Mean time.Duration
	// Outstanding is the number of unfinished statements of this host on the
	// server.
	Outstanding int
	// Distance is the network distance to the server.
	Distance Distance
	// Primary reports whether the server is the primary.
	Primary bool
	// Failing reports whether the server fails. A failing server is chosen only
	// if there is no other.
	Failing bool
}

// Choose returns the index of the candidate with the lowest cost, or -1 if there
// is none.
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

// isBetter reports whether c is to be preferred to than.
func isBetter(c Candidate, cost time.Duration, than Candidate, thanCost time.Duration) bool {
	if c.Failing != than.Failing {
		return than.Failing
	}
	return cost < thanCost
}

// cost is the expected response time plus the penalties.
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
