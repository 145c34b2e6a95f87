// Package succession decides when a service gets a new primary, and which replica
// becomes it.
//
// The decision is made by one host, the holder of the promotion lease. Decide is
// a pure function of what the holder knows: which backend servers are registered,
// whether it reaches the primary itself, and what the other hosts report. If the
// primary is to be replaced, Successor selects the replica to promote from the
// replicas' own reports.
package succession

import (
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// The thresholds of a decision.
const (
	// MissingShare is the fraction of hosts, the holder included, that must find the
	// primary unreachable before it is replaced.
	MissingShare = 0.3
	// ReportDelay is how long the other hosts must report the primary as unreachable
	// if the holder still reaches it, since their connection may recover.
	ReportDelay = 800 * time.Millisecond
	// NoPrimaryDelay is how long a service must be without a primary before one is
	// promoted, since a promotion by another host may be in progress.
	NoPrimaryDelay = time.Second
	// RegistrationDelay is how long no server must have registered before one is
	// promoted in a service without a primary, since the primary itself may be about
	// to register.
	RegistrationDelay = 4 * time.Second
	// PromotionTimeout is how long a promotion may take before the state of the
	// service is evaluated again.
	PromotionTimeout = 4 * time.Second
	// UnfinishedRetryDelay replaces PromotionTimeout while an earlier order may still be
	// carried out, since commits wait for the end of the replacement.
	UnfinishedRetryDelay = time.Second
)

// View is what the holder knows about one service.
type View struct {
	// Primary is the ID of the primary; empty if none is known.
	Primary string
	// Registered is true if the primary is still registered, and Draining if it is
	// about to stop.
	Registered, Draining bool
	// Reachable is true if the primary answers the holder itself.
	Reachable bool
	// MissingReports is the number of hosts, other than the holder, that report the
	// primary as unreachable.
	MissingReports int
	// MissingReportedAt is the time of the first such report.
	MissingReportedAt time.Time
	// LiveHosts is the number of live hosts, the holder included.
	LiveHosts int
	// PolledHosts is the number of other hosts that recently answered when the holder
	// asked them about the primary, and PolledMissing how many of them cannot reach
	// it either. A host that cannot reach the store cannot report, but can be asked
	// directly.
	PolledHosts, PolledMissing int
	// Candidates is the number of servers that could take over.
	Candidates int
	// NoPrimarySince is when the primary became unknown, and LastRegisteredAt when a
	// server last registered.
	NoPrimarySince, LastRegisteredAt time.Time
	// PromotionOrderedAt is when the last promotion was ordered, or zero if none was.
	PromotionOrderedAt time.Time
	// PromotionRefused is true if that promotion is known to have been refused.
	PromotionRefused bool
	// Unfinished is true if a replacement has begun whose order may still be carried
	// out, and no other server leads since. It is used where commits wait for replicas.
	Unfinished bool
}

// Reason is why a primary is replaced. It appears in logs.
type Reason string

// The reasons.
const (
	// NoReplacement means that the service needs no new primary now.
	NoReplacement Reason = ""
	// PrimaryDraining replaces a primary that is draining and can still be asked to
	// step down.
	PrimaryDraining Reason = "primary is draining"
	// PrimaryUnregistered replaces a primary that is no longer registered.
	PrimaryUnregistered Reason = "primary is no longer registered"
	// PrimaryUnreachable replaces a primary that neither the holder nor enough of the
	// other hosts reach.
	PrimaryUnreachable Reason = "primary is unreachable"
	// PrimaryPartlyUnreachable replaces a primary that the holder reaches but many
	// other hosts do not.
	PrimaryPartlyUnreachable Reason = "primary is unreachable for many hosts"
	// NoPrimary promotes a primary in a service where none is known.
	NoPrimary Reason = "service has no primary"
	// PromotionUnfinished replaces a primary, even one that is well again, because an
	// earlier order to replace it may still be carried out.
	PromotionUnfinished Reason = "an earlier promotion may still be carried out"
)

// pollConfirmsLoss reports whether the holder and the hosts that answered it are
// the majority of all hosts, and enough of them cannot reach the primary. Hosts
// that do not answer may be on the primary's side of a network partition, where it
// continues to serve them.
func (v View) pollConfirmsLoss() bool {
	return v.PolledMissing > 0 && 2*(v.PolledHosts+1) > v.LiveHosts && reachesMissingShare(v.PolledMissing+1, v.PolledHosts+1)
}

// Decide returns why the primary is to be replaced now, or NoReplacement.
func Decide(now time.Time, v View) Reason {
	if v.Candidates == 0 {
		return NoReplacement
	}
	if !v.PromotionOrderedAt.IsZero() && !v.PromotionRefused && now.Sub(v.PromotionOrderedAt) < v.retryDelay() {
		return NoReplacement
	}
	if v.Primary == "" {
		if !v.NoPrimarySince.IsZero() && now.Sub(v.NoPrimarySince) >= NoPrimaryDelay && now.Sub(v.LastRegisteredAt) >= RegistrationDelay {
			return NoPrimary
		}
		return NoReplacement
	}
	switch {
	case v.Unfinished:
		// Its replicas are paused, so that none can follow a primary that drains.
		return PromotionUnfinished
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

// retryDelay returns the time after a replacement before the next one.
func (v View) retryDelay() time.Duration {
	if v.Unfinished {
		return UnfinishedRetryDelay
	}
	return PromotionTimeout
}

// reachesMissingShare reports whether the hosts that cannot reach the primary are
// at least MissingShare of all hosts.
func reachesMissingShare(missing, hosts int) bool {
	return missing > 0 && float64(missing) >= MissingShare*float64(hosts)
}

// Replica is the report of a replica.
type Replica struct {
	// ID identifies the backend server.
	ID string
	// Received is the end of the log that the replica has received.
	Received group.Position
	// SameRegion is true if the replica is in the region of the holder, which is
	// preferred among equal logs.
	SameRegion bool
	// Ordered is true if an order to promote it may still be carried out. It is preferred
	// among equal logs, since it does not matter then which of two orders comes first.
	Ordered bool
	// Leaving is true if the replica is about to stop, so that it cannot take over. Its
	// report shows what its log holds.
	Leaving bool
}

// Longest returns the replica with the longest log of those that can take over. It
// returns false if there is none.
func Longest(replicas []Replica) (Replica, bool) {
	var best *Replica
	for i := range replicas {
		if r := &replicas[i]; !r.Leaving && (best == nil || r.isPreferredTo(best)) {
			best = r
		}
	}
	if best == nil {
		return Replica{}, false
	}
	return *best, true
}

// Successor returns the replica with the longest log. It returns false if there is
// none that can take over, if fewer than needed replicas have answered, or if one that
// cannot take over has a longer log. The caller sets needed so that each commit that was
// acknowledged after a replica received it is in the log of at least one of that many
// replicas.
func Successor(replicas []Replica, needed int) (Replica, bool) {
	best, ok := Longest(replicas)
	if !ok || len(replicas) < needed {
		return Replica{}, false
	}
	for _, r := range replicas {
		if r.Received.Compare(best.Received) > 0 {
			return Replica{}, false
		}
	}
	return best, true
}

func (r *Replica) isPreferredTo(other *Replica) bool {
	switch c := r.Received.Compare(other.Received); {
	case c != 0:
		return c > 0
	case r.Ordered != other.Ordered:
		return r.Ordered
	default:
		return r.SameRegion && !other.SameRegion
	}
}
