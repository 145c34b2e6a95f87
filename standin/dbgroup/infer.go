package dbgroup

import (
	"fmt"
	"slices"
	"sync"

	"github.com/jackc/pgx/v5/pgtype"

	"github.com/gypsumgap/gypsumgap/standin/dbgroup/internal/sqlite"
)

// The engine does not tell the types of parameters, and clients need them to
// send values in binary form. They are read from the program that EXPLAIN
// lists: a register loaded from a parameter takes the type of the column with
// which it is compared or in which it is stored. Where the program shows no
// column, the type stays unknown and the client sends text.

// inferenceCacheSize bounds the statements whose parameter types a slot remembers.
const inferenceCacheSize = 4096

// inferenceCache remembers the types of a slot's statements.
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

// instruction is one line of a program.
type instruction struct {
	address    int
	opcode     string
	p1, p2, p3 int
	p4         int
}

// inference walks a program.
type inference struct {
	db *sqlite.DB
	// types holds the type of each parameter of the engine, from index 0.
	types []uint32
	// loaded maps a register to the parameters it was loaded from.
	loaded map[int][]int
	// column maps a register to the type of the column it was loaded from.
	column map[int]uint32
	// cursors maps a cursor to the types of its columns.
	cursors map[int][]uint32
	// records maps the register of a record to its first field and their number.
	records map[int][2]int
	// coroutine is set where a register is loaded once per row of VALUES.
	coroutine bool
}

// inferTypes returns the types of the statement's parameters in the engine's order.
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

// explainProgram lists the instructions in the order of their execution: the section
// at the end, to which the first instruction jumps, sets constants.
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

func (n *inference) clearRegister(register int) {
	delete(n.loaded, register)
	delete(n.column, register)
}

func (n *inference) loadParameter(param, register int) {
	if !n.coroutine {
		n.clearRegister(register)
	}
	n.loaded[register] = append(slices.Clone(n.loaded[register]), param)
}

// assignType gives the parameters in a register a type, unless they have one.
func (n *inference) assignType(register int, oid uint32) {
	for _, param := range n.loaded[register] {
		if param >= 0 && param < len(n.types) && n.types[param] == unknownOID {
			n.types[param] = oid
		}
	}
}

// assignFieldTypes gives successive registers the types of a cursor's first columns.
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

// columnTypes returns the types of the columns of the table or index with the root page.
func columnTypes(db *sqlite.DB, rootPage int) []uint32 {
	var kind, name, table string
	_ = queryRows(db, "SELECT type, name, tbl_name FROM sqlite_schema WHERE rootpage = $1", func(row *sqlite.Stmt) {
		kind, name, table = string(row.Bytes(0)), string(row.Bytes(1)), string(row.Bytes(2))
	}, int64(rootPage))
	// A table without rowid stores its columns in another order.
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

// inferParams fills in the types that neither the client nor a cast gave.
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
