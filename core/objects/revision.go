package objects

import "fmt"

// Revision is a point in the history of the store, or the point of the last change
// of one object. It consists of the store's era, which counts how often the store
// went back to an older copy of itself, and its revision counter, which goes back
// with it. Revisions are ordered by era first, so they never go back, and a counter
// that the store gives out again yields another Revision.
type Revision uint64

// numberBits is the number of bits of the revision counter. It lasts for ten years
// at 3,000 writes a second.
const numberBits = 40

const (
	maxNumber = 1<<numberBits - 1
	maxEra    = 1<<(64-numberBits) - 1
)

// NewRevision returns the revision of an era and a counter. Values out of range are
// limited to the largest ones. A store that does not tell its era is in era 0.
func NewRevision(era, number uint64) Revision {
	return Revision(min(era, maxEra)<<numberBits | min(number, maxNumber))
}

// Era returns the era of the store.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the revision counter, which only the store of the same era knows.
// It is 0 for an object that does not exist.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// String returns the era and the number, as logs show them.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era(), r.Number()) }
