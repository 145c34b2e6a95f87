package fleet

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// startProgram starts a shell script as the program of a process, which is killed at the
// end of the test.
func startProgram(t *testing.T, script string) (p *Process, program string) {
	t.Helper()
	folder := t.TempDir()
	program = filepath.Join(folder, "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\n"+script+"\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	p, err := NewProcess(program, folder, "host-0", "127.0.0.1", "zone-a", "", "", true, timing{stopTimeout: time.Second, restartDelay: 10 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	return p, program
}

// awaitTrue waits until the condition holds.
func awaitTrue(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s did not happen within 10 s", what)
		}
	}
}

// Guards against a soak that goes on with fewer processes and reports no problem.
func TestFailedRestartIsReported(t *testing.T) {
	p, program := startProgram(t, "exec sleep 60")
	if err := os.Remove(program); err != nil {
		t.Fatal(err)
	}
	p.Signal(syscall.SIGKILL)
	awaitTrue(t, "report of a restart without a program", func() bool { return p.Err() != nil })
	if ends := p.OwnEnds(); len(ends) != 0 {
		t.Errorf("a process that was killed is reported as ended by itself: %q", ends)
	}
}

// Guards against a soak that starts a crashed process again and reports no problem.
func TestOwnEndIsReported(t *testing.T) {
	for _, script := range []string{"sleep 0.1; exit 2", "trap 'exit 3' TERM; kill -TERM $$; sleep 60", "echo event=started; kill -TERM $$; sleep 60"} {
		p, _ := startProgram(t, script)
		awaitTrue(t, "report of an end by itself: "+script, func() bool { return len(p.OwnEnds()) > 0 })
		_ = p.Stop()
	}
}

// Guards against a report of processes that a signal ended before they could handle it.
func TestEndBeforeStartIsNotReported(t *testing.T) {
	p, _ := startProgram(t, "kill -TERM $$; sleep 60")
	time.Sleep(200 * time.Millisecond)
	if ends := p.OwnEnds(); len(ends) != 0 {
		t.Errorf("a process that SIGTERM ended before it had started is reported: %q", ends)
	}
	_ = p.Stop()
}
