// Package confsync is the state machine by which a node keeps its
// configuration up to date without each node asking the store.
//
// Watching. Two hosts of each availability zone, in rendezvous order, watch
// the root object in the store. The others learn of versions from peers.
//
// Push. A node that takes a version announces it with a probe to its children
// in two trees over the live hosts of its zone, each rooted at one watcher.
// The order in a tree changes with the version. If a child can't be reached,
// the node announces to the child's children instead. A node that learned a
// version in another zone announces it to its own zone's watchers.
//
// Fetch. A node that hears of a greater version asks a peer that has it for
// the entries changed since its own version. A peer answers with the changes
// if its history reaches back that far, else with everything. An answer that
// is not newer is dropped, so late, doubled and stale messages do no harm.
//
// Anti-entropy. Probes carry the version both ways, which repairs whatever a
// push missed, also between zones.
//
// Readiness. A restarted node holds nothing. It reads the current version
// from the store, with one call, and is ready as soon as it holds it. If the
// store fails, the node asks its peers: it is ready when it holds the greatest
// version that a majority of the known hosts told. A node that is not ready
// tells no version, because it can't say whether the one it holds is current.
//
// The machine receives time, randomness and messages as inputs; its outputs
// are calls to make. It is not safe for concurrent use; Published is. Node runs
// a machine, makes its calls and watches the store.
package confsync
