// Package shares divides the connection limit of a database among the hosts that
// own it.
//
// One object per database in the platform store records how many connections
// each host holds. The sum never exceeds the limit, and every change is a
// conditional update, so hosts that disagree about the owners cannot both take
// the same connections. A holder opens no more connections than the count that
// it has read back from the store. Counts need no renewal: the store is called
// only when an owner comes or goes.
package shares

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

const (
	// firstOwnerPercent is the percentage of the limit that the first owner asks
	// for. What both owners leave is for hosts that still hold connections while
	// ownership moves.
	firstOwnerPercent = 54
	// secondOwnerPercent is the percentage of the limit that the second owner asks
	// for.
	secondOwnerPercent = 36
	// minOwnerCount is the least number of connections that an owner asks for.
	minOwnerCount = 1
)

// Holder is a host process that may open connections.
type Holder struct {
	// Host is the name of the host.
	Host string `json:"host"`
	// Incarnation distinguishes successive processes of one host.
	Incarnation uint64 `json:"incarnation"`
	// Count is the number of connections to each backend server.
	Count int `json:"count"`
	// Confirmations counts how often the holder has confirmed that it is alive.
	// A higher count shows other hosts that it has written since they took it
	// for dead.
	Confirmations uint64 `json:"confirmed,omitempty"`
}

// SameProcess reports whether h and o are the same process.
func (h Holder) SameProcess(o Holder) bool { return h.Host == o.Host && h.Incarnation == o.Incarnation }

// Allocation is the division of the connections of one database. The zero value
// has no holder.
type Allocation struct {
	// Holders are sorted by host, then by incarnation.
	Holders []Holder `json:"holders"`
}

// Key returns the store key of the allocation of a database.
func Key(database string) string { return "shares/" + database }

// Decode parses a stored allocation. Empty input yields an empty allocation.
func Decode(b []byte) (Allocation, error) {
	var a Allocation
	if len(b) == 0 {
		return a, nil
	}
	if err := json.Unmarshal(b, &a); err != nil {
		return a, fmt.Errorf("decode allocation of connections: %w", err)
	}
	return a, nil
}

// Encode returns the allocation in its stored form.
func (a Allocation) Encode() ([]byte, error) {
	b, err := json.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode allocation of connections: %w", err)
	}
	return b, nil
}

// Count returns the number of connections that self holds, 0 if it is not a
// holder.
func (a Allocation) Count(self Holder) int {
	for _, h := range a.Holders {
		if h.SameProcess(self) {
			return h.Count
		}
	}
	return 0
}

// Confirm returns the allocation with the confirmations of self one above those
// in before. Self must be a holder.
func (a Allocation) Confirm(self Holder, before Allocation) Allocation {
	next := Allocation{Holders: slices.Clone(a.Holders)}
	for i, h := range next.Holders {
		if h.SameProcess(self) {
			next.Holders[i].Confirmations = before.confirmations(self) + 1
		}
	}
	return next
}

// confirmations returns the confirmations of self, 0 if it is not a holder.
func (a Allocation) confirmations(self Holder) uint64 {
	for _, h := range a.Holders {
		if h.SameProcess(self) {
			return h.Confirmations
		}
	}
	return 0
}

// Sum returns the number of connections that all holders have together.
func (a Allocation) Sum() int {
	sum := 0
	for _, h := range a.Holders {
		sum += h.Count
	}
	return sum
}

// TargetCount returns the number of connections that the owner with the given
// rank asks for. Rank 0 is the first owner and 1 the second; any other rank gets
// 0.
func TargetCount(limit, rank int) int {
	switch rank {
	case 0:
		return max(limit*firstOwnerPercent/100, minOwnerCount)
	case 1:
		return max(limit*secondOwnerPercent/100, minOwnerCount)
	default:
		return 0
	}
}

// Plan returns the allocation after self takes its target count as owner with
// the given rank, and holders that are gone are removed. isGone must return true
// only for a holder that has no connection and will open none.
//
// open is the number of connections that self has open. When the plan is
// written, self must not have more open than the plan gives it, so it closes
// surplus connections first.
func Plan(a Allocation, limit int, self Holder, rank, open int, isGone func(Holder) bool) Allocation {
	var next Allocation
	others := 0
	for _, h := range a.Holders {
		if h.SameProcess(self) || isGone(h) {
			continue
		}
		next.Holders = append(next.Holders, h)
		others += h.Count
	}
	self.Count = max(min(TargetCount(limit, rank), limit-others), min(open, a.Count(self)))
	self.Confirmations = a.confirmations(self)
	if self.Count > 0 {
		next.Holders = append(next.Holders, self)
	}
	slices.SortFunc(next.Holders, func(x, y Holder) int {
		return cmp.Or(cmp.Compare(x.Host, y.Host), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return next
}
