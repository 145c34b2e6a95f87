package retry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a wait that outlasts its context, and against one that ends early.
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
			t.Errorf("got %v after %s, want the end of the context after 1s", err, time.Since(began))
		}
	})
}
