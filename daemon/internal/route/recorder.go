package route

import "time"

// Path is the kind of destination of a transaction.
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

// RefusalReason is the reason of a NotRunError, as counted by a Recorder.
type RefusalReason string

// The reasons for refusing a request.
const (
	// RefusedDeadline means that the deadline passed or could not be met.
	RefusedDeadline RefusalReason = "deadline"
	// RefusedQueue means that the queue of the request's class is full.
	RefusedQueue RefusalReason = "queue_full"
	// RefusedCanceled means that the caller canceled the request.
	RefusedCanceled RefusalReason = "canceled"
	// RefusedToken means that the session token is malformed or belongs to
	// another database.
	RefusedToken RefusalReason = "token"
	// RefusedHops means that the request was forwarded too often because hosts
	// disagree about who owns the database.
	RefusedHops RefusalReason = "hops"
	// RefusedStopped means that the router is shutting down.
	RefusedStopped RefusalReason = "stopped"
)

// Recorder receives the events of routers, for metrics. Its methods must not
// block.
type Recorder interface {
	// Began records a transaction that got a connection, with the time it
	// waited for it in Begin.
	Began(l Labels, p Path, wait time.Duration)
	// Refused records a request that was not run.
	Refused(l Labels, r RefusalReason)
	// OutcomeUnknown records a transaction that may or may not have taken effect.
	OutcomeUnknown(l Labels)
	// StaleRead records a read that could not be confirmed.
	StaleRead(l Labels)
	// Finished records a confirmed transaction, with the time since Begin.
	Finished(l Labels, elapsed time.Duration)
}

type nopRecorder struct{}

func (nopRecorder) Began(Labels, Path, time.Duration) {}
func (nopRecorder) Refused(Labels, RefusalReason)     {}
func (nopRecorder) OutcomeUnknown(Labels)             {}
func (nopRecorder) StaleRead(Labels)                  {}
func (nopRecorder) Finished(Labels, time.Duration)    {}
