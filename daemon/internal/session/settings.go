package session

import (
	"encoding/json"
	"fmt"
	"net/url"
	"regexp"
	"strings"
	"time"
)

// The settings that the session answers itself.
const (
	settingPrefix     = "gypsumgap."
	settingClass      = "class"
	settingToken      = "session_token"
	settingRequestKey = "request_key"
	settingForward    = "forward"
	tokenParameter    = settingPrefix + settingToken
)

// Only whole statements of these forms are recognised. Any other SQL is passed
// on as it is.
var (
	setPattern = regexp.MustCompile(`(?is)^\s*SET\s+gypsumgap\.(class|session_token|request_key|forward)\s*(?:=|\sTO\s)\s*'((?:[^']|'')*)'\s*;?\s*$`)
	// The transaction patterns allow a comment behind the statement, where
	// sqlcommenter puts its fields.
	beginPattern    = regexp.MustCompile(`(?is)^\s*(?:BEGIN(?:\s+WORK|\s+TRANSACTION)?|START\s+TRANSACTION)(\s+[^;'"]*)?\s*;?\s*$`)
	readOnlyPattern = regexp.MustCompile(`(?is)\bREAD\s+ONLY\b`)
	commitPattern   = regexp.MustCompile(`(?is)^\s*(?:COMMIT|END)(?:\s+WORK|\s+TRANSACTION)?\s*;?\s*$`)
	endPattern      = regexp.MustCompile(`(?is)^\s*(?:COMMIT|END|ROLLBACK|ABORT)(?:\s+WORK|\s+TRANSACTION)?\s*;?\s*$`)
	// A unit without any of these words cannot end a transaction block; one
	// that has them somewhere is taken as one that may.
	mayEndPattern = regexp.MustCompile(`(?i)commit|end|prepare`)
)

// maxSetBytes bounds the length of a statement that is matched as a setting.
const maxSetBytes = 16 << 10

// sessionWords occur in the text of reads that leave state behind on their
// connection: parameters, advisory locks and temporary tables.
var stateKeywords = []string{"set_config", "advisory", "temp"}

// mayLeaveState reports whether a statement contains one of sessionWords. It is
// not parsed; a word in another role costs one needless reset.
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

// parseSetting recognises a SET of one of the session's own settings.
// It returns nil for any other statement.
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

// hasKeyword spares most statements a regular expression.
func hasKeyword(sql, keyword string) bool {
	sql = strings.TrimLeft(sql, " \t\r\n\v\f")
	return len(sql) >= len(keyword) && strings.EqualFold(sql[:len(keyword)], keyword)
}

// quoteLiteral writes an SQL string literal.
func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// comment holds the fields of a sqlcommenter comment that concern the proxy.
type sqlComment struct {
	class string
	key   string
}

// splitComment separates a comment at the start or end of the statement.
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

// parseComment reads a sqlcommenter comment, whose values are URL-encoded.
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

// isBegin reports a statement that only begins a transaction block, and whether
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

// isCommit reports a statement that only commits.
func isCommit(sql string) bool {
	body, _ := splitComment(sql)
	return len(body) <= maxSetBytes && commitPattern.MatchString(body)
}

// isEnd reports a statement that only commits or rolls back.
func isEnd(sql string) bool {
	body, _ := splitComment(sql)
	return len(body) <= maxSetBytes && endPattern.MatchString(body)
}

// forward is what an entry host tells an owner about the next transaction. It
// travels as JSON in the forward setting.
type forward struct {
	User  string `json:"user"`
	Class string `json:"class,omitempty"`
	Token string `json:"token,omitempty"`
	Key   string `json:"key,omitempty"`
	// DeadlineMS is the time left in milliseconds; clocks of hosts differ.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	Hops       int   `json:"hops"`
	// Parameters are the caller's run-time parameters.
	Parameters map[string]string `json:"parameters,omitempty"`
}

// statement formats the setting that carries f.
func (f forward) statement() (string, error) {
	b, err := json.Marshal(f)
	if err != nil {
		return "", err
	}
	return "SET " + settingPrefix + settingForward + " = " + quoteLiteral(string(b)), nil
}

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

// deadline returns when the forwarded request's answer is no longer of use.
func (f *forward) deadline(arrived time.Time) time.Time {
	if f.DeadlineMS <= 0 {
		return time.Time{}
	}
	return arrived.Add(time.Duration(f.DeadlineMS) * time.Millisecond)
}
