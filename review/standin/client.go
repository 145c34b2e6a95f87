package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	startTimeout  = 2 * time.Second
	answerTimeout = 8 * time.Second
)

// session is a client's session with a host.
type session struct {
	name   string
	conn   net.Conn
	reader *bufio.Reader
	record *record
}

// answer is the answer to a statement.
type answer struct {
	rows      []string
	signature string
	code      string // empty for a success
	detail    string
	state     string
}

// openSession connects to a host and starts a session.
func openSession(name, address, database string, r *record) (*session, error) {
	conn, err := net.DialTimeout("tcp", address, startTimeout)
	if err != nil {
		return nil, err
	}
	s := &session{name: name, conn: conn, reader: bufio.NewReader(conn), record: r}
	_ = conn.SetDeadline(time.Now().Add(startTimeout))
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", database, name); err != nil {
		s.close()
		return nil, err
	}
	line, err := s.readLine()
	if err != nil || !strings.HasPrefix(line, "READY ") {
		s.close()
		return nil, fmt.Errorf("session not started: %q %w", line, err)
	}
	return s, nil
}

func (s *session) close() { _ = s.conn.Close() }

func (s *session) readLine() (string, error) {
	line, err := s.reader.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// do sends a statement and waits for its answer.
func (s *session) do(id, text string) (answer, error) {
	s.record.add("%s sends %s %q", s.name, id, text)
	_ = s.conn.SetDeadline(time.Now().Add(answerTimeout))
	a, err := s.exchange(id, text)
	if err != nil {
		s.record.add("%s gets no answer to %s: %v", s.name, id, err)
		return a, err
	}
	s.record.add("%s is answered %s: code %q %s rows %v signature %q state %s", s.name, id, a.code, a.detail, a.rows, a.signature, a.state)
	return a, nil
}

func (s *session) exchange(id, text string) (answer, error) {
	var a answer
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return a, err
	}
	for {
		line, err := s.readLine()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.signature = rest
		case "ERROR":
			a.code, a.detail, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("unexpected message %q", line)
		}
	}
}
