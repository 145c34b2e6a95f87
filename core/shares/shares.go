// Package shares divides the connection limit of a database among the hosts
// that own it.
//
// One object in the platform store per database records who holds how many
// connections. The sum never exceeds the limit, and every change is a
// conditional update, so hosts that disagree about the owners can't both take
// the same connections. A holder opens connections only within the count that
// it has read back from the store. It renews nothing: the store sees a call
// only when an owner comes or goes.
package shares

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

const (
	// firstOwnerPercent and secondPercent are the parts of the limit that the first
	// and second owner ask for. The rest is left to hosts that still hold
	// connections while ownership moves.
	firstOwnerPercent  = 54
	secondOwnerPercent = 36
	// minOwnerCount is what an owner asks for at least.
	minOwnerCount = 1
)

// Holder is a host process that may open connections.
type Holder struct {
	Host string `json:"host"`
	// Incarnation tells processes of the same host apart.
	Incarnation uint64 `json:"incarnation"`
	// Count is the number of connections to each backend server.
	Count int `json:"count"`
	// Confirmations counts the holder's confirmations that it is alive, so that
	// others see that it has written since they held it dead.
	Confirmations uint64 `json:"confirmed,omitempty"`
}

// SameProcess reports whether h and o are the same process.
func (h Holder) SameProcess(o Holder) bool { return h.Host == o.Host && h.Incarnation == o.Incarnation }

// Allocation is the division of one database's connections.
type Allocation struct {
	Holders []Holder `json:"holders"`
}

// Key returns the store key of a database's allocation.
func Key(database string) string { return "shares/" + database }

// Decode reads a stored allocation; no bytes are an empty one.
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

// Encode returns the stored form.
func (a Allocation) Encode() ([]byte, error) {
	b, err := json.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode allocation of connections: %w", err)
	}
	return b, nil
}

// Count returns the holder's part, 0 if it has none.
func (a Allocation) Count(self Holder) int {
	for _, h := range a.Holders {
		if h.SameProcess(self) {
			return h.Count
		}
	}
	return 0
}

// Confirm returns the allocation with self's confirmations one above those in
// before. Self must hold something.
func (a Allocation) Confirm(self Holder, before Allocation) Allocation {
	next := Allocation{Holders: slices.Clone(a.Holders)}
	for i, h := range next.Holders {
		if h.SameProcess(self) {
			next.Holders[i].Confirmations = before.confirmations(self) + 1
		}
	}
	return next
}

func (a Allocation) confirmations(self Holder) uint64 {
	for _, h := range a.Holders {
		if h.SameProcess(self) {
			return h.Confirmations
		}
	}
	return 0
}

// Sum is the number of connections given out.
func (a Allocation) Sum() int {
	sum := 0
	for _, h := range a.Holders {
		sum += h.Count
	}
	return sum
}

// TargetCount returns what the owner of a rank asks for of a limit. A rank below 0 is
// no owner.
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

// Plan returns the allocation after self takes what it wants as owner of the
// rank, and holders that are gone are removed. gone must be true only of a
// holder that has no connection and will open none. Self must not have more
// connections open than the result gives it when the plan is written, so it
// lowers its own use first; open is that use.
func Plan(a Allocation, limit int, self Holder, rank, open int, gone func(Holder) bool) Allocation {
	var next Allocation
	others := 0
	for _, h := range a.Holders {
		if h.SameProcess(self) || gone(h) {
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
