package dbgroup

import (
	"sort"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// minRetainedRecords is the number of records that a slot keeps in memory at
// least: once it holds twice as many, it drops the older half. A replica that
// needs a dropped record is rebuilt from a copy of the primary's database.
const minRetainedRecords = 200_000

// statement is one write statement with its parameters.
type statement struct {
	sql  string
	args []any
}

// record is one committed transaction, or the start of a term if it has no
// statements. All slots of a group share the record in memory, so it must not be
// changed.
type record struct {
	pos       group.Position
	committed time.Time
	stmts     []statement
}

// termStart is a term with the offset of its first record.
type termStart struct {
	term  group.Term
	first uint64
}

// replicationLog is the log of a slot. Offsets of successive records differ by one.
type replicationLog struct {
	end     group.Position
	records []*record
	terms   []termStart
}

// firstRetained returns the offset of the oldest record in memory.
func (h *replicationLog) firstRetained() uint64 { return h.end.Offset - uint64(len(h.records)) + 1 }

// append appends a record and drops old ones that exceed the retention; see
// minRetainedRecords.
func (h *replicationLog) append(r *record) {
	if r.pos.Term != h.end.Term {
		h.terms = append(h.terms, termStart{r.pos.Term, r.pos.Offset})
	}
	h.end = r.pos
	h.records = append(h.records, r)
	if len(h.records) >= 2*minRetainedRecords {
		h.records = append([]*record(nil), h.records[minRetainedRecords:]...)
	}
}

// recordsAfter returns up to limit records that follow the offset; ok is false if
// some of them are no longer in memory.
func (h *replicationLog) recordsAfter(offset uint64, limit int) (recs []*record, ok bool) {
	if offset+1 < h.firstRetained() {
		return nil, false
	}
	from := int(offset + 1 - h.firstRetained())
	to := min(len(h.records), from+limit)
	return h.records[from:to:to], true
}

// truncate drops the records after the offset. It returns false, and changes
// nothing, if the record at the offset is no longer in memory.
func (h *replicationLog) truncate(offset uint64) bool {
	if offset == h.end.Offset {
		return true
	}
	if offset < h.firstRetained() {
		return false
	}
	keep := int(offset + 1 - h.firstRetained())
	h.records = append([]*record(nil), h.records[:keep]...)
	h.end = h.records[keep-1].pos
	starts := sort.Search(len(h.terms), func(i int) bool { return h.terms[i].first > offset })
	h.terms = h.terms[:starts:starts]
	return true
}

// clone copies the log; the records themselves are shared.
func (h *replicationLog) clone() replicationLog {
	return replicationLog{
		end:     h.end,
		records: append([]*record(nil), h.records...),
		terms:   append([]termStart(nil), h.terms...),
	}
}

// commonOffset returns the last offset up to which two logs are equal. Two logs
// that both have a record of the same term and offset are equal up to it, because
// only one slot writes in a term.
func commonOffset(a []termStart, endA uint64, b []termStart, endB uint64) uint64 {
	same := 0
	for same < len(a) && same < len(b) && a[same] == b[same] {
		same++
	}
	if same == 0 {
		return 0
	}
	return min(termEnd(a, endA, same-1), termEnd(b, endB, same-1))
}

// termEnd returns the last offset of the i-th term of a log that ends at offset end.
func termEnd(terms []termStart, end uint64, i int) uint64 {
	if i+1 < len(terms) {
		return terms[i+1].first - 1
	}
	return end
}
