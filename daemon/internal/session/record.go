package session

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Types of the messages that end the answer to one message of a unit, and the byte
// that separates the shape of a recorded answer from its messages.
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

// A recorded answer consists of the shape of the unit, a zero byte and the messages
// of the answer. The shape lists the kinds of the unit's messages without Parse, and
// the answer contains no ParseComplete, because a repeat of the request may use a
// statement that was prepared before.

// shape returns one letter for each message of the unit except Parse, Sync and Flush.
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

// nextMessage returns the first encoded message and the rest. ok is false if b does
// not begin with a complete message.
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

// encodeRecord returns the recorded form of the answer to a unit.
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

// writeRecordedAnswer writes a recorded answer for the unit. It writes nothing and
// reports false if the answer was recorded for a unit of another shape.
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

// writeRecordedGroup writes the recorded answer to one message and returns the rest.
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

// endsGroup reports whether a message of the type ends the answer to a message of the
// kind.
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
