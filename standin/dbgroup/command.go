package dbgroup

import (
	"regexp"
	"strings"

	"github.com/gypsumgap/gypsumgap/standin/dbgroup/internal/sqlite"
)

// kind is the kind of a statement, which determines who runs it. The embedded
// database parses SQL. Only statements that it lacks, or that affect the session,
// are recognised here, by their first words.
type kind int

const (
	kindSQL kind = iota
	kindEmpty
	kindBegin
	kindCommit
	kindRollback
	kindSavepoint
	kindRelease
	kindRollbackTo
	kindSet
	kindReset
	kindShow
	kindDiscard
	kindDeallocate
	kindSleep
)

// command is a classified statement.
type command struct {
	kind kind
	sql  string
	// words holds up to leadingWords words at the start, in lower case.
	words []string
	// name is the name of a savepoint, setting or prepared statement. value is the
	// value of a setting or the duration of a sleep in seconds.
	name, value string
}

// leadingWords is the number of words that are enough to classify a statement.
const leadingWords = 8

var (
	setPattern   = regexp.MustCompile(`(?is)^set\s+(?:session\s+|local\s+)?([a-z_][a-z0-9_.]*)\s*(?:=|\s+to\s+)\s*(.*)$`)
	sleepPattern = regexp.MustCompile(`(?i)^select\s+pg_sleep\(\s*([0-9.]+)\s*\)$`)
	namePattern  = regexp.MustCompile(`(?i)([a-z_][a-z0-9_.$]*|"[^"]*")\s*$`)
)

// classify recognises the kind of a statement by its first words.
func classify(sql string) command {
	bare := strings.TrimRight(skipComments(sql), "; \t\r\n")
	c := command{sql: sql, words: lowerWords(bare)}
	if len(c.words) == 0 {
		c.kind = kindEmpty
		return c
	}
	switch c.words[0] {
	case "begin", "start":
		c.kind = kindBegin
	case "commit", "end":
		c.kind = kindCommit
	case "rollback", "abort":
		c.kind = kindRollback
		if c.hasWord("to") {
			c.kind, c.name = kindRollbackTo, lastName(bare)
		}
	case "savepoint":
		c.kind, c.name = kindSavepoint, lastName(bare)
	case "release":
		c.kind, c.name = kindRelease, lastName(bare)
	case "set":
		c.kind = kindSet
		if m := setPattern.FindStringSubmatch(bare); m != nil {
			c.name, c.value = strings.ToLower(m[1]), unquote(m[2])
		}
	case "reset":
		c.kind, c.name = kindReset, lastName(bare)
	case "show":
		c.kind, c.name = kindShow, lastName(bare)
	case "discard":
		c.kind = kindDiscard
	case "deallocate":
		c.kind, c.name = kindDeallocate, lastName(bare)
	case "select":
		if m := sleepPattern.FindStringSubmatch(bare); m != nil {
			c.kind, c.value = kindSleep, m[1]
		}
	}
	return c
}

func (c command) hasWord(word string) bool {
	for _, w := range c.words {
		if w == word {
			return true
		}
	}
	return false
}

// skipComments removes white space, semicolons and comments at the start.
func skipComments(sql string) string {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n;")
		switch {
		case strings.HasPrefix(sql, "--"):
			_, sql, _ = strings.Cut(sql, "\n")
		case strings.HasPrefix(sql, "/*"):
			_, sql, _ = strings.Cut(sql, "*/")
		default:
			return sql
		}
	}
}

// lowerWords returns the first words of a statement in lower case, without
// separators at their ends.
func lowerWords(sql string) []string {
	head := sql[:min(len(sql), 128)]
	words := strings.Fields(strings.ToLower(head))
	words = words[:min(len(words), leadingWords)]
	for i := range words {
		words[i] = strings.Trim(words[i], ",;")
	}
	return words
}

// lastName returns the identifier at the end of a statement, in lower case and
// without quotes.
func lastName(sql string) string {
	name := namePattern.FindString(sql)
	return unquote(strings.TrimSpace(strings.ToLower(name)))
}

// unquote removes the quotes of a literal or an identifier.
func unquote(s string) string {
	s = strings.TrimSpace(s)
	if len(s) >= 2 && s[0] == '\'' && s[len(s)-1] == '\'' {
		return strings.ReplaceAll(s[1:len(s)-1], "''", "'")
	}
	return strings.Trim(s, `"`)
}

// splitScript splits a simple query into statements. The tokenizer of the embedded
// database decides which semicolons end a statement.
func splitScript(script string) []string {
	if end := strings.IndexByte(script, ';'); end < 0 || skipComments(script[end:]) == "" {
		return []string{script}
	}
	var statements []string
	start := 0
	for i := range len(script) {
		if script[i] == ';' && sqlite.Complete(script[start:i+1]) {
			statements = appendStatement(statements, script[start:i+1])
			start = i + 1
		}
	}
	return appendStatement(statements, script[start:])
}

func appendStatement(statements []string, sql string) []string {
	if skipComments(sql) == "" {
		return statements
	}
	return append(statements, sql)
}

// commandTagVerb returns the command tag without its count.
func (c command) commandTagVerb(readOnly bool) string {
	switch c.words[0] {
	case "insert", "replace":
		return "INSERT 0"
	case "update":
		return "UPDATE"
	case "delete":
		return "DELETE"
	case "create", "drop", "alter":
		return strings.ToUpper(strings.Join(c.words[:min(len(c.words), 2)], " "))
	case "with", "select", "values", "pragma", "explain":
		if readOnly {
			return "SELECT"
		}
		return "INSERT 0"
	default:
		return strings.ToUpper(c.words[0])
	}
}

// countsRows reports whether the command tag with the verb ends in a row count.
func countsRows(verb string) bool {
	switch verb {
	case "INSERT 0", "UPDATE", "DELETE", "SELECT":
		return true
	}
	return false
}
