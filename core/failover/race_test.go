//go:build race

package failover_test

// raced says that the race detector is on. It slows virtual time down by an
// order of magnitude, so that long tests take a part of their seeds; make test
// runs them in full without it.
const raced = true
