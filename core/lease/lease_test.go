package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against a takeover while the holder renews, and against a lease that
// nobody takes over when it no longer does.
func TestTakeover(t *testing.T) {
	m := New("b", "1", 100*time.Millisecond)
	now := start
	revision := uint64(7)
	for i := range 20 {
		m.Observe(now, Record{Holder: "a", Token: 3, Renewal: uint64(i)}, revision+uint64(i))
		if action, _, _ := m.Next(now); action != None {
			t.Fatal("takes over from a holder that renews")
		}
		now = now.Add(RenewInterval)
	}
	now = now.Add(Duration)
	action, record, expected := m.Next(now)
	if action != Write || record.Holder != "b" || record.Token != 4 || expected != revision+19 {
		t.Fatalf("got %v %+v at revision %d, want a takeover with token 4", action, record, expected)
	}
	if m.Holding() {
		t.Error("holds the lease before the write was accepted")
	}
	m.ObserveWrite(now, now, record, expected+1)
	if !m.Holding() || !m.Confirmed(now) || m.Token() != 4 {
		t.Error("does not hold the lease after the write was accepted")
	}
}

// Guards against a new process that acts with the token of the one before.
func TestNewIncarnationRaisesToken(t *testing.T) {
	m := New("a", "2", 0)
	m.Observe(start, Record{Holder: "a", Incarnation: "1", Token: 5}, 9)
	if m.Holding() {
		t.Fatal("holds the lease of another incarnation")
	}
	action, record, _ := m.Next(start)
	if action != Write || record.Token != 6 || record.Incarnation != "2" {
		t.Fatalf("got %v %+v, want an immediate claim with token 6", action, record)
	}
}

// Guards against a holder that acts after a suspension without asking whether
// it still holds the lease.
func TestSuspendedHolderIsNotConfirmed(t *testing.T) {
	m := New("a", "1", 0)
	m.ObserveWrite(start, start, Record{Holder: "a", Incarnation: "1", Token: 1}, 1)
	if !m.Confirmed(start.Add(RenewInterval)) {
		t.Error("a lease that was just renewed is not confirmed")
	}
	later := start.Add(ConfirmAge)
	if m.Confirmed(later) {
		t.Error("a lease that was not renewed for long is confirmed")
	}
	if action, _, _ := m.Next(later); action != Write {
		t.Error("holder does not renew after a suspension")
	}
	m.Observe(later, Record{Holder: "b", Token: 2}, 2)
	if m.Holding() {
		t.Error("holds the lease after another host took it over")
	}
	m.Observe(later, Record{Holder: "a", Incarnation: "1", Token: 1}, 1)
	if m.Holding() {
		t.Error("a stale read gave the lease back")
	}
}

// Guards against two hosts, or two incarnations, that hold the same token, over
// random schedules of renewals, pauses, restarts, lost answers and writes that
// are executed late.
func TestTokensAreUnique(t *testing.T) {
	for seed := range uint64(200) {
		playLease(t, rand.New(rand.NewPCG(seed, 1)))
	}
}

// stored is the object of the lease; a write succeeds if its revision is right.
type stored struct {
	record   Record
	revision uint64
}

func (s *stored) write(r Record, expected uint64) bool {
	if expected != s.revision {
		return false
	}
	s.record, s.revision = r, s.revision+1
	return true
}

type delayed struct {
	record   Record
	expected uint64
}

func playLease(t *testing.T, rng *rand.Rand) {
	t.Helper()
	store := &stored{}
	hosts := make([]*Machine, 4)
	for i := range hosts {
		hosts[i] = New(fmt.Sprint(i), "0", time.Duration(rng.IntN(400))*time.Millisecond)
	}
	var late []delayed
	tokens := map[uint64]string{}
	now := start
	for step := range 400 {
		now = now.Add(time.Duration(rng.IntN(1500)) * time.Millisecond)
		i := rng.IntN(len(hosts))
		switch m := hosts[i]; rng.IntN(6) {
		case 0:
			hosts[i] = New(fmt.Sprint(i), fmt.Sprint(step+1), 0)
		case 1:
			m.Observe(now, store.record, store.revision)
		case 2:
			if len(late) > 0 {
				store.write(late[0].record, late[0].expected)
				late = late[1:]
			}
		default:
			action, record, expected := m.Next(now)
			if action != Write {
				continue
			}
			if rng.IntN(4) == 0 {
				late = append(late, delayed{record, expected})
				continue
			}
			if store.write(record, expected) && rng.IntN(4) > 0 {
				m.ObserveWrite(now, now, record, store.revision)
			} else {
				m.Observe(now, store.record, store.revision)
			}
		}
		for _, m := range hosts {
			if !m.Holding() {
				continue
			}
			owner := m.host + "/" + m.incarnation
			if other, used := tokens[m.Token()]; used && other != owner {
				t.Fatalf("token %d is held by %s and by %s", m.Token(), other, owner)
			}
			tokens[m.Token()] = owner
		}
	}
}

// Guards against a holder that goes on with a token that it was told to raise,
// and against one that raises it again after it was stored.
func TestRaise(t *testing.T) {
	m := New("a", "1", 0)
	held := Record{Holder: "a", Incarnation: "1", Token: 4}
	m.ObserveWrite(start, start, held, 1)
	m.RaiseToken()
	action, record, expected := m.Next(start)
	if action != Write || record.Token != 5 || expected != 1 {
		t.Fatalf("got %v %+v at revision %d, want token 5 at once", action, record, expected)
	}
	m.Observe(start, Record{Holder: "a", Incarnation: "1", Token: 4, Renewal: 1}, 2)
	if action, record, _ = m.Next(start); action != Write || record.Token != 5 {
		t.Fatalf("got %v %+v after a renewal that was under way, want token 5", action, record)
	}
	m.ObserveWrite(start, start, record, 3)
	if action, _, _ = m.Next(start); action != None || m.Token() != 5 {
		t.Errorf("got %v with token %d after the token was raised", action, m.Token())
	}
}
