package dbgroup

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"

	"github.com/gypsumgap/gypsumgap/standin/dbgroup/internal/sqlite"
)

// Format codes of the wire protocol, and layouts of the text form of times.
const (
	textFormat   int16 = 0
	binaryFormat int16 = 1

	timestamptzLayout = "2006-01-02 15:04:05.999999-07:00"
	timestampLayout   = "2006-01-02 15:04:05.999999"
	dateLayout        = "2006-01-02"
)

// unknownOID stands for a type that cannot be determined before the statement
// runs. The pgx driver then derives the type from the Go value.
const unknownOID = 0

// typeOIDs maps type names in column declarations and parameter casts to type
// OIDs. Integers of the embedded database have 64 bits, so every integer type is
// int8.
var typeOIDs = map[string]uint32{
	"int": pgtype.Int8OID, "integer": pgtype.Int8OID, "bigint": pgtype.Int8OID, "int8": pgtype.Int8OID,
	"int4": pgtype.Int8OID, "int2": pgtype.Int8OID, "smallint": pgtype.Int8OID,
	"text": pgtype.TextOID, "varchar": pgtype.TextOID, "char": pgtype.TextOID, "character": pgtype.TextOID,
	"real": pgtype.Float8OID, "double": pgtype.Float8OID, "float": pgtype.Float8OID, "float8": pgtype.Float8OID,
	"bool": pgtype.BoolOID, "boolean": pgtype.BoolOID,
	"blob": pgtype.ByteaOID, "bytea": pgtype.ByteaOID,
	"numeric": pgtype.NumericOID, "decimal": pgtype.NumericOID,
	"timestamptz": pgtype.TimestamptzOID, "timestamp": pgtype.TimestampOID, "date": pgtype.DateOID,
	"uuid": pgtype.UUIDOID, "json": pgtype.JSONOID, "jsonb": pgtype.JSONBOID,
}

var firstWord = regexp.MustCompile(`^[a-z_0-9]+`)

// oidOfName returns the OID of a declared type such as "varchar(20)".
func oidOfName(name string) uint32 {
	name = strings.ToLower(strings.TrimSpace(name))
	if strings.HasPrefix(name, "timestamp with time zone") {
		return pgtype.TimestamptzOID
	}
	return typeOIDs[firstWord.FindString(name)]
}

// oidOfValue returns the OID for the storage class of an expression's value.
func oidOfValue(t sqlite.Type) uint32 {
	switch t {
	case sqlite.Integer:
		return pgtype.Int8OID
	case sqlite.Float:
		return pgtype.Float8OID
	case sqlite.Text:
		return pgtype.TextOID
	case sqlite.Blob:
		return pgtype.ByteaOID
	default:
		return unknownOID
	}
}

// typeSize returns the size in bytes for a RowDescription, -1 for a type of variable size.
func typeSize(oid uint32) int16 {
	switch oid {
	case pgtype.Int8OID, pgtype.Float8OID, pgtype.TimestamptzOID, pgtype.TimestampOID:
		return 8
	case pgtype.DateOID:
		return 4
	case pgtype.BoolOID:
		return 1
	case pgtype.UUIDOID:
		return 16
	default:
		return -1
	}
}

// codec converts values between the wire protocol and the embedded database.
type codec struct{ types *pgtype.Map }

func newCodec() *codec { return &codec{types: pgtype.NewMap()} }

// decode converts a parameter to a value for the embedded database. The result
// does not alias src. It fails with *sqlError.
func (c *codec) decode(oid uint32, format int16, src []byte) (any, error) {
	if src == nil {
		return nil, nil
	}
	if format == textFormat {
		return c.decodeText(oid, src)
	}
	return c.decodeBinary(oid, src)
}

func (c *codec) decodeText(oid uint32, src []byte) (any, error) {
	text := string(src)
	switch oid {
	case pgtype.Int8OID, pgtype.Int4OID, pgtype.Int2OID, pgtype.OIDOID:
		v, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
		return v, invalid(err, "integer", text)
	case pgtype.Float8OID, pgtype.Float4OID:
		v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		return v, invalid(err, "double precision", text)
	case pgtype.BoolOID:
		return parseBool(text)
	case pgtype.ByteaOID:
		return parseBytea(text)
	case pgtype.TimestamptzOID, pgtype.TimestampOID, pgtype.DateOID:
		return c.decodeOther(oid, textFormat, src)
	}
	return text, nil
}

func (c *codec) decodeBinary(oid uint32, src []byte) (any, error) {
	switch {
	case oid == pgtype.Int8OID && len(src) == 8:
		return int64(binary.BigEndian.Uint64(src)), nil
	case oid == pgtype.Int4OID && len(src) == 4:
		return int64(int32(binary.BigEndian.Uint32(src))), nil
	case oid == pgtype.Int2OID && len(src) == 2:
		return int64(int16(binary.BigEndian.Uint16(src))), nil
	case oid == pgtype.Float8OID && len(src) == 8:
		return math.Float64frombits(binary.BigEndian.Uint64(src)), nil
	case oid == pgtype.Float4OID && len(src) == 4:
		return float64(math.Float32frombits(binary.BigEndian.Uint32(src))), nil
	case oid == pgtype.BoolOID && len(src) == 1:
		return int64(src[0]), nil
	case oid == pgtype.TextOID, oid == pgtype.VarcharOID, oid == pgtype.JSONOID, oid == pgtype.BPCharOID:
		return string(src), nil
	case oid == pgtype.ByteaOID:
		return append([]byte{}, src...), nil
	case oid == unknownOID:
		return string(src), nil
	}
	return c.decodeOther(oid, binaryFormat, src)
}

