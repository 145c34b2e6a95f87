// Package succession decides when a service gets a new primary.
//
// Decide is a pure function of what the holder of the promotion duty knows:
// which backend servers are registered, what it sees of the primary itself, and
// what the other hosts report. Which replica takes over is decided afterwards
// by Successor, from the replicas' own reports.
package succession

import (
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// The thresholds of a decision.
const (
	// MissingShare is the share of hosts, the holder included, that must miss the
	// primary before it is replaced.
	MissingShare = 0.3
	// ReportDelay is how long reports must last while the holder itself reaches
	// the primary, whose path to the other hosts may come back.
	ReportDelay = 800 * time.Millisecond
	// NoPrimaryDelay is how long a service may be without a primary before one is
	// chosen; another host's promotion may be under way.
	NoPrimaryDelay = time.Second
	// RegistrationDelay is how long no server may have arrived before one is made the
	// primary of a service that has none: the primary may be about to register.
	RegistrationDelay = 4 * time.Second
	// PromotionTimeout is how long a promotion may take before the state of the
	// service is judged again.
	PromotionTimeout = 4 * time.Second
)

// View is what the holder knows of one service.
type View struct {
	// Primary is the ID of the primary; empty if none is known.
	Primary string
	// Registered tells whether the primary is still registered, Draining
	// whether it is about to end.
	Registered, Draining bool
	// Reachable tells whether the holder itself hears the primary.
	Reachable bool
	// MissingReports counts the hosts, other than the holder, that report that they
	// cannot reach the primary, and MissingSince is when the first one did.
	MissingReports    int
	MissingReportedAt time.Time
	// LiveHosts counts the live hosts, the holder included.
	LiveHosts int
	// PolledHosts counts the hosts that answered the holder's question about the primary
	// lately, and PolledMissing those of them that cannot reach it either. Hosts
	// that cannot reach the store report nothing, but can be asked.
	PolledHosts, PolledMissing int
	// Candidates counts the servers that could take over.
	Candidates int
	// NoPrimarySince is since when no primary is known, LastRegisteredAt when the last
	// server registered itself.
	NoPrimarySince, LastRegisteredAt time.Time
	// PromotionOrderedAt is when the last promotion was ordered, zero for never.
	PromotionOrderedAt time.Time
	// PromotionRefused tells that its outcome is known to be a refusal.
	PromotionRefused bool
}

// Reason says why a primary is replaced; empty for no replacement.
type Reason string

// The reasons.
const (
	NoReplacement Reason = ""
	// PrimaryDraining replaces a primary that drains and can still be asked to step down.
	PrimaryDraining Reason = "primary is draining"
	// PrimaryUnregistered replaces a primary that is no longer registered.
	PrimaryUnregistered Reason = "primary is no longer registered"
	// PrimaryUnreachable replaces a primary that the holder and other hosts miss.
	PrimaryUnreachable Reason = "primary is unreachable"
	// PrimaryPartlyUnreachable replaces a primary that many hosts miss though the holder
	// reaches it.
	PrimaryPartlyUnreachable Reason = "primary is unreachable for many hosts"
	// NoPrimary names a primary where none is known.
	NoPrimary Reason = "service has no primary"
)

// askedEnough reports whether the hosts that answered are most of all hosts, and
// enough of them miss the primary. Hosts that do not answer may be on the
// primary's side of a partition, where it goes on serving them.
func (v View) pollConfirmsLoss() bool {
	return v.PolledMissing > 0 && 2*(v.PolledHosts+1) > v.LiveHosts && reachesMissingShare(v.PolledMissing+1, v.PolledHosts+1)
}

// Decide returns the reason for which the primary is to be replaced now.
func Decide(now time.Time, v View) Reason {
	if v.Candidates == 0 {
		return NoReplacement
	}
	if !v.PromotionOrderedAt.IsZero() && !v.PromotionRefused && now.Sub(v.PromotionOrderedAt) < PromotionTimeout {
		return NoReplacement
	}
	if v.Primary == "" {
		if !v.NoPrimarySince.IsZero() && now.Sub(v.NoPrimarySince) >= NoPrimaryDelay && now.Sub(v.LastRegisteredAt) >= RegistrationDelay {
			return NoPrimary
		}
		return NoReplacement
	}
	switch {
	case v.Draining:
		return PrimaryDraining
	case !v.Registered:
		return PrimaryUnregistered
	case !v.Reachable && (reachesMissingShare(v.MissingReports+1, v.LiveHosts) || v.pollConfirmsLoss()):
		return PrimaryUnreachable
	case v.Reachable && reachesMissingShare(v.MissingReports, v.LiveHosts) && now.Sub(v.MissingReportedAt) >= ReportDelay:
		return PrimaryPartlyUnreachable
	default:
		return NoReplacement
	}
}

func reachesMissingShare(missing, hosts int) bool {
	return missing > 0 && float64(missing) >= MissingShare*float64(hosts)
}

// Replica is a candidate's own report.
type Replica struct {
	ID       string
	Received group.Position
	// SameRegion is true for a candidate in the region of the holder; it breaks ties.
	SameRegion bool
}

// Successor returns the replica with the longest log. With needed above 0 at
// least so many replicas must have answered, so that each commit that was
// acknowledged after being received by a replica is in one of their logs.
func Successor(replicas []Replica, needed int) (Replica, bool) {
	if len(replicas) == 0 || len(replicas) < needed {
		return Replica{}, false
	}
	best := replicas[0]
	for _, r := range replicas[1:] {
		c := r.Received.Compare(best.Received)
		if c > 0 || c == 0 && r.SameRegion && !best.SameRegion {
			best = r
		}
	}
	return best, true
}
