package dbgroup

import (
	"fmt"
	"slices"
	"sync"

	"github.com/jackc/pgx/v5/pgtype"

	"github.com/gypsumgap/gypsumgap/standin/dbgroup/internal/sqlite"
)

// The embedded database does not report the types of parameters, which clients
// need to send values in binary format. The types are therefore inferred from the
// bytecode program that EXPLAIN lists: a register that is loaded from a parameter
// gets the type of the column with which it is compared or in which it is stored.
// If the program shows no such column, the type stays unknown and the client sends
// text.

// inferenceCacheSize is the maximum number of statements whose parameter types a
// slot caches.
const inferenceCacheSize = 4096

// inferenceCache caches the parameter types of a slot's statements.
type inferenceCache struct {
	mu    sync.Mutex
	types map[string][]uint32
}

func (c *inferenceCache) get(sql string) ([]uint32, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	types, ok := c.types[sql]
	return types, ok
}

func (c *inferenceCache) put(sql string, types []uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.types) >= inferenceCacheSize || c.types == nil {
		c.types = map[string][]uint32{}
	}
	c.types[sql] = types
}

// instruction is one instruction of a bytecode program.
type instruction struct {
	address    int
	opcode     string
	p1, p2, p3 int
	p4         int
}

// inference is the state of the analysis of a program.
type inference struct {
	db *sqlite.DB
	// types holds the type OID of each parameter of the embedded database, from index 0.
	types []uint32
	// loaded maps a register to the parameters it was loaded from.
	loaded map[int][]int
	// column maps a register to the type OID of the column it was loaded from.
	column map[int]uint32
	// cursors maps a cursor to the type OIDs of its columns.
	cursors map[int][]uint32
	// records maps the register of a record to the register of its first field and
	// the number of fields.
	records map[int][2]int
	// coroutine is set inside a coroutine, where a register is loaded once per row
	// of VALUES and so from several parameters.
	coroutine bool
}

// inferTypes returns the type OIDs of the statement's parameters in the order of
// the embedded database.
func inferTypes(db *sqlite.DB, sql string, params int) []uint32 {
	n := &inference{
		db: db, types: make([]uint32, params),
		loaded: map[int][]int{}, column: map[int]uint32{}, cursors: map[int][]uint32{}, records: map[int][2]int{},
	}
	for _, step := range explainProgram(db, sql) {
		n.step(step)
	}
	return n.types
}

// explainProgram returns the instructions in the order of their execution. The
// section at the end, to which the first instruction jumps, loads constants and
// runs first.
func explainProgram(db *sqlite.DB, sql string) []instruction {
	var all []instruction
	_ = queryRows(db, "EXPLAIN "+sql, func(row *sqlite.Stmt) {
		all = append(all, instruction{
			address: int(row.Int64(0)), opcode: string(row.Bytes(1)),
			p1: int(row.Int64(2)), p2: int(row.Int64(3)), p3: int(row.Int64(4)), p4: int(row.Int64(5)),
		})
	})
	if len(all) == 0 || all[0].opcode != "Init" || all[0].p2 <= 0 || all[0].p2 >= len(all) {
		return all
	}
	start := all[0].p2
	return slices.Concat(all[start:], all[1:start])
}

// queryRows runs a query and calls each for every row.
func queryRows(db *sqlite.DB, sql string, each func(*sqlite.Stmt), args ...any) error {
	stmt, err := db.Prepare(sql)
	if err != nil {
		return err
	}
	defer stmt.Finalize()
	for i, arg := range args {
		if err := stmt.Bind(i+1, arg); err != nil {
			return err
		}
	}
	for {
		more, err := stmt.Step()
		if err != nil || !more {
			return err
		}
		each(stmt)
	}
}

