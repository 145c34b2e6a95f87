// Package catalog defines the data by which a host routes statements: the routes
// and services that the operator configured, and the backend servers that
// registered themselves. Values are immutable once published.
package catalog

import "time"

// Consistency is the consistency level of a route: which commits its reads must
// see.
type Consistency int

// The consistency levels. All but Primary allow reads from replicas.
const (
	// Primary reads see every commit that was acknowledged before the read.
	Primary Consistency = iota
	// BoundedStaleness reads see every commit older than Route.MaxStaleness.
	BoundedStaleness
	// ReadYourWrites reads see, in addition, every commit of their own session.
	ReadYourWrites
)

// String returns the name of the level in logs and metrics.
func (c Consistency) String() string {
	switch c {
	case Primary:
		return "primary"
	case BoundedStaleness:
		return "bounded_staleness"
	default:
		return "own_writes"
	}
}

// Route defines how statements for one database name are executed.
type Route struct {
	Name     string
	Database string
	Service  string
	Consistency
	// MaxStaleness bounds the age of the data that reads see; it does not apply to
	// Primary.
	MaxStaleness time.Duration
	// Timeout bounds the execution of a statement, and LatencyTarget is the latency
	// objective of an operation.
	Timeout, LatencyTarget time.Duration
	// Priority orders routes under load; 0 is the most urgent.
	Priority int
}

// Service is a set of backend servers, one of which is the primary.
type Service struct {
	Name string
	// ConnectionLimit bounds the connections that all hosts together open to one
	// backend server.
	ConnectionLimit int
	// SyncReplicas is the number of replicas that must hold a commit before it is
	// acknowledged.
	SyncReplicas int
}

// Configuration is one version of the operator's routes and services.
type Configuration struct {
	Version  uint64
	Routes   map[string]*Route // by database name
	Services map[string]Service
	// TransactionIdleTimeout bounds the time between two statements of a
	// transaction; 0 means no limit.
	TransactionIdleTimeout time.Duration
	// StartupTimeout bounds the wait for the first message of a caller; 0 means no
	// limit.
	StartupTimeout time.Duration
}

// Server is the registration of a backend server.
type Server struct {
	ID      string
	Service string
	// Address is the host:port of the backend server; the host is an IP address.
	Address string
	Zone    string
	// StatementLimit is the number of statements that the server executes
	// concurrently.
	StatementLimit int
	// Draining is true if the server accepts no new statements and will stop soon.
	Draining bool
	// Primary is true if the server regards itself as the primary.
	Primary bool
	// StartedUnixMilli is the start of the server process in Unix milliseconds. A
	// different value for the same ID means that the server restarted and lost its
	// connections.
	StartedUnixMilli int64
}
