//go:build !race

package failover_test

const raced = false
