// Package retry holds the wait between attempts.
package retry

import (
	"context"
	"time"
)

// Sleep waits for the time to pass. It returns the context's error if ctx ends
// first.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
