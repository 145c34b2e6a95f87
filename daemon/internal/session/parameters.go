package session

import (
	"regexp"
	"slices"
	"strings"
)

// SetParameterSQL sets a run-time parameter of a server connection. It is sent by
// the extended protocol with the name and the value as text parameters.
const SetParameterSQL = "SELECT set_config($1, $2, false)"

// maxParameterNameBytes is the length of the longest identifier in PostgreSQL.
const maxParameterNameBytes = 63

var parameterName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*(\.[A-Za-z_][A-Za-z0-9_]*)?$`)

// fixedParameters cannot be set by a caller: they apply to the connection rather than
// to statements, or would change the privileges of the user of pooled connections.
var fixedParameters = []string{
	"client_encoding", "options", "replication", "role", "session_authorization", "is_superuser", "server_version",
	"server_encoding", "integer_datetimes", "extra_float_digits",
}

// isSettable reports whether a caller may set the run-time parameter.
func isSettable(name string) bool {
	return len(name) <= maxParameterNameBytes && parameterName.MatchString(name) &&
		!strings.HasPrefix(strings.ToLower(name), settingPrefix) &&
		!slices.Contains(fixedParameters, strings.ToLower(name))
}

// applyParameters sets the run-time parameters of the caller's startup packet on a
// server connection and resets those of another caller. For a forwarded transaction
// the owner does so.
func (s *session) applyParameters() error {
	current := s.conn.Settings()
	if s.forwarded || len(current) == 0 && len(s.startupParameters) == 0 {
		return nil
	}
	s.sendBuf = s.sendBuf[:0]
	for name := range current {
		if _, ok := s.startupParameters[name]; ok {
			continue
		}
		if err := s.appendExecute("RESET "+name, nil); err != nil {
			return err
		}
	}
	for name, value := range s.startupParameters {
		if now, ok := current[name]; ok && now == value {
			continue
		}
		if err := s.appendExecute(SetParameterSQL, []uint32{oidText, oidText}, []byte(name), []byte(value)); err != nil {
			return err
		}
	}
	if len(s.sendBuf) == 0 {
		return nil
	}
	if err := s.runBeforeUnit(); err != nil {
		return err
	}
	clear(current)
	for name, value := range s.startupParameters {
		current[name] = value
	}
	return nil
}
