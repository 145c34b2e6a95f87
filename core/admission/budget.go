package admission

import "sync"

const (
	// RequestsPerRetry bounds retries to one in ten requests.
	RequestsPerRetry = 10
	// retryBurst is how many retries may come at once after a quiet time.
	retryBurst = 10
)

// RetryBudget is a token bucket that requests fill and retries drain. It is
// filled by requests and not by time, so that retries stay a fixed share of the
// load however low that is. The zero value is an empty budget, safe for
// concurrent use.
type RetryBudget struct {
	mu    sync.Mutex
	level int // in units of 1/RetryOneIn retries
}

// NewRetryBudget returns a budget that allows a first burst.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{level: retryBurst * RequestsPerRetry}
}

// Deposit counts a request that is no retry.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+1, retryBurst*RequestsPerRetry)
}

// Withdraw reports whether a retry is allowed, and counts it if it is.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < RequestsPerRetry {
		return false
	}
	b.level -= RequestsPerRetry
	return true
}
