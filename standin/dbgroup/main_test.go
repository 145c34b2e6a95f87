package dbgroup_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive a closed group or control client.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
