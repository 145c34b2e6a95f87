// Package confsync implements the state machine that keeps a node's
// configuration up to date. Nodes spread changes among themselves, so that the
// load on the store does not grow with their number.
//
// Watching. Two hosts of each availability zone, chosen by rendezvous hashing,
// watch the root object in the store. The others learn of versions from peers.
//
// Push. A node that adopts a version announces it with a probe to its children
// in two trees over the live hosts of its zone, each rooted at one watcher.
// The order in a tree changes with the version. If a child cannot be reached,
// the node announces to the child's children instead. A node that fetched a
// version from another zone announces it to its own zone's watchers.
//
// Fetch. A node that learns of a greater version asks a peer that holds it for
// the entries changed since its own version. The peer responds with the changes
// if its history covers that version, else with the full configuration. A
// response that is not newer is dropped, so delayed, duplicated and stale
// messages are harmless.
//
// Anti-entropy. Probes and their responses carry the sender's version, which
// repairs what a push missed, also between zones.
//
// Readiness. A restarted node holds no configuration. It reads the current
// version from the store, with one call, and is ready as soon as it holds that
// version. If the store fails, the node asks its peers: it is ready when a
// majority of the known hosts has reported versions and it holds the greatest.
// A node that is not ready reports no version, because it cannot know whether
// the one it holds is current.
//
// The machine receives time, randomness and messages as inputs; its outputs
// are calls to make, which an Executor makes. A Machine is not safe for
// concurrent use; a Published is.
package confsync
