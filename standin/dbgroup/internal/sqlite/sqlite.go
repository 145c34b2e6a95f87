// Package sqlite wraps the part of SQLite's C interface that package dbgroup
// needs. It is used in place of database/sql because a wire protocol server must
// describe a statement without running it, keep prepared statements, and split a
// script, and database/sql supports none of these.
//
// Except for Interrupt, a DB and its statements must not be used concurrently.
package sqlite

import (
	"encoding/binary"
	"errors"
	"fmt"
	"sync"

	"modernc.org/libc"
	lib "modernc.org/sqlite/lib"
)

// busyTimeoutMillis is the maximum time in milliseconds that the library waits for
// a lock. The slot serialises its writers, so only short checkpoint locks remain.
const busyTimeoutMillis = 5000

// pointerSize is the size in bytes of a pointer on the supported 64-bit platforms.
const pointerSize = 8

// openPragmas configure a connection. The data must survive the restart of a slot
// but not of the process, so nothing is synced to disk. The page cache is small
// because a process holds thousands of connections.
var openPragmas = []string{
	"PRAGMA journal_mode=WAL", "PRAGMA synchronous=OFF", "PRAGMA foreign_keys=ON", "PRAGMA cache_size=-512",
}

// Error is an error that the library reports.
type Error struct {
	// Code is the extended result code of SQLite.
	Code int
	// Message describes the error.
	Message string
}

// Error returns the message and the code.
func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Message, e.Code) }

// errMultiple is returned by Prepare for more than one statement.
var errMultiple = &Error{Code: lib.SQLITE_ERROR, Message: "cannot insert multiple commands into a prepared statement"}

// ErrClosed is returned by Prepare and Exec after Close.
var ErrClosed = errors.New("database handle is closed")

// DB is one connection to a database file.
type DB struct {
	tls *libc.TLS
	db  uintptr
	// out is memory, allocated by the library, for two pointers that it returns.
	// Memory allocated by Go would fail the pointer checks of the race detector.
	out uintptr

	// closing prevents Interrupt from using db during or after Close.
	closing sync.Mutex
}

