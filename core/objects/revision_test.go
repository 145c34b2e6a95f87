package objects

import "testing"

// Guards against changes of a restored store that hosts take for older ones.
func TestRevisionsGrowAfterRestore(t *testing.T) {
	before, after := NewRevision(1, 900), NewRevision(2, 5)
	if after <= before {
		t.Errorf("revision %d of era 2 does not follow revision %d of era 1", after, before)
	}
	if after.Era() != 2 || after.Number() != 5 {
		t.Errorf("got era %d, number %d", after.Era(), after.Number())
	}
	if got := after.String(); got != "2.5" {
		t.Errorf("got %q in logs, want 2.5", got)
	}
	if r := NewRevision(1<<40, 1<<60); r.Era() != maxEra || r.Number() != maxNumber {
		t.Errorf("values out of range: got era %d, number %d", r.Era(), r.Number())
	}
}
