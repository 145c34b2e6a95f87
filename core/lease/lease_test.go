package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/objects"
)

var start = time.Unix(1000, 0)

// A lease must not be taken over while its holder renews it, and must be taken
// over once the holder has stopped.
func TestTakeover(t *testing.T) {
	m := New("b", "1", 100*time.Millisecond)
	now := start
	revision := objects.Revision(7)
	for i := range 20 {
		m.Observe(now, Record{Holder: "a", Token: 3, Renewal: uint64(i)}, revision+objects.Revision(i))
		if action, _, _ := m.Next(now); action != None {
			t.Fatal("takeover from a holder that renews the lease")
		}
		now = now.Add(RenewInterval)
	}
	now = now.Add(Duration)
	action, record, expected := m.Next(now)
	if action != Write || record.Holder != "b" || record.Token <= 3 || expected != revision+19 {
		t.Fatalf("got %v %+v at revision %d, want a takeover with a higher token", action, record, expected)
	}
	if m.Holding() {
		t.Error("Holding is true before the write was accepted")
	}
	m.ObserveWrite(now, now, record, expected+1)
	if !m.Holding() || !m.Confirmed(now) || m.Token() != record.Token {
		t.Error("lease is not held and confirmed with its token after the write was accepted")
	}
}

// A new process of a host must not act with the token of the previous one.
func TestNewIncarnationRaisesToken(t *testing.T) {
	m := New("a", "2", 0)
	m.Observe(start, Record{Holder: "a", Incarnation: "1", Token: 5}, 9)
	if m.Holding() {
		t.Fatal("Holding is true for the lease of another incarnation")
	}
	action, record, _ := m.Next(start)
	if action != Write || record.Token <= 5 || record.Incarnation != "2" {
		t.Fatalf("got %v %+v, want an immediate claim with a higher token", action, record)
	}
}

// A holder that was suspended must renew the lease before it acts, since another
// host may have taken it over in the meantime.
func TestSuspendedHolderIsNotConfirmed(t *testing.T) {
	m := New("a", "1", 0)
	m.ObserveWrite(start, start, Record{Holder: "a", Incarnation: "1", Token: 1}, 1)
	if !m.Confirmed(start.Add(RenewInterval)) {
		t.Error("a lease that was renewed one interval ago is not confirmed")
	}
	later := start.Add(ConfirmAge)
	if m.Confirmed(later) {
		t.Error("a lease that was not renewed within ConfirmAge is confirmed")
	}
	if action, _, _ := m.Next(later); action != Write {
		t.Error("no renewal is due after a suspension")
	}
	m.Observe(later, Record{Holder: "b", Token: 2}, 2)
	if m.Holding() {
		t.Error("Holding is true after another host took the lease over")
	}
	m.Observe(later, Record{Holder: "a", Incarnation: "1", Token: 1}, 1)
	if m.Holding() {
		t.Error("Holding is true after a stale read of the old record")
	}
}

// Two hosts, or two incarnations of one host, must never hold the same token. Runs
// random schedules of renewals, pauses, restarts, lost answers and writes that
// are executed late.
func TestTokensAreUnique(t *testing.T) {
	for seed := range uint64(200) {
		runRandomSchedule(t, rand.New(rand.NewPCG(seed, 1)), false)
	}
}

// Guards against a token that is taken again after the store forgot its holder.
func TestTokensAreUniqueAfterRestore(t *testing.T) {
	for seed := range uint64(400) {
		runRandomSchedule(t, rand.New(rand.NewPCG(seed, 2)), true)
	}
}

