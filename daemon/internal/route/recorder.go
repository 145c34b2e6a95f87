package route

import "time"

// Path says where a transaction was sent.
type Path int

// The paths of transactions.
const (
	// PathPrimary is a transaction on the primary that may write.
	PathPrimary Path = iota
	// PathPrimaryRead is a read for which no replica qualified.
	PathPrimaryRead
	// PathReplica is a read on a replica.
	PathReplica
	// PathForward is a transaction sent to an owner host.
	PathForward
)

// RefusalReason is the reason of a NotRunError, for counting.
type RefusalReason string

// The reasons of refusals.
const (
	// RefusedDeadline: the deadline passed, or could not have been met.
	RefusedDeadline RefusalReason = "deadline"
	// RefusedQueue: the queue of the request's class is full.
	RefusedQueue RefusalReason = "queue_full"
	// RefusedCanceled: the caller gave up.
	RefusedCanceled RefusalReason = "canceled"
	// RefusedToken: the session token is malformed or of another database.
	RefusedToken RefusalReason = "token"
	// RefusedHops: hosts disagree about who owns the database.
	RefusedHops RefusalReason = "hops"
	// RefusedStopped: the router is shutting down.
	RefusedStopped RefusalReason = "stopped"
)

// Recorder counts what routers do. Its methods must not block.
type Recorder interface {
	// Began counts a transaction that got a connection, and the time from
	// Begin to then.
	Began(l Labels, p Path, wait time.Duration)
	// Refused counts a request that was not run.
	Refused(l Labels, r RefusalReason)
	// OutcomeUnknown counts a transaction that may or may not have taken effect.
	OutcomeUnknown(l Labels)
	// StaleRead counts a read that could not be confirmed.
	StaleRead(l Labels)
	// Finished counts a transaction that was confirmed, and the time from
	// Begin to then.
	Finished(l Labels, elapsed time.Duration)
}

type nopRecorder struct{}

func (nopRecorder) Began(Labels, Path, time.Duration) {}
func (nopRecorder) Refused(Labels, RefusalReason)     {}
func (nopRecorder) OutcomeUnknown(Labels)             {}
func (nopRecorder) StaleRead(Labels)                  {}
func (nopRecorder) Finished(Labels, time.Duration)    {}
