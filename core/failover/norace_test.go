//go:build !race

package failover_test

const raceEnabled = false
