package writelease

import (
	"testing"
	"time"
)

// Guards against a host that declares the revocations of a restored store complete
// while it, or a holder that may still order a promotion, knows more.
func TestRevocationsAreDeclaredCompleteByHostsThatKnowThem(t *testing.T) {
	for _, tt := range []struct {
		name string
		r    RestoredStore
		want bool
	}{
		{"last holder with a lease", RestoredStore{HadLease: true, HoldsDuty: true}, true},
		{"holder after an unknown one", RestoredStore{HadLease: true, HoldsDuty: true, UnknownPredecessor: true}, false},
		{"host with a lease, at once", RestoredStore{HadLease: true}, false},
		{"host with a lease, later", RestoredStore{HadLease: true, SinceSeen: formerHolderTime}, true},
		{"host without a lease", RestoredStore{SinceSeen: time.Minute}, false},
		{"holder without a lease, soon", RestoredStore{HoldsDuty: true, SinceSeen: knowledgeWaitTime - 1}, false},
		{"holder without a lease, later", RestoredStore{HoldsDuty: true, SinceSeen: knowledgeWaitTime}, true},
	} {
		if got := tt.r.MayDeclareComplete(); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.want)
		}
	}
}
