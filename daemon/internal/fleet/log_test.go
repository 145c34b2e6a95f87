package fleet

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against lines that quote a long entry of another writer and fill the memory of
// the host while they wait for the reader of the log.
func TestLongLinesAreCut(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	long := "event=a " + strings.Repeat("x", 1<<20) + "\n"
	for _, line := range []string{long, "event=b\n"} {
		if n, err := w.Write([]byte(line)); n != len(line) || err != nil {
			t.Errorf("write returned %d, %v, want %d", n, err, len(line))
		}
	}
	w.Close()
	lines := strings.SplitAfter(out.String(), "\n")
	if len(lines) != 3 || len(lines[0]) != maxLineBytes || !strings.HasPrefix(lines[0], "event=a xxx") || lines[1] != "event=b\n" {
		t.Errorf("got %d lines of which the first has %d bytes, want two lines, the first cut to %d bytes", len(lines)-1, len(lines[0]), maxLineBytes)
	}
}

// Guards against a panic that ends a stopping process with an error, when a session that
// outlives the drain logs a line after the log was closed.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	w.Close()
	if n, err := w.Write([]byte("event=late\n")); n != len("event=late\n") || err != nil {
		t.Errorf("write after Close returned %d, %v, want the length of the line", n, err)
	}
	if n := w.Dropped(); n != 1 || out.Len() != 0 {
		t.Errorf("%d lines were dropped and %d bytes written, want 1 and none", n, out.Len())
	}
}
