package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// Times of the statements, as those of the requests `status-check` of the site
// paardvast-ops: 40 ms on average, 300 ms at most.
const (
	meanWork = 40 * time.Millisecond
	maxWork  = 300 * time.Millisecond
)

// database is the log that the databases of the service share: replication is immediate.
type database struct {
	service string
	mu      sync.Mutex
	commits uint64
	// runs holds what became of each statement of a client, by its ID.
	runs map[string]run
}

// run is a statement of a client that reached a database.
type run struct {
	server         string
	reached, ended time.Time
	// answered is true if the database has sent the answer.
	answered bool
}

func work() time.Duration {
	return min(time.Duration(rand.ExpFloat64()*float64(meanWork)), maxWork)
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

func (d *database) serve(ln net.Listener, id string, primary bool) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			d.session(c, id, primary)
		}()
	}
}

// session serves one connection of a host. A statement whose connection closes while it
// runs is broken off and rolled back.
func (d *database) session(c net.Conn, id string, primary bool) {
	reader := bufio.NewReader(c)
	start, err := readLine(reader)
	if f := strings.Fields(start); err != nil || len(f) < 4 || f[0] != "START" || f[1] != d.service || f[3] != id {
		_, _ = io.WriteString(c, "ERROR WRONGNODE "+id+"\r\n")
		return
	}
	state, wrote := "I", false
	if _, err := io.WriteString(c, "READY I "+d.position()+"\r\n"); err != nil {
		return
	}
	for {
		line, err := readLine(reader)
		if err != nil {
			return
		}
		rest, isQuery := strings.CutPrefix(line, "QUERY ")
		if !isQuery {
			return
		}
		request, text, _ := strings.Cut(rest, " ")
		if after, found := strings.CutPrefix(text, "AFTER "); found {
			_, text, _ = strings.Cut(after, " ")
		}
		word, _, _ := strings.Cut(text, " ")
		client := request != "-"
		if client {
			d.record(request, func(r *run) { *r = run{server: id, reached: time.Now()} })
		}
		answer := "DONE -"
		switch word {
		case "BEGIN":
			if text == "BEGIN" && !primary {
				answer = "ERROR READONLY " + id
			} else {
				state, wrote = "T", false
			}
		case "ROLLBACK":
			state = "I"
		case "READ", "WRITE", "COMMIT":
			if !worked(c, reader) {
				d.record(request, func(r *run) { r.ended = time.Now() })
				return
			}
			answer = d.execute(word, id, request, primary, &state, &wrote)
		case "STATUS":
			role := "replica"
			if primary {
				role = "primary"
			}
			answer = fmt.Sprintf("ROW %s 1 %s 0 0 0 1\r\nDONE -", role, d.position())
		}
		_, err = io.WriteString(c, answer+"\r\nREADY "+state+" "+d.position()+"\r\n")
		if client {
			d.record(request, func(r *run) { r.ended, r.answered = time.Now(), err == nil })
		}
		if err != nil {
			return
		}
	}
}

// worked waits for the duration of a statement, and reports whether the connection was
// open all the while.
func worked(c net.Conn, r *bufio.Reader) bool {
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	until := time.Now().Add(work())
	_ = c.SetReadDeadline(until)
	// The next statement may already lie in the buffer; it is not taken from it.
	_, err := r.Peek(r.Buffered() + 1)
	if err == nil {
		time.Sleep(time.Until(until))
		return true
	}
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func (d *database) execute(word, id, request string, primary bool, state *string, wrote *bool) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	signed := fmt.Sprintf("DONE %s.%s", id, request)
	switch {
	case word == "READ":
		return "ROW row-of-" + request + "\r\n" + signed
	case !primary:
		return "ERROR READONLY " + id
	case word == "WRITE" && *state == "T":
		*wrote = true
	case word == "WRITE", word == "COMMIT" && *wrote:
		d.commits++
		fallthrough
	case word == "COMMIT":
		*state, *wrote = "I", false
	}
	return signed
}

func (d *database) position() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf("1.%d", d.commits+1)
}

func (d *database) record(id string, change func(*run)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.runs[id]
	change(&r)
	d.runs[id] = r
}