// decodeOther decodes the remaining types with pgx's codecs. Times become text.
func (c *codec) decodeOther(oid uint32, format int16, src []byte) (any, error) {
	t, ok := c.types.TypeForOID(oid)
	if !ok {
		return nil, failf(codeFeatureNotSupported, "parameter type %d is not supported", oid)
	}
	v, err := t.Codec.DecodeDatabaseSQLValue(c.types, oid, format, src)
	if err != nil {
		return nil, invalid(err, t.Name, string(src))
	}
	switch v := v.(type) {
	case time.Time:
		return formatTime(oid, v), nil
	case bool:
		return boolToInt(v), nil
	case []byte:
		return string(v), nil
	default:
		return v, nil
	}
}

func formatTime(oid uint32, t time.Time) string {
	switch oid {
	case pgtype.DateOID:
		return t.Format(dateLayout)
	case pgtype.TimestampOID:
		return t.Format(timestampLayout)
	default:
		return t.UTC().Format(timestamptzLayout)
	}
}

// invalid returns nil if err is nil, and otherwise an error with SQLSTATE 22P02.
func invalid(err error, typeName, text string) error {
	if err == nil {
		return nil
	}
	return failf(codeInvalidText, "invalid input syntax for type %s: %q", typeName, text)
}

func parseBool(text string) (any, error) {
	switch strings.ToLower(strings.TrimSpace(text)) {
	case "t", "true", "1", "on", "yes", "y":
		return int64(1), nil
	case "f", "false", "0", "off", "no", "n":
		return int64(0), nil
	}
	return nil, invalid(strconv.ErrSyntax, "boolean", text)
}

func boolToInt(v bool) int64 {
	if v {
		return 1
	}
	return 0
}

func parseBytea(text string) (any, error) {
	digits, ok := strings.CutPrefix(text, `\x`)
	if !ok {
		return []byte(text), nil
	}
	v, err := hex.DecodeString(digits)
	return v, invalid(err, "bytea", text)
}

// encode appends a column of the current row to dst; the column must not be null.
// It fails with *sqlError.
func (c *codec) encode(dst []byte, stmt *sqlite.Stmt, col int, oid uint32, format int16) ([]byte, error) {
	kind := stmt.Type(col)
	switch {
	case oid == pgtype.BoolOID:
		return encodeBool(dst, stmt, col, kind, format)
	case kind == sqlite.Integer && (oid == pgtype.Int8OID || oid == unknownOID):
		return encodeInt(dst, stmt.Int64(col), format), nil
	case oid == pgtype.Float8OID, kind == sqlite.Float && oid == unknownOID:
		return encodeFloat(dst, stmt.Float64(col), format), nil
	case oid == pgtype.ByteaOID:
		return encodeBytea(dst, stmt.Bytes(col), kind, format)
	case format == textFormat && kind == sqlite.Blob:
		return appendHex(dst, stmt.Bytes(col)), nil
	case format == textFormat, oid == pgtype.TextOID, oid == pgtype.JSONOID, oid == unknownOID:
		return append(dst, stmt.Bytes(col)...), nil
	}
	return c.encodeOther(dst, string(stmt.Bytes(col)), oid)
}

func encodeInt(dst []byte, v int64, format int16) []byte {
	if format == binaryFormat {
		return binary.BigEndian.AppendUint64(dst, uint64(v))
	}
	return strconv.AppendInt(dst, v, 10)
}

func encodeFloat(dst []byte, v float64, format int16) []byte {
	if format == binaryFormat {
		return binary.BigEndian.AppendUint64(dst, math.Float64bits(v))
	}
	return strconv.AppendFloat(dst, v, 'g', -1, 64)
}

func encodeBool(dst []byte, stmt *sqlite.Stmt, col int, kind sqlite.Type, format int16) ([]byte, error) {
	value := any(stmt.Int64(col))
	if kind == sqlite.Text {
		var err error
		if value, err = parseBool(string(stmt.Bytes(col))); err != nil {
			return dst, err
		}
	}
	set := value != int64(0)
	switch {
	case format == binaryFormat:
		return append(dst, byte(boolToInt(set))), nil
	case set:
		return append(dst, 't'), nil
	default:
		return append(dst, 'f'), nil
	}
}

func encodeBytea(dst, value []byte, kind sqlite.Type, format int16) ([]byte, error) {
	if kind == sqlite.Text {
		// A parameter of unknown type has been stored in its text form.
		parsed, err := parseBytea(string(value))
		if err != nil {
			return dst, err
		}
		value = parsed.([]byte)
	}
	if format == binaryFormat {
		return append(dst, value...), nil
	}
	return appendHex(dst, value), nil
}

func appendHex(dst, value []byte) []byte {
	return hex.AppendEncode(append(dst, '\\', 'x'), value)
}

// encodeOther converts the text of a value to the binary form of its type.
func (c *codec) encodeOther(dst []byte, text string, oid uint32) ([]byte, error) {
	t, ok := c.types.TypeForOID(oid)
	if !ok {
		return dst, failf(codeFeatureNotSupported, "result type %d is not supported", oid)
	}
	value, err := t.Codec.DecodeValue(c.types, oid, textFormat, []byte(text))
	if err != nil {
		return dst, invalid(err, t.Name, text)
	}
	if oid == pgtype.UUIDOID {
		raw, isUUID := value.([16]byte)
		if !isUUID {
			return dst, failf(codeInternal, "uuid decoded as %T", value)
		}
		return append(dst, raw[:]...), nil
	}
	out, err := c.types.Encode(oid, binaryFormat, value, dst)
	if err != nil {
		return dst, failf(codeInvalidText, "%v", fmt.Errorf("encode %s: %w", t.Name, err))
	}
	return out, nil
}