// Guards against a duty that nobody holds any more because the revisions of the
// restored store are lower than those before.
func TestHolderReclaimsLeaseAfterRestore(t *testing.T) {
	m, other := New("a", "1", 0), New("b", "1", 0)
	held := Record{Holder: "a", Incarnation: "1", Token: 4, Era: 1}
	m.ObserveWrite(start, start, held, objects.NewRevision(1, 90))
	other.Observe(start, held, objects.NewRevision(1, 90))
	older, restored := Record{Holder: "b", Incarnation: "1", Token: 3, Era: 1, Renewal: 7}, objects.NewRevision(2, 60)
	now := start.Add(time.Second)
	m.Observe(now, older, restored)
	other.Observe(now, older, restored)
	if m.Holding() || other.Holding() {
		t.Fatal("a host holds the lease by a record from before the restore")
	}
	if action, _, _ := other.Next(now.Add(time.Second)); action != None {
		t.Error("former holder claims the lease before that of the later holder has expired")
	}
	action, record, expected := m.Next(now)
	if action != Write || expected != restored {
		t.Fatalf("got %v %+v at revision %d, want the holder to claim the lease again at once", action, record, expected)
	}
	m.ObserveWrite(now, now, record, expected+1)
	if !m.Confirmed(now) || m.Token() != uint64(expected+1) {
		t.Errorf("got token %d, want the lease confirmed with token %d", m.Token(), expected+1)
	}
}

// Guards against a takeover by a host that does not know who held the lease last
// when the store went back.
func TestUnknownHolderIsWaitedOut(t *testing.T) {
	m := New("a", "1", 0)
	m.Observe(start, Record{Holder: "a", Incarnation: "0", Token: 3, Era: 1, Renewal: 7}, objects.NewRevision(2, 60))
	if action, _, _ := m.Next(start.Add(Duration - time.Millisecond)); action != None {
		t.Error("got a claim while a holder that the store forgot may be active")
	}
	action, record, _ := m.Next(start.Add(Duration))
	if action != Write || !slices.Contains(record.Predecessors, UnknownHolder) {
		t.Errorf("got %v %+v, want a claim that names an unknown predecessor", action, record)
	}
}

// fakeStore holds the lease object. A write succeeds if it expects the stored
// revision.
type fakeStore struct {
	record   Record
	revision objects.Revision
}

func (s *fakeStore) write(r Record, expected objects.Revision) bool {
	if expected.Number() != s.revision.Number() {
		return false
	}
	s.record, s.revision = r, s.revision+1
	return true
}

type delayedWrite struct {
	record   Record
	expected objects.Revision
}

func runRandomSchedule(t *testing.T, rng *rand.Rand, restores bool) {
	t.Helper()
	store := &fakeStore{}
	backup := *store
	hosts := make([]*Machine, 4)
	for i := range hosts {
		hosts[i] = New(fmt.Sprint(i), "0", time.Duration(rng.IntN(400))*time.Millisecond)
	}
	var late []delayedWrite
	tokens := map[uint64]string{}
	now := start
	for step := range 400 {
		now = now.Add(time.Duration(rng.IntN(1500)) * time.Millisecond)
		i := rng.IntN(len(hosts))
		switch {
		case !restores:
		case rng.IntN(20) == 0:
			*store = fakeStore{backup.record, objects.NewRevision(store.revision.Era()+1, backup.revision.Number())}
		case rng.IntN(8) == 0:
			backup = *store
		}
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
				late = append(late, delayedWrite{record, expected})
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

// After RaiseToken the holder must write a higher token, even if a renewal that
// was in flight is stored first, and must not raise it again afterwards.
func TestRaise(t *testing.T) {
	m := New("a", "1", 0)
	held := Record{Holder: "a", Incarnation: "1", Token: 4}
	m.ObserveWrite(start, start, held, 1)
	m.RaiseToken()
	action, record, expected := m.Next(start)
	if action != Write || record.Token != 5 || expected != 1 {
		t.Fatalf("got %v %+v at revision %d, want an immediate write of token 5", action, record, expected)
	}
	m.Observe(start, Record{Holder: "a", Incarnation: "1", Token: 4, Renewal: 1}, 2)
	if action, record, _ = m.Next(start); action != Write || record.Token != 5 {
		t.Fatalf("got %v %+v after a renewal that was in flight, want a write of token 5", action, record)
	}
	m.ObserveWrite(start, start, record, 3)
	if action, _, _ = m.Next(start); action != None || m.Token() != 5 {
		t.Errorf("got %v with token %d after the token was raised, want no write with token 5", action, m.Token())
	}
}
