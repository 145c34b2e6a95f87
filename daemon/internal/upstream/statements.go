package upstream

import (
	"container/list"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	statementPrefix    = "gg_"
	statementHashBytes = 12
)

// Statement is a prepared statement: its SQL text and parameter types.
type Statement struct {
	// Name is the name under which connections hold the statement.
	Name string
	// SQL is the text of the statement.
	SQL string
	// OIDs are the types of the parameters.
	OIDs []uint32
}

// NewStatement derives the server-side name from a hash of the SQL and the
// parameter types, so that sessions with the same statement share it.
func NewStatement(sql string, oids []uint32) *Statement {
	buf := make([]byte, 0, len(sql)+1+4*len(oids))
	buf = append(buf, sql...)
	buf = append(buf, 0)
	for _, oid := range oids {
		buf = binary.BigEndian.AppendUint32(buf, oid)
	}
	sum := sha256.Sum256(buf)
	return &Statement{
		Name: statementPrefix + hex.EncodeToString(sum[:statementHashBytes]),
		SQL:  sql,
		OIDs: append([]uint32(nil), oids...),
	}
}

// statementSet is the set of statement names that a connection holds, with
// least-recently-used eviction.
type statementSet struct {
	limit  int
	order  *list.List
	byName map[string]*list.Element
}

func newStatementSet(limit int) *statementSet {
	return &statementSet{limit: limit, order: list.New(), byName: map[string]*list.Element{}}
}

func (s *statementSet) touch(name string) bool {
	e, ok := s.byName[name]
	if ok {
		s.order.MoveToFront(e)
	}
	return ok
}

// add inserts a name and returns the name it evicted, empty if none.
func (s *statementSet) add(name string) (evicted string) {
	if s.touch(name) {
		return ""
	}
	if s.order.Len() >= s.limit {
		oldest := s.order.Back()
		evicted = oldest.Value.(string)
		s.remove(evicted)
	}
	s.byName[name] = s.order.PushFront(name)
	return evicted
}

// restore inserts a name without eviction, so that the set may exceed its limit
// until the next add.
func (s *statementSet) restore(name string) {
	if !s.touch(name) {
		s.byName[name] = s.order.PushFront(name)
	}
}

func (s *statementSet) remove(name string) {
	e, ok := s.byName[name]
	if !ok {
		return
	}
	s.order.Remove(e)
	delete(s.byName, name)
}

func (s *statementSet) clear() {
	s.order.Init()
	clear(s.byName)
}
