package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that holds what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), started: time.Now()}, nil
}

// add writes a line with the time since the start in seconds and who saw it.
func (r *record) add(who, format string, args ...any) {
	at := time.Since(r.started).Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %-8s %s\n", at, who, fmt.Sprintf(format, args...))
}

// raw writes a line as it is.
func (r *record) raw(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.WriteString(line + "\n")
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add("result", format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
