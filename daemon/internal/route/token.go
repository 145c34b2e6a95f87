package route

import (
	"fmt"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/replication"
)

// FormatToken returns the session token of a position in a database's log.
func FormatToken(database string, p group.Position) string {
	return replication.Token{Database: database, Position: p}.String()
}

// ParseToken returns the position in a session token. TokenNone yields the zero
// position; known is false for an empty token. It fails if the token is
// malformed or belongs to another database.
func ParseToken(token, database string) (p group.Position, known bool, err error) {
	if token == "" {
		return group.Position{}, false, nil
	}
	t, err := replication.ParseToken(token)
	if err != nil {
		return group.Position{}, false, err
	}
	if !t.None() && t.Database != database {
		return group.Position{}, false, fmt.Errorf("session token %q is of database %q, not %q", token, t.Database, database)
	}
	return t.Position, true, nil
}
