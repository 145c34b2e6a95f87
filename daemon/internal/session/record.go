package session

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

// The types of messages that end the answer to one message of a unit.
const (
	typeParseComplete    = '1'
	typeBindComplete     = '2'
	typeCloseComplete    = '3'
	typeCommandComplete  = 'C'
	typeEmptyQuery       = 'I'
	typeNoData           = 'n'
	typePortalSuspended  = 's'
	typeRowDescription   = 'T'
	recordShapeSeparator = 0
)

// A recorded answer is the shape of the unit, a zero byte and the messages of
// the answer. The shape lists the kinds of the unit's messages without its
// Parses, and the answer lacks their ParseCompletes, because a repeat of the
// request may use a statement that it has prepared before.

// shape returns one letter for each message of the unit that counts.
func (u *unit) shape() []byte {
	var b []byte
	for i := range u.items {
		switch k := u.items[i].kind; k {
		case itemParse, itemSync, itemFlush:
		default:
			b = append(b, 'a'+byte(k))
		}
	}
	return b
}

// nextMessage splits the first encoded message off.
func nextMessage(b []byte) (message, rest []byte, ok bool) {
	if len(b) < messageHeaderBytes {
		return nil, nil, false
	}
	n := 1 + int(binary.BigEndian.Uint32(b[1:]))
	if n < messageHeaderBytes || n > len(b) {
		return nil, nil, false
	}
	return b[:n], b[n:], true
}

func encodeRecord(u *unit, answer []byte) []byte {
	record := append(u.shape(), recordShapeSeparator)
	for len(answer) > 0 {
		m, rest, ok := nextMessage(answer)
		if !ok {
			break
		}
		if m[0] != typeParseComplete {
			record = append(record, m...)
		}
		answer = rest
	}
	return record
}

// emitRecord writes a recorded answer for the unit. It reports false, and writes
// nothing, if the answer is to a unit of another shape.
func (s *session) writeRecordedAnswer(u *unit, record []byte) bool {
	shape, answer, ok := bytes.Cut(record, []byte{recordShapeSeparator})
	if !ok || !bytes.Equal(shape, u.shape()) {
		return false
	}
	for i := range u.items {
		it := &u.items[i]
		switch it.kind {
		case itemSync, itemFlush:
		case itemParse:
			s.out.append(&pgproto3.ParseComplete{})
		case itemQuery, itemCall:
			s.out.appendRaw(answer)
			return true
		default:
			answer = s.writeRecordedGroup(it.kind, answer)
		}
	}
	s.out.appendRaw(answer)
	return true
}

// emitGroup writes the recorded answer to one message and returns the rest.
func (s *session) writeRecordedGroup(kind itemKind, answer []byte) []byte {
	for len(answer) > 0 {
		m, rest, ok := nextMessage(answer)
		if !ok {
			return nil
		}
		s.out.appendRaw(m)
		answer = rest
		if endsGroup(kind, m[0]) {
			return answer
		}
	}
	return answer
}

func endsGroup(kind itemKind, messageType byte) bool {
	switch kind {
	case itemBind:
		return messageType == typeBindComplete
	case itemDescribeStatement, itemDescribePortal:
		return messageType == typeRowDescription || messageType == typeNoData
	case itemCloseStatement, itemClosePortal:
		return messageType == typeCloseComplete
	default:
		return messageType == typeCommandComplete || messageType == typeEmptyQuery || messageType == typePortalSuspended
	}
}
