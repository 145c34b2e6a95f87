// Package session serves the caller side of the PostgreSQL protocol, version 3.
//
// # Units and transactions
//
// The messages of a caller up to a Sync, or one simple query, form a unit. A unit
// is read completely before any of it is sent. For the first unit of a transaction
// the session asks route.Router for a connection, and it releases the connection
// when ReadyForQuery reports that the transaction is over. Answers are streamed
// through buffers of fixed size; while a caller does not read, the session does not
// read from the server either. CommandComplete is held in the buffer until the
// following message shows whether the transaction is over. If it is, the message is
// forwarded only after Tx.Finish has succeeded, and is otherwise replaced by an
// error.
//
// # Forwarding
//
// Only the owner hosts of a database have connections to its backend servers. On any
// other host, the entry host of the caller, a transaction runs over a connection to
// an owner, whose sessions serve it like those of callers. The entry host sends the
// forward setting before the first unit of each transaction. It carries what the
// caller has set for the transaction: user, request class, session token, request
// key, deadline and run-time parameters. The owner calls Tx.Finish, handles the
// request key and resets the server connection; the entry host only forwards the
// answers. In this package a peer is the other end of a connection that a transaction
// uses: a backend server or an owner.
//
// # Prepared statements
//
// The session keeps the SQL and the parameter types of each statement name of the
// caller. On a server connection a statement has a name derived from a hash of
// both, so that callers share it. Before a Bind or Describe on a connection that
// lacks the statement the session inserts a Parse and drops its answer. The session
// answers a Parse itself if the connection has the statement already. The SQL
// statements PREPARE, EXECUTE and DEALLOCATE name do not see these names.
//
// # State of server connections
//
// State other than prepared statements must not leak to the next caller. A
// connection is reset with DISCARD ALL before it is released after a transaction
// in which a ParameterStatus changed or a statement completed with a tag other than
// those of plain reads, writes and transaction control. The same holds if the text
// of a statement contains set_config, advisory or temp, since a SELECT with these
// leaves state that its tag does not show. The connection is reset rather than
// closed because a new connection costs 12 to 30 ms and a reset one round trip. A
// connection whose transaction did not end cleanly is closed. State that a
// server-side function changes without a visible sign is not detected, and currval
// and lastval are not reset after an INSERT.
//
// A caller's SET therefore lasts for its transaction only. At the end of the
// transaction the values of changed parameters are reported again. SET, LISTEN or
// PREPARE as the only statement of an implicit transaction fails with 0A000, since
// it would have no effect. Run-time parameters of the startup packet apply to every
// transaction: the session sets them on a connection that has other values. pgjdbc
// needs assumeMinServerVersion=9.0, with which it sends its parameters in the
// startup packet and not by SET.
//
// # Lost connections
//
// A pooled connection that the server has closed is not used. A unit whose
// connection fails is retried if no byte of it was sent, if it has a request key,
// or if Tx.MayRetry allows it, and in each case only if no byte of its answer has
// reached the caller. Otherwise the caller gets 08007 if the unit may have been
// committed, and 08006 if not. A transaction block whose connection failed stays in
// the failed state until the caller ends it, so that its remaining statements do
// not run outside the block.
//
// # Request keys
//
// On a server connection, a unit with a request key runs in a transaction that the
// session opens: the session inserts the key into gypsumgap_request_log, runs the
// unit, records its answer (the messages before ReadyForQuery, at most 8 KiB) and
// commits. An answer up to that size is held until the commit is confirmed. If the
// outcome is unknown the unit is run again under its key until the deadline of the
// request; it then either finds the row or becomes the first run. A row without an
// answer is reported with YG003.
//
// For a transaction block that begins with a key, the key is inserted after BEGIN,
// and the command tags are recorded before a COMMIT that is a statement of its own.
// A repeated BEGIN with that key fails with YG003, and the key resolves a COMMIT
// whose outcome is unknown. A key that first appears inside a transaction block is
// rejected. COPY FROM STDIN, Flush and transaction control inside a unit cannot
// have a key.
package session
