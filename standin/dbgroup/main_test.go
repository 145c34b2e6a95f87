package dbgroup_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines of a closed group or control client that live on.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