// Open opens or creates the database file in write-ahead logging mode. It fails with *Error.
func Open(path string) (*DB, error) {
	d := &DB{tls: libc.NewTLS()}
	d.out = libc.Xmalloc(d.tls, 2*pointerSize)
	name, err := libc.CString(path)
	if err != nil {
		d.Close()
		return nil, err
	}
	defer libc.Xfree(d.tls, name)
	flags := int32(lib.SQLITE_OPEN_READWRITE | lib.SQLITE_OPEN_CREATE | lib.SQLITE_OPEN_NOMUTEX)
	rc := lib.Xsqlite3_open_v2(d.tls, name, d.out, flags, 0)
	d.db = d.result(0)
	if rc != lib.SQLITE_OK {
		err := d.failure(rc)
		d.Close()
		return nil, err
	}
	lib.Xsqlite3_extended_result_codes(d.tls, d.db, 1)
	lib.Xsqlite3_busy_timeout(d.tls, d.db, busyTimeoutMillis)
	for _, sql := range openPragmas {
		if err := d.Exec(sql); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

// Close closes the connection. All statements must have been finalized. Further
// calls have no effect.
func (d *DB) Close() {
	d.closing.Lock()
	defer d.closing.Unlock()
	if d.tls == nil {
		return
	}
	lib.Xsqlite3_close_v2(d.tls, d.db)
	libc.Xfree(d.tls, d.out)
	d.tls.Close()
	d.tls = nil
}

// Interrupt makes a running statement fail with SQLITE_INTERRUPT. It may be called
// from any goroutine, also after Close.
func (d *DB) Interrupt() {
	d.closing.Lock()
	defer d.closing.Unlock()
	if d.tls == nil {
		return
	}
	tls := libc.NewTLS()
	lib.Xsqlite3_interrupt(tls, d.db)
	tls.Close()
}

// Changes returns the number of rows that the last INSERT, UPDATE or DELETE changed.
func (d *DB) Changes() int64 { return int64(lib.Xsqlite3_changes64(d.tls, d.db)) }

// InTransaction reports whether a transaction is open.
func (d *DB) InTransaction() bool { return lib.Xsqlite3_get_autocommit(d.tls, d.db) == 0 }

// Exec runs one statement without parameters and discards its rows. It fails with
// *Error or ErrClosed.
func (d *DB) Exec(sql string) error {
	s, err := d.Prepare(sql)
	if err != nil {
		return err
	}
	defer s.Finalize()
	return s.Run()
}

// Prepare compiles one statement. It fails with *Error, also if sql contains more
// than one statement, or with ErrClosed.
func (d *DB) Prepare(sql string) (*Stmt, error) {
	if d.tls == nil {
		return nil, ErrClosed
	}
	text, err := libc.CString(sql)
	if err != nil {
		return nil, err
	}
	defer libc.Xfree(d.tls, text)
	rc := lib.Xsqlite3_prepare_v3(d.tls, d.db, text, int32(len(sql)+1), lib.SQLITE_PREPARE_PERSISTENT,
		d.out, d.out+pointerSize)
	if rc != lib.SQLITE_OK {
		return nil, d.failure(rc)
	}
	s := &Stmt{db: d, h: d.result(0)}
	rest := sql[min(len(sql), int(d.result(1)-text)):]
	if s.h != 0 && !d.blank(rest) {
		s.Finalize()
		return nil, errMultiple
	}
	if s.h != 0 {
		s.describe()
	}
	return s, nil
}

// blank reports whether sql contains only white space and comments.
func (d *DB) blank(sql string) bool {
	if sql == "" {
		return true
	}
	text, err := libc.CString(sql)
	if err != nil {
		return false
	}
	defer libc.Xfree(d.tls, text)
	rc := lib.Xsqlite3_prepare_v3(d.tls, d.db, text, int32(len(sql)+1), 0, d.out, 0)
	if extra := d.result(0); extra != 0 {
		lib.Xsqlite3_finalize(d.tls, extra)
		return false
	}
	return rc == lib.SQLITE_OK
}

// result returns the i-th pointer that the library has written to out.
func (d *DB) result(i int) uintptr {
	return uintptr(binary.NativeEndian.Uint64(libc.GoBytes(d.out, 2*pointerSize)[i*pointerSize:]))
}

// failure returns the error for a result code, with the message of the connection.
func (d *DB) failure(rc int32) error {
	if d.db == 0 {
		return &Error{Code: int(rc), Message: libc.GoString(lib.Xsqlite3_errstr(d.tls, rc))}
	}
	return &Error{Code: int(rc), Message: libc.GoString(lib.Xsqlite3_errmsg(d.tls, d.db))}
}

// Complete reports whether sql ends with a semicolon that terminates a statement,
// as opposed to one inside a literal, a comment or a trigger body.
func Complete(sql string) bool {
	tls := libc.NewTLS()
	defer tls.Close()
	text, err := libc.CString(sql)
	if err != nil {
		return false
	}
	defer libc.Xfree(tls, text)
	return lib.Xsqlite3_complete(tls, text) != 0
}

// Column describes a column of a result.
type Column struct {
	Name string
	// DeclType is the declared type of the table column; empty for an expression.
	DeclType string
}

// Type is the storage class of a value.
type Type int32

// Storage classes of SQLite.
const (
	Integer Type = lib.SQLITE_INTEGER
	Float   Type = lib.SQLITE_FLOAT
	Text    Type = lib.SQLITE_TEXT
	Blob    Type = lib.SQLITE_BLOB
	Null    Type = lib.SQLITE_NULL
)

// Stmt is a prepared statement.
type Stmt struct {
	db *DB
	h  uintptr
	// Columns describes the result; it is empty for a statement without one.
	Columns []Column
	// Params holds the names of the parameters, in the order of their indexes.
	Params []string
	// ReadOnly is set if the statement does not change the database.
	ReadOnly bool
	// allocs holds the memory of bound values, which Reset frees.
	allocs []uintptr
}

// describe reads the columns, parameters and flags of the statement.
func (s *Stmt) describe() {
	tls := s.db.tls
	s.ReadOnly = lib.Xsqlite3_stmt_readonly(tls, s.h) != 0
	for i := range lib.Xsqlite3_column_count(tls, s.h) {
		name := libc.GoString(lib.Xsqlite3_column_name(tls, s.h, i))
		decl := libc.GoString(lib.Xsqlite3_column_decltype(tls, s.h, i))
		s.Columns = append(s.Columns, Column{Name: name, DeclType: decl})
	}
	for i := range lib.Xsqlite3_bind_parameter_count(tls, s.h) {
		s.Params = append(s.Params, libc.GoString(lib.Xsqlite3_bind_parameter_name(tls, s.h, i+1)))
	}
}

// Empty reports whether the SQL text contained no statement.
func (s *Stmt) Empty() bool { return s.h == 0 }

// Bind sets the parameter with the index, which starts at 1, to nil, an int64, a
// float64, a string or a []byte. It fails with *Error.
func (s *Stmt) Bind(index int, value any) error {
	tls, i := s.db.tls, int32(index)
	var rc int32
	switch v := value.(type) {
	case nil:
		rc = lib.Xsqlite3_bind_null(tls, s.h, i)
	case int64:
		rc = lib.Xsqlite3_bind_int64(tls, s.h, i, v)
	case float64:
		rc = lib.Xsqlite3_bind_double(tls, s.h, i, v)
	case string:
		p, err := s.alloc(v)
		if err != nil {
			return err
		}
		rc = lib.Xsqlite3_bind_text(tls, s.h, i, p, int32(len(v)), 0)
	case []byte:
		p, err := s.alloc(string(v))
		if err != nil {
			return err
		}
		rc = lib.Xsqlite3_bind_blob(tls, s.h, i, p, int32(len(v)), 0)
	default:
		return &Error{Code: lib.SQLITE_MISMATCH, Message: fmt.Sprintf("cannot bind a %T", value)}
	}
	if rc != lib.SQLITE_OK {
		return s.db.failure(rc)
	}
	return nil
}

// alloc copies v to memory that the library may use until Reset.
func (s *Stmt) alloc(v string) (uintptr, error) {
	p, err := libc.CString(v)
	if err != nil {
		return 0, err
	}
	s.allocs = append(s.allocs, p)
	return p, nil
}

// Step advances the statement to its next row. It returns false if there is none
// and fails with *Error.
func (s *Stmt) Step() (bool, error) {
	if s.h == 0 {
		return false, nil
	}
	switch rc := lib.Xsqlite3_step(s.db.tls, s.h); rc {
	case lib.SQLITE_ROW:
		return true, nil
	case lib.SQLITE_DONE:
		return false, nil
	default:
		return false, s.db.failure(rc)
	}
}

// Run steps through all rows and resets the statement. It fails with *Error.
func (s *Stmt) Run() error {
	defer s.Reset()
	for {
		more, err := s.Step()
		if err != nil || !more {
			return err
		}
	}
}

// Reset ends the execution and clears the parameters.
func (s *Stmt) Reset() {
	if s.h == 0 {
		return
	}
	lib.Xsqlite3_reset(s.db.tls, s.h)
	if len(s.allocs) == 0 {
		return
	}
	lib.Xsqlite3_clear_bindings(s.db.tls, s.h)
	for _, p := range s.allocs {
		libc.Xfree(s.db.tls, p)
	}
	s.allocs = s.allocs[:0]
}

// Finalize frees the statement.
func (s *Stmt) Finalize() {
	if s.h == 0 {
		return
	}
	s.Reset()
	lib.Xsqlite3_finalize(s.db.tls, s.h)
	s.h = 0
}

// Type returns the storage class of a column of the current row. Column indexes start at 0.
func (s *Stmt) Type(col int) Type {
	return Type(lib.Xsqlite3_column_type(s.db.tls, s.h, int32(col)))
}

// Int64 returns a column of the current row as an integer.
func (s *Stmt) Int64(col int) int64 {
	return int64(lib.Xsqlite3_column_int64(s.db.tls, s.h, int32(col)))
}

// Float64 returns a column of the current row as a floating-point number.
func (s *Stmt) Float64(col int) float64 {
	return lib.Xsqlite3_column_double(s.db.tls, s.h, int32(col))
}

// Bytes returns a text or blob column of the current row. The memory is valid
// until the next Step or Reset.
func (s *Stmt) Bytes(col int) []byte {
	p := lib.Xsqlite3_column_blob(s.db.tls, s.h, int32(col))
	n := lib.Xsqlite3_column_bytes(s.db.tls, s.h, int32(col))
	if p == 0 || n == 0 {
		return []byte{}
	}
	return libc.GoBytes(p, int(n))
}
