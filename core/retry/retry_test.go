package retry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Sleep must return when its context ends, and not before its duration otherwise.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		if err := Sleep(t.Context(), time.Second); err != nil || time.Since(began) != time.Second {
			t.Errorf("got %v after %s, want nil after 1s", err, time.Since(began))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began = time.Now()
		if err := Sleep(ctx, time.Minute); !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != time.Second {
			t.Errorf("got %v after %s, want context.DeadlineExceeded after 1s", err, time.Since(began))
		}
	})
}
