package platformtest_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
)

func wantErr(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}

// Guards against an update that overwrites a change made after its expected
// version, and against a version that is reused after a delete.
func TestConditionalChanges(t *testing.T) {
	ctx := t.Context()
	s := platformtest.New(platformtest.Options{ValueLimit: 4})
	v1, err := s.Put(ctx, "k", []byte("a"), 0)
	wantErr(t, err, nil)
	_, err = s.Put(ctx, "k", []byte("b"), 0)
	wantErr(t, err, platform.ErrConflict)
	v2, err := s.Put(ctx, "k", []byte("b"), v1)
	wantErr(t, err, nil)
	wantErr(t, s.Delete(ctx, "k", v1), platform.ErrConflict)
	wantErr(t, s.Delete(ctx, "k", v2), nil)
	wantErr(t, s.Delete(ctx, "k", 0), platform.ErrNotFound)
	_, err = s.Get(ctx, "k")
	wantErr(t, err, platform.ErrNotFound)
	v3, err := s.Put(ctx, "k", []byte("c"), 0)
	wantErr(t, err, nil)
	if v3 == v1 || v3 == v2 {
		t.Errorf("version %d was used before the delete", v3)
	}
	_, err = s.Put(ctx, "k", []byte("12345"), v3)
	wantErr(t, err, platform.ErrTooLarge)
}

// Guards against injected faults with the wrong effect: a lost response whose
// change did not take effect, or a rejected call that changed something.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := platformtest.New(platformtest.Options{})

		s.SetFaults(platformtest.Faults{Down: true})
		_, err := s.Put(ctx, "k", nil, 0)
		wantErr(t, err, platform.ErrUnavailable)
		s.SetFaults(platformtest.Faults{RateLimit: true})
		_, err = s.Put(ctx, "k", nil, 0)
		wantErr(t, err, platform.ErrRateLimited)
		s.SetFaults(platformtest.Faults{LoseResponses: 1})
		_, err = s.Put(ctx, "k", []byte("a"), 0)
		wantErr(t, err, platform.ErrUnknown)
		obj, err := s.Get(ctx, "k")
		wantErr(t, err, nil)
		if string(obj.Value) != "a" {
			t.Errorf("after a put with a lost response: got value %q, want a", obj.Value)
		}
		_, err = s.Put(ctx, "k", []byte("b"), obj.Version)
		wantErr(t, err, nil)

		s.SetFaults(platformtest.Faults{Delay: 4 * time.Second})
		start := time.Now()
		_, err = s.Get(ctx, "k")
		wantErr(t, err, nil)
		if took := time.Since(start); took != 4*time.Second {
			t.Errorf("a call with a delay of 4 s took %v", took)
		}
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err = s.Put(short, "k", []byte("c"), obj.Version)
		wantErr(t, err, platform.ErrUnknown)
	})
}

// Guards against a watch that misses a change, does not end with its wait or in
// an outage, or is counted more than once.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := platformtest.New(platformtest.Options{})
		time.AfterFunc(2*time.Second, func() { _, _ = s.Put(ctx, "other", nil, 0) })
		time.AfterFunc(3*time.Second, func() { _, _ = s.Put(ctx, "k", []byte("a"), 0) })
		start := time.Now()
		obj, err := s.Watch(ctx, "k", 0, time.Minute)
		wantErr(t, err, nil)
		if took := time.Since(start); took != 3*time.Second || string(obj.Value) != "a" {
			t.Errorf("the watch returned %q after %v, want a after 3 s", obj.Value, took)
		}
		again, err := s.Watch(ctx, "k", obj.Version, time.Second)
		wantErr(t, err, nil)
		if again.Version != obj.Version {
			t.Errorf("the watch without a change returned version %d", again.Version)
		}
		time.AfterFunc(time.Second, func() { s.SetFaults(platformtest.Faults{Down: true}) })
		_, err = s.Watch(ctx, "k", obj.Version, time.Minute)
		wantErr(t, err, platform.ErrUnavailable)
		if got := s.Counts().Watches; got != 3 {
			t.Errorf("counted %d watches, want 3", got)
		}
	})
}

// Guards against a host list that changes without HostLag, and against a rate
// limit that never rejects a call or never recovers.
func TestHostLagAndRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := platformtest.New(platformtest.Options{HostLag: 10 * time.Second, ReadRate: 2})
		s.SetHosts([]platform.Host{{Name: "e1"}})
		for range 2 {
			hosts, err := s.Hosts(ctx)
			wantErr(t, err, nil)
			if len(hosts) != 0 {
				t.Errorf("got hosts %v before the lag, want none", hosts)
			}
		}
		_, err := s.Hosts(ctx)
		wantErr(t, err, platform.ErrRateLimited)
		time.Sleep(10 * time.Second)
		hosts, err := s.Hosts(ctx)
		wantErr(t, err, nil)
		if len(hosts) != 1 {
			t.Errorf("got hosts %v after the lag, want 1", hosts)
		}
		if c := s.Counts(); c.Hosts != 4 || c.Failed != 1 {
			t.Errorf("got counts %+v, want 4 calls of Hosts and 1 failed", c)
		}
	})
}
