package fleet

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/gypsumgap/gypsumgap/core/statement"
)

// callerDialTimeout limits connecting and starting a session, callerAnswerTimeout
// waiting for the answer to a statement.
const (
	callerDialTimeout   = 2 * time.Second
	callerAnswerTimeout = 8 * time.Second
)

// Caller is a client of the line protocol that the hosts serve. It implements
// statementtest.Caller.
type Caller struct {
	// Database is the database of the sessions.
	Database string
	// PickHost returns the host for the next session.
	PickHost func() *Process

	// host is the host of the last session.
	host   *Process
	conn   net.Conn
	reader *bufio.Reader
}

// Do sends a statement and waits for its answer. It starts a session if none is
// open, and closes the session on an error.
func (c *Caller) Do(st statement.Statement) (statement.Answer, error) {
	a, err := c.exchange(st)
	if err != nil {
		c.Close()
	}
	return a, err
}

// Close ends the session, if one is open.
func (c *Caller) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *Caller) exchange(st statement.Statement) (statement.Answer, error) {
	if c.conn == nil {
		if err := c.connect(); err != nil {
			return statement.Answer{}, err
		}
	}
	if err := c.conn.SetDeadline(time.Now().Add(callerAnswerTimeout)); err != nil {
		return statement.Answer{}, err
	}
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", st.ID, formatQuery(st)); err != nil {
		return statement.Answer{}, err
	}
	return c.readAnswer()
}

func (c *Caller) connect() error {
	c.host = c.PickHost()
	conn, err := net.DialTimeout("tcp", c.host.Address(), callerDialTimeout)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	if err := conn.SetDeadline(time.Now().Add(callerDialTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "START %s soak\r\n", c.Database); err != nil {
		return err
	}
	line, err := readLine(c.reader)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(line, "READY ") {
		return fmt.Errorf("session was refused: %s", line)
	}
	return nil
}

func (c *Caller) readAnswer() (statement.Answer, error) {
	var a statement.Answer
	for {
		line, err := readLine(c.reader)
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.Rows = append(a.Rows, rest)
		case "DONE":
			a.Signature = rest
		case "ERROR":
			if a.Code, err = parseCode(rest); err != nil {
				return a, err
			}
		case "READY":
			return a, nil
		default:
			return a, fmt.Errorf("unexpected message %q", line)
		}
	}
}

func parseCode(rest string) (statement.Code, error) {
	word, _, _ := strings.Cut(rest, " ")
	for code, w := range wireCodes {
		if w == word {
			return code, nil
		}
	}
	return statement.Failed, fmt.Errorf("unknown code %q", word)
}

func formatQuery(st statement.Statement) string {
	switch st.Kind {
	case statement.Begin:
		return "BEGIN"
	case statement.Commit:
		return "COMMIT"
	case statement.Rollback:
		return "ROLLBACK"
	case statement.Set:
		return "SET " + st.Name + " " + st.Value
	case statement.Prepare:
		return "PREPARE " + st.Name + " READ " + st.Value
	case statement.Execute:
		return "EXECUTE " + st.Name + " " + st.Arguments
	default:
		return st.Text
	}
}
