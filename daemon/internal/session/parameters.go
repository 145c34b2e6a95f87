package session

import (
	"regexp"
	"slices"
	"strings"
)

// SetParameterSQL sets a run-time parameter of a server connection. It goes
// through the extended protocol with two text parameters.
const SetParameterSQL = "SELECT set_config($1, $2, false)"

var parameterName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*(\.[A-Za-z_][A-Za-z0-9_]*)?$`)

// fixedParameters cannot be chosen by a caller: they concern the connection
// rather than a statement, or would change what the pooled user may do.
var fixedParameters = []string{
	"client_encoding", "options", "replication", "role", "session_authorization", "is_superuser", "server_version",
	"server_encoding", "integer_datetimes", "extra_float_digits",
}

// settable reports whether a caller may choose the run-time parameter.
func isSettable(name string) bool {
	return len(name) <= 63 && parameterName.MatchString(name) &&
		!strings.HasPrefix(strings.ToLower(name), settingPrefix) &&
		!slices.Contains(fixedParameters, strings.ToLower(name))
}

// applyParameters gives a server connection the run-time parameters of the
// caller's startup packet and takes back those of another caller. An owner does
// so for a forwarded transaction.
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
