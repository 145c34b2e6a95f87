// Package admission controls the use of the connections of one database: it
// decides which requests get one, in what order they wait, and which are
// refused.
//
// State makes the decisions as a deterministic state machine that is given the
// time; Limiter wraps it for concurrent use.
//
// Order. The class with the best priority goes first, and within a class the
// request that arrived first. A waiting request gains one level of priority for
// each AgingStep, so that lower classes do not starve. As all requests age
// alike, the order by aged priority is that of arrival + priority*AgingStep. At
// most one in AdmissionsPerAged admissions goes to a request only because of its
// age. Without that bound, a lasting overload would make the queue of a lower
// class older than the aging step, and from then on the first class would wait
// behind the lower ones.
//
// Reserve. Requests of lower classes never hold all connections: a tenth of the
// limit, but at least one connection, is reserved for classes with
// MayUseReserve, even if transactions of lower classes are long.
//
// Refusal. The queue of each class is bounded. A request is refused at once if
// it could not finish before its deadline, as estimated from the observed
// departure rate of its queue and the observed service time (exponentially
// weighted moving averages). The check is repeated when the request reaches the
// head of the queue, so that no connection is spent on an answer that comes too
// late. A request that finds a free connection, and the only one of a queue, are
// never refused by estimate; so estimates that have become wrong, for example
// because transactions hung during a failover, are corrected.
//
// Release after a failover. Resume admits a small number of requests and doubles
// it each RampStep. A new primary with cold caches, and connections that are
// still being opened, are thus not hit by the whole queue at once.
package admission
