// Package retry provides the wait between attempts of an operation.
package retry

import (
	"context"
	"time"
)

// Sleep waits for d. It returns the error of ctx if that ends first.
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
