package dbgroup

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/gypsumgap/gypsumgap/core/group"
	_ "github.com/gypsumgap/gypsumgap/core/testseed"
)

// appendRandomRecords appends up to 12 records with non-decreasing terms to a log.
func appendRandomRecords(t *rapid.T, h *replicationLog, label string) {
	for range rapid.IntRange(0, 12).Draw(t, label) {
		term := h.end.Term + group.Term(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "term step"))
		h.append(&record{pos: group.Position{Term: max(term, 1), Offset: h.end.Offset + 1}})
	}
}

// TestCommonOffset guards against a diverging tail that is kept, or a common prefix that
// is discarded, when a former primary follows the new one.
func TestCommonOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a replicationLog
		appendRandomRecords(t, &a, "shared")
		b, shared := a.clone(), a.end.Offset
		appendRandomRecords(t, &a, "a")
		// Only one slot writes in a term, so the other log continues in a newer one.
		if rapid.Bool().Draw(t, "diverge") {
			b.append(&record{pos: group.Position{Term: a.end.Term + 1, Offset: shared + 1}})
			appendRandomRecords(t, &b, "b")
		}
		want := uint64(0)
		for i := 0; i < len(a.records) && i < len(b.records) && a.records[i].pos == b.records[i].pos; i++ {
			want = uint64(i + 1)
		}
		got := commonOffset(a.terms, a.end.Offset, b.terms, b.end.Offset)
		if got != want {
			t.Fatalf("got common offset %d, want %d for terms %v and %v", got, want, a.terms, b.terms)
		}
		checkTruncate(t, &a, got)
	})
}

func checkTruncate(t *rapid.T, h *replicationLog, offset uint64) {
	if offset == 0 {
		return
	}
	if !h.truncate(offset) || h.end.Offset != offset || h.end != h.records[len(h.records)-1].pos {
		t.Fatalf("truncate: got log end %v, want offset %d", h.end, offset)
	}
	if last := h.terms[len(h.terms)-1]; last.term != h.end.Term || last.first > offset {
		t.Fatalf("truncate: got last term %v for a log that ends at %v", last, h.end)
	}
}
