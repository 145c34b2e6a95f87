package backend

import (
	"maps"
	"slices"
	"time"

	"github.com/gypsumgap/gypsumgap/core/statement"
)

// Callers share connections, so a connection is brought into the session of a caller
// before it runs the caller's statement. What a connection has of a session is known
// from answers only: a statement that was sent may have been refused, for example in a
// transaction whose server has lost the primary's role.

// maxPrepared is the maximum number of prepared statements on one connection.
const maxPrepared = 200

// Session is what a statement requires of the session of its connection.
type Session struct {
	// Values holds the session values of the caller by name.
	Values map[string]string
	// Prepare is the statement that must be prepared; nil if there is none.
	Prepare *statement.Statement
}

// serverSession is the session of a connection as far as the server's answers show it.
// The zero value is that of a new connection.
type serverSession struct {
	values   map[string]string
	prepared map[string]bool
	// uncertain is true after a refused change until the session was reset: a refusal
	// need not mean that the server did nothing.
	uncertain bool
	// state is the transaction state that the last answer reported.
	state statement.State
}

// changes returns the statements that lead to the wanted session.
func (s *serverSession) changes(want Session) []statement.Statement {
	var out []statement.Statement
	values, prepared := s.values, s.prepared
	if s.needsReset(want.Values) {
		out = append(out, statement.Statement{Kind: statement.Reset})
		values, prepared = nil, nil
	}
	for _, name := range slices.Sorted(maps.Keys(want.Values)) {
		value := want.Values[name]
		if old, set := values[name]; set && old == value {
			continue
		}
		out = append(out, statement.Statement{Kind: statement.Set, Name: name, Value: value})
	}
	if want.Prepare != nil && !prepared[want.Prepare.Name] {
		out = append(out, *want.Prepare)
	}
	return out
}

// needsReset reports whether the session has something that the wanted values do not
// replace.
func (s *serverSession) needsReset(want map[string]string) bool {
	if s.uncertain || len(s.prepared) >= maxPrepared {
		return true
	}
	for name := range s.values {
		if _, wanted := want[name]; !wanted {
			return true
		}
	}
	return false
}

// record applies what the answers to the first of the statements show.
func (s *serverSession) record(statements []statement.Statement, answers []statement.Answer) {
	for i, a := range answers {
		s.state = a.State
		switch st := statements[i]; {
		case !changesSession(st):
		case a.Code != statement.OK:
			s.uncertain = true
		default:
			s.apply(st)
		}
	}
}

func changesSession(st statement.Statement) bool {
	return st.Kind == statement.Reset || st.Kind == statement.Set || st.Kind == statement.Prepare
}

// apply records a change that the server has made.
func (s *serverSession) apply(st statement.Statement) {
	switch st.Kind {
	case statement.Reset:
		*s = serverSession{state: s.state}
	case statement.Set:
		if s.values == nil {
			s.values = map[string]string{}
		}
		s.values[st.Name] = st.Value
	case statement.Prepare:
		if s.prepared == nil {
			s.prepared = map[string]bool{}
		}
		s.prepared[st.Name] = true
	}
}

// exchangeInSession brings the session of the connection into the wanted one and then
// sends the requests. If the server refuses that, it sends none of the requests and
// returns the refusal as the answer to each of them.
func (c *Conn) exchangeInSession(deadline time.Time, asPrimary bool, want Session, requests []statement.Statement) ([]statement.Answer, bool, error) {
	changes := c.session.changes(want)
	if len(changes) > 0 && onlyBegins(requests) {
		return c.exchangeTogether(deadline, changes, requests)
	}
	if len(changes) > 0 {
		answers, _, err := c.send(deadline, changes...)
		if err != nil {
			return nil, false, err
		}
		if refused := c.refusedChange(changes, answers); refused != nil {
			return slices.Repeat([]statement.Answer{*refused}, len(requests)), false, nil
		}
		if asPrimary {
			// The lease may have ended since the changes were sent.
			if err := c.pool.group.checkUse(c.pool); err != nil {
				return nil, false, err
			}
		}
	}
	return c.send(deadline, requests...)
}

// onlyBegins reports whether the requests only begin a transaction. These can be sent
// together with the changes of the session, since they read and write nothing.
func onlyBegins(requests []statement.Statement) bool {
	return len(requests) == 1 && (requests[0].Kind == statement.Begin || requests[0].Kind == statement.BeginRead)
}

// exchangeTogether sends the changes of the session and the requests in one batch.
func (c *Conn) exchangeTogether(deadline time.Time, changes, requests []statement.Statement) ([]statement.Answer, bool, error) {
	answers, mayRun, err := c.send(deadline, slices.Concat(changes, requests)...)
	if err != nil {
		return nil, mayRun, err
	}
	if refused := c.refusedChange(changes, answers); refused != nil {
		return slices.Repeat([]statement.Answer{*refused}, len(requests)), mayRun, nil
	}
	return answers[len(changes):], mayRun, nil
}

// refusedChange returns the answer to a request whose session could not be set up, or
// nil if the server accepted all changes. Its code guarantees that the request was not
// executed.
func (c *Conn) refusedChange(changes []statement.Statement, answers []statement.Answer) *statement.Answer {
	i := slices.IndexFunc(answers[:len(changes)], func(a statement.Answer) bool { return a.Code != statement.OK })
	if i < 0 {
		return nil
	}
	refused := answers[i]
	c.pool.group.options.Recorder.SessionChangeRefused(c.pool.group.name, c.pool.Server().ID, refused.Code)
	code := statement.Busy
	if refused.Code == statement.ReadOnly {
		code = statement.ReadOnly
	}
	return &statement.Answer{Code: code, Detail: "server refused the session of the caller: " + refused.Code.String(), State: c.session.state, Position: refused.Position}
}
