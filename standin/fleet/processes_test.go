package fleet

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Guards against a soak that goes on with fewer processes and reports no problem.
func TestFailedRestartIsReported(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	p, err := NewProcess(program, folder, "host-0", "127.0.0.1", "zone-a", "", "", true)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(program); err != nil {
		t.Fatal(err)
	}
	p.Signal(syscall.SIGKILL)
	for until := time.Now().Add(10 * time.Second); p.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("a restart without a program was not reported within 10 s")
		}
	}
}
