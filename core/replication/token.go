package replication

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// ErrBadToken is wrapped by the errors of ParseToken.
var ErrBadToken = errors.New("malformed session token")

// emptyToken is the text form of the zero Token.
const emptyToken = "none"

// Token is what a session presents to read its own writes on any host. The zero
// Token means that the session has written nothing.
type Token struct {
	// Database names the group that Position belongs to.
	Database string
	// Position covers every write of the session.
	Position group.Position
}

// None reports whether the session has written nothing.
func (t Token) None() bool { return t == Token{} }

// String formats the token as database/term:offset, or as "none" for the zero
// Token.
func (t Token) String() string {
	if t.None() {
		return emptyToken
	}
	return t.Database + "/" + t.Position.String()
}

// ParseToken parses the form that String writes. The database name ends at the
// last slash, because names may contain slashes. The error wraps ErrBadToken.
func ParseToken(s string) (Token, error) {
	if s == emptyToken {
		return Token{}, nil
	}
	slash := strings.LastIndexByte(s, '/')
	if slash <= 0 {
		return Token{}, badToken(s)
	}
	term, offset, ok := strings.Cut(s[slash+1:], ":")
	if !ok {
		return Token{}, badToken(s)
	}
	t, err := parseNumber(term)
	if err != nil || t == 0 {
		return Token{}, badToken(s)
	}
	o, err := parseNumber(offset)
	if err != nil {
		return Token{}, badToken(s)
	}
	p := group.Position{Term: group.Term(t), Offset: o}
	return Token{Database: s[:slash], Position: p}, nil
}

// parseNumber parses a decimal number. It accepts only the canonical form, so
// that equal tokens are equal strings.
func parseNumber(s string) (uint64, error) {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, err
	}
	if strconv.FormatUint(n, 10) != s {
		return 0, strconv.ErrSyntax
	}
	return n, nil
}

func badToken(s string) error {
	return fmt.Errorf("%w: %q is neither database/term:offset nor none", ErrBadToken, s)
}
