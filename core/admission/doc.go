// Package admission decides which requests may use the scarce connections of
// one database, in what order they wait, and which are refused.
//
// State is the decision as a deterministic state machine that is given the
// time; Limiter is a thin wrapper for concurrent use.
//
// Order. The class of the best priority goes first; within a class, the
// request that arrived first. A waiting request gains one level of priority
// for each AgingStep, so that a low class does not starve; as all requests age
// alike, the order by aged priority is that of arrival + priority*AgingStep.
// A request that goes first only because of its age counts against a share of
// admissions (one in AgedOneIn). Without that bound a lasting overload would
// make the queue of a low class older than the aging step, and from then on
// the high class would wait in the low classes' queue.
//
// Reserve. Requests of lower classes never hold all connections: a tenth of the
// limit, at least one, is left to the first class even if transactions of
// lower classes are long.
//
// Refusal. A queue is bounded per class. A request is refused at once if its
// class's queue, at the rate at which it was seen to shrink, would reach it too
// late to finish before its deadline, given the service time seen so far
// (exponentially weighted). The check is repeated when its turn comes, so that
// no connection is spent on an answer that is too late. A request that finds a
// free connection, and the only one of a queue, are not refused by estimate;
// so estimates that have become wrong, for example when transactions hung
// during a failover, are corrected.
//
// Release after a failover. Resume admits a first small number of requests and
// doubles it each RampStep, so that a new primary with cold caches and
// connections that are still being opened are not met by the whole queue.
package admission
