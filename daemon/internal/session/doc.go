// Package session serves the caller side of the PostgreSQL protocol, version 3.
//
// # Units and transactions
//
// The messages of a caller up to a Sync, or one simple query, form a unit, which
// is read whole before any of it is sent. At the first unit of a transaction the
// session asks route.Router for a connection, and it gives the connection back
// when ReadyForQuery reports that the transaction is over. Answers are streamed
// through buffers of fixed size; a caller that does not read stops the reading
// from the server. CommandComplete waits in the buffer until the following message
// shows whether the transaction is over; if so, it is passed on after Tx.Finish
// only, or replaced by an error.
//
// # Prepared statements
//
// The session keeps SQL and parameter types of each of the caller's statement
// names. On a server connection a statement has a name derived from a hash of
// both, so callers share it. Before a Bind or Describe on a connection that lacks
// the statement the session inserts a Parse, whose answer it swallows; a Parse of
// a statement that the connection holds is answered by the session. The SQL
// statements PREPARE, EXECUTE and DEALLOCATE name do not see these names.
//
// # State of server connections
//
// Other state than prepared statements must not reach the next caller. A
// connection is reset with DISCARD ALL, rather than closed, before it is given
// back after a transaction in which a ParameterStatus changed or a statement
// completed with another tag than those of plain reads, writes and transaction
// control, or whose text contains set_config, advisory or temp, since a SELECT
// with these leaves state that its tag does not show; a new connection costs 12 to
// 30 ms, a reset one round trip. A connection whose transaction did not end
// cleanly is closed. State that a server-side function changes unseen is not
// found, and currval and lastval are not reset after an INSERT.
//
// A caller's SET therefore lasts for its transaction only: the values of
// parameters that changed are reported again at its end, and SET, LISTEN or
// PREPARE as the only statement of an implicit transaction are answered with
// 0A000, since they would have no effect. Run-time parameters of the startup
// packet are in force in every transaction: the session sets them on a connection
// that has other values. pgjdbc needs assumeMinServerVersion=9.0, with which it
// sends its parameters in the startup packet and not by SET.
//
// # Lost connections
//
// A pooled connection that the server has closed is not used. A unit whose
// connection fails is begun again if no byte of it was sent, if it
// has a request key, or if Tx.MayRepeat allows it, and in each case only if no
// byte of its answer has reached the caller. Otherwise the caller gets 08007 if
// the unit may have been committed, else 08006. A transaction block whose
// connection failed is kept in the failed state until the caller ends it, so that
// its remaining statements do not run outside of it.
//
// # Request keys
//
// On a server connection, a unit with a request key runs in a transaction of the
// session's own: the key is inserted into gypsumgap_request_log, the unit runs, its
// answer (the messages before ReadyForQuery, at most 8 KiB) is recorded, and the
// transaction is committed. Up to that size the answer is held until the end. If
// the outcome is in doubt the unit is run again under its key, until the request's
// deadline: it then meets the row or becomes the first run. A row without an
// answer is reported with YG003. A transaction block that begins with a key has
// its key inserted after BEGIN and its command tags recorded before a COMMIT that
// is a statement of its own; a repeated BEGIN with that key gets YG003, and a
// COMMIT in doubt is settled by the key. A key that first appears inside a
// transaction block is refused. COPY FROM STDIN, Flush and transaction
// control inside a unit cannot have a key.
package session
