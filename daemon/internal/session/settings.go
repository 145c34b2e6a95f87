package session

import (
	"encoding/json"
	"fmt"
	"net/url"
	"regexp"
	"strings"
	"time"
)

// Names of the settings that the session handles itself.
const (
	settingPrefix     = "gypsumgap."
	settingClass      = "class"
	settingToken      = "session_token"
	settingRequestKey = "request_key"
	settingForward    = "forward"
	tokenParameter    = settingPrefix + settingToken
)

// Only complete statements of these forms are recognised. Any other SQL is sent to
// the server unchanged.
var (
	setPattern = regexp.MustCompile(`(?is)^\s*SET\s+gypsumgap\.(class|session_token|request_key|forward)\s*(?:=|\sTO\s)\s*'((?:[^']|'')*)'\s*;?\s*$`)
	// The begin, commit and end patterns apply after splitComment has removed the
	// sqlcommenter comment.
	beginPattern    = regexp.MustCompile(`(?is)^\s*(?:BEGIN(?:\s+WORK|\s+TRANSACTION)?|START\s+TRANSACTION)(\s+[^;'"]*)?\s*;?\s*$`)
	readOnlyPattern = regexp.MustCompile(`(?is)\bREAD\s+ONLY\b`)
	commitPattern   = regexp.MustCompile(`(?is)^\s*(?:COMMIT|END)(?:\s+WORK|\s+TRANSACTION)?\s*;?\s*$`)
	endPattern      = regexp.MustCompile(`(?is)^\s*(?:COMMIT|END|ROLLBACK|ABORT)(?:\s+WORK|\s+TRANSACTION)?\s*;?\s*$`)
	// A unit without any of these words cannot end a transaction block. A unit
	// that contains one of them anywhere is treated as if it could.
	mayEndPattern = regexp.MustCompile(`(?i)commit|end|prepare`)
)

// maxSetBytes is the largest statement that is matched against the patterns.
const maxSetBytes = 16 << 10

// stateKeywords occur in the text of reads that leave state on their connection:
// parameters, advisory locks and temporary tables.
var stateKeywords = []string{"set_config", "advisory", "temp"}

// mayLeaveState reports whether a statement contains one of stateKeywords. The
// statement is not parsed; a false match costs one unnecessary reset.
func mayLeaveState(sql string) bool {
	for i := 0; i < len(sql); i++ {
		switch sql[i] | 0x20 {
		case 's', 'a', 't':
		default:
			continue
		}
		for _, word := range stateKeywords {
			if len(sql)-i >= len(word) && strings.EqualFold(sql[i:i+len(word)], word) {
				return true
			}
		}
	}
	return false
}

// setting is a recognised SET statement.
type setting struct {
	name  string
	value string
}

// parseSetting parses a SET of one of the session's own settings. It returns nil for
// any other statement.
func parseSetting(sql string) *setting {
	if len(sql) > maxSetBytes || !hasKeyword(sql, "SET") {
		return nil
	}
	m := setPattern.FindStringSubmatch(sql)
	if m == nil {
		return nil
	}
	return &setting{name: strings.ToLower(m[1]), value: strings.ReplaceAll(m[2], "''", "'")}
}

// hasKeyword reports whether a statement begins with the keyword. It avoids matching
// most statements against a regular expression.
func hasKeyword(sql, keyword string) bool {
	sql = strings.TrimLeft(sql, " \t\r\n\v\f")
	return len(sql) >= len(keyword) && strings.EqualFold(sql[:len(keyword)], keyword)
}

// quoteLiteral returns s as an SQL string literal.
func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// sqlComment holds the fields of a sqlcommenter comment that the proxy uses.
type sqlComment struct {
	class string
	key   string
}

// splitComment separates a comment at the end, or else at the start, of a statement.
func splitComment(sql string) (body, text string) {
	trimmed := strings.TrimRight(sql, " \t\r\n;")
	if strings.HasSuffix(trimmed, "*/") {
		if i := strings.LastIndex(trimmed, "/*"); i >= 0 && i+4 <= len(trimmed) {
			return trimmed[:i], trimmed[i+2 : len(trimmed)-2]
		}
	}
	trimmed = strings.TrimLeft(sql, " \t\r\n")
	if strings.HasPrefix(trimmed, "/*") {
		if i := strings.Index(trimmed, "*/"); i >= 2 {
			return trimmed[i+2:], trimmed[2:i]
		}
	}
	return sql, ""
}

// parseComment parses a sqlcommenter comment, whose values are URL-encoded. Fields
// that cannot be parsed are ignored.
func parseComment(sql string) sqlComment {
	_, text := splitComment(sql)
	var c sqlComment
	if !strings.Contains(text, "class") && !strings.Contains(text, settingRequestKey) {
		return c
	}
	for _, field := range strings.Split(text, ",") {
		name, quoted, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || len(quoted) < 2 || quoted[0] != '\'' || quoted[len(quoted)-1] != '\'' {
			continue
		}
		value, err := url.PathUnescape(quoted[1 : len(quoted)-1])
		if err != nil {
			continue
		}
		switch name {
		case settingClass:
			c.class = value
		case settingRequestKey:
			c.key = value
		}
	}
	return c
}

// isBegin reports whether a statement only begins a transaction block, and whether
// the transaction is read-only.
func isBegin(sql string) (begin, readOnly bool) {
	body, _ := splitComment(sql)
	if len(body) > maxSetBytes || !hasKeyword(body, "BEGIN") && !hasKeyword(body, "START") {
		return false, false
	}
	m := beginPattern.FindStringSubmatch(body)
	if m == nil {
		return false, false
	}
	return true, readOnlyPattern.MatchString(m[1])
}

// isCommit reports whether a statement only commits.
func isCommit(sql string) bool {
	body, _ := splitComment(sql)
	return len(body) <= maxSetBytes && commitPattern.MatchString(body)
}

// isEnd reports whether a statement only commits or rolls back.
func isEnd(sql string) bool {
	body, _ := splitComment(sql)
	return len(body) <= maxSetBytes && endPattern.MatchString(body)
}

// forward describes the next transaction to an owner host. An entry host sends it as
// JSON in the forward setting.
type forward struct {
	User  string `json:"user"`
	Class string `json:"class,omitempty"`
	Token string `json:"token,omitempty"`
	Key   string `json:"key,omitempty"`
	// DeadlineMS is the remaining time in milliseconds. It is relative because
	// the clocks of hosts differ.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Hops is the number of hosts that have forwarded the request.
	Hops int `json:"hops"`
	// Parameters are the run-time parameters of the caller's startup packet.
	Parameters map[string]string `json:"parameters,omitempty"`
}

// statement returns the SET statement that carries f.
func (f forward) statement() (string, error) {
	b, err := json.Marshal(f)
	if err != nil {
		return "", err
	}
	return "SET " + settingPrefix + settingForward + " = " + quoteLiteral(string(b)), nil
}

// parseForward parses the value of the forward setting. It fails if a run-time
// parameter is not one that a caller may set.
func parseForward(text string) (*forward, error) {
	f := &forward{}
	if err := json.Unmarshal([]byte(text), f); err != nil {
		return nil, err
	}
	for name := range f.Parameters {
		if !isSettable(name) {
			return nil, fmt.Errorf("run-time parameter %q cannot be set", name)
		}
	}
	return f, nil
}

// deadline returns the deadline of the forwarded request, or the zero time if it
// has none.
func (f *forward) deadline(arrived time.Time) time.Time {
	if f.DeadlineMS <= 0 {
		return time.Time{}
	}
	return arrived.Add(time.Duration(f.DeadlineMS) * time.Millisecond)
}
