package route

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// FormatToken returns the session token of a position in a database's log.
func FormatToken(database string, p group.Position) string {
	b := make([]byte, 0, len(database)+42)
	b = append(b, database...)
	b = append(b, '/')
	b = strconv.AppendUint(b, uint64(p.Term), 10)
	b = append(b, ':')
	b = strconv.AppendUint(b, p.Offset, 10)
	return string(b)
}

// ParseToken returns the position that a session token names. TokenNone is the
// zero position; known is false for the empty token. It fails if the token is
// malformed or of another database.
func ParseToken(token, database string) (p group.Position, known bool, err error) {
	switch token {
	case "":
		return group.Position{}, false, nil
	case TokenNone:
		return group.Position{}, true, nil
	}
	// Database names may contain slashes, positions do not.
	slash := strings.LastIndexByte(token, '/')
	if slash < 0 {
		return p, false, fmt.Errorf("session token %q: expected database/term:offset", token)
	}
	if token[:slash] != database {
		return p, false, fmt.Errorf("session token %q is of database %q, not %q", token, token[:slash], database)
	}
	term, offset, ok := strings.Cut(token[slash+1:], ":")
	if !ok {
		return p, false, fmt.Errorf("session token %q: expected database/term:offset", token)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return p, false, fmt.Errorf("session token %q: term: %w", token, err)
	}
	o, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return p, false, fmt.Errorf("session token %q: offset: %w", token, err)
	}
	return group.Position{Term: group.Term(t), Offset: o}, true, nil
}
