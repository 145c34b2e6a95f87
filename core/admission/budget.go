package admission

import "sync"

const (
	// RequestsPerRetry is the number of requests that earn one retry.
	RequestsPerRetry = 10
	// retryBurst is the largest number of retries that may come at once.
	retryBurst = 10
)

// RetryBudget is a token bucket that requests fill and retries drain. Requests
// fill it instead of time, so that retries stay a fixed share of the load at any
// request rate. It is safe for concurrent use. The zero value is an empty
// budget.
type RetryBudget struct {
	mu    sync.Mutex
	level int // in units of 1/RequestsPerRetry retries
}

// NewRetryBudget returns a full budget, which allows a burst of retries at once.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{level: retryBurst * RequestsPerRetry}
}

// Deposit counts a request that is not a retry.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+1, retryBurst*RequestsPerRetry)
}

// Withdraw reports whether a retry is allowed, and counts it if so.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < RequestsPerRetry {
		return false
	}
	b.level -= RequestsPerRetry
	return true
}
