package placement

import (
	"testing"
	"time"
)

// Guards against reads that needlessly cross regions or use the primary, and
// against a near server that is chosen although it is overloaded or fails.
func TestChoose(t *testing.T) {
	for _, tt := range []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"none", nil, -1},
		{"near replica before far ones", []Candidate{{Distance: OtherRegion}, {Mean: 60 * time.Millisecond}}, 1},
		{"near primary before far replicas", []Candidate{{Distance: OtherRegion}, {Primary: true, Mean: 30 * time.Millisecond}}, 1},
		{"near replica before the near primary", []Candidate{{Primary: true}, {}}, 1},
		{"far replica when the near one is overloaded", []Candidate{{Mean: 300 * time.Millisecond}, {Distance: OtherRegion, Mean: 50 * time.Millisecond}}, 1},
		{"outstanding statements count", []Candidate{{Mean: 30 * time.Millisecond, Outstanding: 9}, {Distance: OtherRegion, Mean: 30 * time.Millisecond}}, 1},
		{"failing server last", []Candidate{{Failing: true}, {Distance: OtherRegion, Mean: time.Second}}, 1},
		{"failing server if there is no other", []Candidate{{Failing: true}}, 0},
	} {
		if got := Choose(tt.candidates); got != tt.want {
			t.Errorf("%s: got candidate %d, want %d", tt.name, got, tt.want)
		}
	}
}

// Guards against a server that is never tried again after it was slow once.
func TestEstimateDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	var e Estimate
	e.Observe(now, 800*time.Millisecond)
	if got := e.Mean(now); got != 800*time.Millisecond {
		t.Errorf("got first mean %s, want 800ms", got)
	}
	if got := e.Mean(now.Add(4 * halfLife)); got > 51*time.Millisecond {
		t.Errorf("got mean %s after four half-lives, want about 50ms", got)
	}
	e.Observe(now, 100*time.Millisecond)
	if got := e.Mean(now); got != 660*time.Millisecond {
		t.Errorf("got mean %s of 800ms and 100ms, want 660ms", got)
	}
}