// step tracks the effect of one instruction on registers and cursors.
func (n *inference) step(i instruction) {
	switch i.opcode {
	case "OpenRead", "OpenWrite":
		n.cursors[i.p1] = columnTypes(n.db, i.p2)
	case "OpenEphemeral", "OpenPseudo", "OpenAutoindex", "SorterOpen":
		delete(n.cursors, i.p1)
	case "InitCoroutine":
		n.coroutine = true
	case "EndCoroutine":
		n.coroutine = false
	case "Variable":
		n.loadParameter(i.p1-1, i.p2)
	case "Column":
		n.clearRegister(i.p3)
		n.column[i.p3] = n.columnType(i.p1, i.p2)
	case "SCopy", "Copy":
		n.loaded[i.p2], n.column[i.p2] = n.loaded[i.p1], n.column[i.p1]
	case "Eq", "Ne", "Lt", "Le", "Gt", "Ge":
		n.assignType(i.p1, n.column[i.p3])
		n.assignType(i.p3, n.column[i.p1])
	case "MustBeInt":
		n.assignType(i.p1, pgtype.Int8OID)
	case "SeekRowid", "NotExists":
		n.assignType(i.p3, pgtype.Int8OID)
	case "SeekGE", "SeekGT", "SeekLE", "SeekLT", "IdxGE", "IdxGT", "IdxLE", "IdxLT", "NotFound", "Found", "NoConflict":
		n.assignFieldTypes(i.p1, i.p3, i.p4)
	case "MakeRecord":
		n.records[i.p3] = [2]int{i.p1, i.p2}
	case "Insert":
		record := n.records[i.p2]
		n.assignFieldTypes(i.p1, record[0], record[1])
	case "Cast":
		n.clearRegister(i.p1)
	case "Add", "Subtract", "Multiply", "Divide", "Remainder", "Concat", "And", "Or",
		"BitAnd", "BitOr", "ShiftLeft", "ShiftRight", "Function", "PureFunc":
		n.clearRegister(i.p3)
	case "Not", "BitNot", "Rowid", "Integer", "String8", "Null":
		n.clearRegister(i.p2)
	}
}

// clearRegister records that a register no longer holds a parameter or column.
func (n *inference) clearRegister(register int) {
	delete(n.loaded, register)
	delete(n.column, register)
}

// loadParameter records that a register is loaded from a parameter.
func (n *inference) loadParameter(param, register int) {
	if !n.coroutine {
		n.clearRegister(register)
	}
	n.loaded[register] = append(slices.Clone(n.loaded[register]), param)
}

// assignType assigns a type to the parameters in a register that have none yet.
func (n *inference) assignType(register int, oid uint32) {
	for _, param := range n.loaded[register] {
		if param >= 0 && param < len(n.types) && n.types[param] == unknownOID {
			n.types[param] = oid
		}
	}
}

// assignFieldTypes assigns the types of a cursor's first columns to successive registers.
func (n *inference) assignFieldTypes(cursor, first, count int) {
	for i := range count {
		n.assignType(first+i, n.columnType(cursor, i))
	}
}

func (n *inference) columnType(cursor, index int) uint32 {
	if columns := n.cursors[cursor]; index >= 0 && index < len(columns) {
		return columns[index]
	}
	return unknownOID
}

// columnTypes returns the type OIDs of the columns of the table or index with the
// root page. It returns nothing for a table without rowid.
func columnTypes(db *sqlite.DB, rootPage int) []uint32 {
	var kind, name, table string
	_ = queryRows(db, "SELECT type, name, tbl_name FROM sqlite_schema WHERE rootpage = $1", func(row *sqlite.Stmt) {
		kind, name, table = string(row.Bytes(0)), string(row.Bytes(1)), string(row.Bytes(2))
	}, int64(rootPage))
	// A table without rowid stores its columns in a different order.
	sql := "SELECT type FROM pragma_table_info($1) WHERE NOT (SELECT wr FROM pragma_table_list($1)) ORDER BY cid"
	args := []any{name}
	if kind == "index" {
		sql = "SELECT t.type FROM pragma_index_info($1) i LEFT JOIN pragma_table_info($2) t ON t.cid = i.cid ORDER BY i.seqno"
		args = append(args, table)
	}
	var types []uint32
	err := queryRows(db, sql, func(row *sqlite.Stmt) {
		types = append(types, oidOfName(string(row.Bytes(0))))
	}, args...)
	if err != nil || kind == "" {
		return nil
	}
	return types
}

// inferParams infers the types of parameters that neither the client nor a cast specified.
func (c *session) inferParams(p *prepared) error {
	if !slices.Contains(p.params, unknownOID) {
		return nil
	}
	types, known := c.slot.inferred.get(p.sql)
	if !known {
		db, err := c.openDatabase()
		if err != nil {
			return fmt.Errorf("infer parameter types: %w", err)
		}
		types = inferTypes(db, p.sql, len(p.paramOrder))
		c.slot.inferred.put(p.sql, types)
	}
	for i, index := range p.paramOrder {
		if p.params[index] == unknownOID {
			p.params[index] = types[i]
		}
	}
	return nil
}
