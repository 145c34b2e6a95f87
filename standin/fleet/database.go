package fleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/statement/statementtest"
)

// serverTimeout limits dialing a backend server and each exchange with it.
const serverTimeout = 5 * time.Second

// wireCodes maps statement codes to their names in the line protocol.
var wireCodes = map[statement.Code]string{
	statement.Busy: "BUSY", statement.Aborted: "ABORTED", statement.Lagging: "LAGGING", statement.ReadOnly: "READONLY",
	statement.WrongServer: "WRONGNODE", statement.TooManyConnections: "TOOMANY", statement.InDoubt: "INDOUBT",
	statement.Timeout: "TIMEOUT", statement.Failed: "FAILED", statement.MalformedStatement: "MALFORMED",
	statement.UnknownName: "UNKNOWN", statement.NoDatabase: "NODATABASE",
}

// wireStates holds the session states as they appear in READY messages, indexed by
// the state.
var wireStates = [...]string{"I", "T", "E"}

// ServeDatabase serves the line protocol on behalf of the backend server id of the
// service until the listener is closed.
func ServeDatabase(ln net.Listener, s *statementtest.Service, id string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			_ = serveConnection(c, s, id)
		}()
	}
}

func serveConnection(c net.Conn, s *statementtest.Service, id string) error {
	reader := bufio.NewReader(c)
	start, err := readLine(reader)
	if err != nil {
		return err
	}
	fields := strings.Fields(start)
	if len(fields) < 4 || fields[0] != "START" || fields[1] != s.Name || fields[3] != id {
		_, err := io.WriteString(c, "ERROR WRONGNODE "+id+"\r\n")
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), serverTimeout)
	defer cancel()
	conn, err := statementtest.Backends{s}.Dial(ctx, catalog.Server{ID: id, Service: s.Name})
	var refused *statement.RefusedError
	if errors.As(err, &refused) {
		_, err := fmt.Fprintf(c, "ERROR %s -\r\n", wireCodes[refused.Code])
		return err
	}
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := io.WriteString(c, "READY I -\r\n"); err != nil {
		return err
	}
	for {
		line, err := readLine(reader)
		if err != nil {
			return err
		}
		answers, _, err := conn.Exchange(time.Now().Add(serverTimeout), parseQuery(line))
		if err != nil {
			return err
		}
		if _, err := io.WriteString(c, formatAnswer(answers[0])); err != nil {
			return err
		}
	}
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), nil
}

// parseQuery parses a message that a host sends to a backend server.
func parseQuery(line string) statement.Statement {
	rest, _ := strings.CutPrefix(line, "QUERY ")
	id, text, _ := strings.Cut(rest, " ")
	st := statement.Statement{ID: id, Text: text}
	if id == "-" {
		st.ID = ""
	}
	if after, found := strings.CutPrefix(text, "AFTER "); found {
		position, statementText, _ := strings.Cut(after, " ")
		st.MinPosition, st.Text = parsePosition(position), statementText
	}
	word, arguments, _ := strings.Cut(st.Text, " ")
	name, value, _ := strings.Cut(arguments, " ")
	switch word {
	case "BEGIN":
		st.Kind = statement.Begin
		if arguments == "READ" {
			st.Kind = statement.BeginRead
		}
	case "SET":
		st.Kind, st.Name, st.Value = statement.Set, name, value
	case "PREPARE":
		mode, shape, _ := strings.Cut(value, " ")
		st.Kind, st.Name, st.Value, st.Writes = statement.Prepare, name, shape, mode == "WRITE"
	case "EXECUTE":
		st.Kind, st.Name, st.Arguments = statement.Execute, name, value
	case "PAUSE", "DEMOTE":
		term, _ := strconv.ParseUint(arguments, 10, 64)
		st.Kind, st.Term = statement.Pause, group.Term(term)
		if word == "DEMOTE" {
			st.Kind = statement.Demote
		}
	default:
		st.Kind = kindsByCommand[word]
	}
	return st
}

// kindsByCommand holds the kinds of the commands that need no further parsing.
var kindsByCommand = map[string]statement.Kind{
	"COMMIT": statement.Commit, "ROLLBACK": statement.Rollback, "READ": statement.Read, "WRITE": statement.Write,
	"STATUS": statement.Status, "RESET": statement.Reset, "RESUME": statement.Resume, "DEALLOCATE": statement.Deallocate,
}

func parsePosition(text string) group.Position {
	term, number, _ := strings.Cut(text, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	return group.Position{Term: group.Term(t), Offset: n}
}

func formatAnswer(a statement.Answer) string {
	var out strings.Builder
	position := fmt.Sprintf("%d.%d", a.Position.Term, a.Position.Offset)
	for _, row := range a.Rows {
		if strings.HasPrefix(row, "primary ") || strings.HasPrefix(row, "replica ") {
			// The row of statementtest holds the role, the term and the term of a pause.
			f := strings.Fields(row)
			row = fmt.Sprintf("%s %s %s %s 0 0 0", f[0], f[1], position, f[2])
		}
		out.WriteString("ROW " + row + "\r\n")
	}
	switch {
	case a.Code != statement.OK:
		out.WriteString("ERROR " + wireCodes[a.Code] + " -\r\n")
	case a.Signature == "":
		out.WriteString("DONE -\r\n")
	default:
		out.WriteString("DONE " + a.Signature + "\r\n")
	}
	out.WriteString("READY " + wireStates[a.State] + " " + position + "\r\n")
	return out.String()
}
