package writelease

import (
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

var start = time.Unix(1000, 0)

// Guards against primaries that are used without a lease, after it has expired, or
// in a revoked term.
func TestLeaseAllows(t *testing.T) {
	registered := func() *Lease {
		l := New()
		l.SetRegistered(start, start, 0)
		return l
	}
	tests := []struct {
		name    string
		prepare func(l *Lease)
		after   time.Duration
		term    group.Term
		want    bool
	}{
		{"no proof", func(*Lease) {}, 0, 1, false},
		{"fresh proof", func(l *Lease) { l.Renew(Proof{RequestedAt: start}) }, Duration - 1, 1, true},
		{"expired proof", func(l *Lease) { l.Renew(Proof{RequestedAt: start}) }, Duration, 1, false},
		{"older proof does not shorten", func(l *Lease) {
			l.Renew(Proof{RequestedAt: start.Add(time.Second)})
			l.Renew(Proof{RequestedAt: start, Revoked: nil})
		}, Duration, 1, true},
		{"revoked term", func(l *Lease) { l.Renew(Proof{RequestedAt: start, Revoked: Revocations{"s": 1}}) }, 0, 1, false},
		{"unknown term after a revocation", func(l *Lease) { l.Renew(Proof{RequestedAt: start, Revoked: Revocations{"s": 1}}) }, 0, 0, false},
		{"later term", func(l *Lease) { l.Renew(Proof{RequestedAt: start, Revoked: Revocations{"s": 1}}) }, 0, 2, true},
		{"revocation of another service", func(l *Lease) { l.Renew(Proof{RequestedAt: start, Revoked: Revocations{"other": 9}}) }, 0, 1, true},
		{"a lower revocation does not undo a higher one", func(l *Lease) {
			l.Renew(Proof{RequestedAt: start, Revoked: Revocations{"s": 3}})
			l.Revoke(Revocations{"s": 1})
		}, 0, 2, false},
		{"proof from before the registration", func(l *Lease) { l.Renew(Proof{RequestedAt: start.Add(-time.Millisecond)}) }, 0, 1, false},
		{"registration too old", func(l *Lease) { l.Renew(Proof{RequestedAt: start.Add(RegistrationValidity)}) }, RegistrationValidity, 1, false},
		{"renewed registration", func(l *Lease) {
			l.SetRegistered(start.Add(RegistrationValidity-1), start.Add(RegistrationValidity), 0)
			l.Renew(Proof{RequestedAt: start.Add(RegistrationValidity - 1)})
		}, RegistrationValidity, 1, true},
		{"registration renewed after a gap needs a new proof", func(l *Lease) {
			l.Renew(Proof{RequestedAt: start.Add(RegistrationValidity)})
			l.SetRegistered(start.Add(RegistrationValidity), start.Add(RegistrationValidity+1), 0)
		}, RegistrationValidity + 1, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := registered()
			tt.prepare(l)
			if got := l.Allows(start.Add(tt.after), "s", tt.term); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}

// Guards against promotions that are ordered while a host may still use the former
// primary.
func TestProgressComplete(t *testing.T) {
	waited := Duration + SendMargin
	stored := Progress{RecordedAt: start, HostsListed: true, Unconfirmed: 1, TookOverAt: start.Add(-time.Second)}
	with := func(change func(*Progress)) Progress {
		p := stored
		change(&p)
		return p
	}
	tests := []struct {
		name     string
		progress Progress
		after    time.Duration
		want     bool
	}{
		{"nothing stored", Progress{HostsListed: true}, time.Hour, false},
		{"stepped down", Progress{SteppedDown: true}, 0, true},
		{"hosts not listed", with(func(p *Progress) { p.HostsListed, p.Unconfirmed = false, 0 }), waited - 1, false},
		{"all confirmed", with(func(p *Progress) { p.Unconfirmed = 0 }), 0, true},
		{"leases may be valid", stored, waited - 1, false},
		{"leases have expired", stored, waited, true},
		{"predecessor confirmed late", with(func(p *Progress) { p.PredecessorsConfirmedAt = start.Add(time.Second) }), waited, false},
		{"leases by the predecessor have expired", with(func(p *Progress) { p.PredecessorsConfirmedAt = start.Add(time.Second) }), waited + time.Second, true},
		{"silent predecessor", with(func(p *Progress) { p.SilentPredecessor = true }), VouchPeriod - time.Second + waited - 1, false},
		{"silent predecessor can't vouch any more", with(func(p *Progress) { p.SilentPredecessor = true }), VouchPeriod - time.Second + waited, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.progress.Complete(start.Add(tt.after)); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}

// Guards against a holder that vouches although another host may have taken over
// the duty and waited for the end of its word.
func TestCanVouch(t *testing.T) {
	if !CanVouch(start.Add(VouchPeriod-1), start) || CanVouch(start.Add(VouchPeriod), start) {
		t.Errorf("holder must vouch for exactly %s after its last renewal", VouchPeriod)
	}
}

// Guards against a host that the store forgot, and that renews its lease by a store
// whose holder does not know that it has to wait for it.
func TestProofOfAnotherEraDoesNotRenew(t *testing.T) {
	l := New()
	l.SetRegistered(start, start, 1)
	l.Renew(Proof{RequestedAt: start, Era: 1})
	later := start.Add(Duration / 2)
	l.Renew(Proof{RequestedAt: later, Era: 2, Revoked: Revocations{"s": 3}})
	if !l.Valid(later) || l.Valid(start.Add(Duration)) {
		t.Error("a proof of an era in which the host is not registered changed the end of the lease")
	}
	if !l.IsRevoked("s", 3) || l.Proof().Era != 2 {
		t.Error("the proof and its revocations are not passed on")
	}
	l.SetRegistered(later, later.Add(time.Millisecond), 2)
	l.Renew(Proof{RequestedAt: later, Era: 2})
	if l.Valid(start.Add(Duration)) {
		t.Error("a proof from before the registration in its era renewed the lease")
	}
	l.Renew(Proof{RequestedAt: later.Add(time.Millisecond), Era: 2})
	if !l.Valid(start.Add(Duration)) {
		t.Error("a proof of the era of the registration did not renew the lease")
	}
	l.Renew(Proof{RequestedAt: start.Add(Duration), Era: 1})
	if l.Valid(later.Add(Duration + time.Millisecond)) {
		t.Error("a proof of the era before renewed the lease")
	}
}
