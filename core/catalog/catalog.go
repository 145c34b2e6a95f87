// Package catalog holds what a host has to know to route statements: the
// operator's routes and services, and the backend servers that have registered
// themselves. The values are immutable once published.
package catalog

import "time"

// Consistency says which commits a read of a route must see.
type Consistency int

// The consistencies. Each but Primary allows reads from replicas.
const (
	// Primary reads see every commit that was acknowledged before the read.
	Primary Consistency = iota
	// BoundedStaleness reads see commits older than the route's bound.
	BoundedStaleness
	// ReadYourWrites reads also see every commit of their own session.
	ReadYourWrites
)

// String returns the name used in logs and metrics.
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

// Route says how statements for one database name are served.
type Route struct {
	Name     string
	Database string
	Service  string
	Consistency
	// MaxStaleness bounds the age of data; it does not apply to Primary.
	MaxStaleness time.Duration
	// Timeout limits a single statement, LatencyTarget is the latency objective of an
	// operation.
	Timeout, LatencyTarget time.Duration
	// Priority orders routes under load; 0 is the highest.
	Priority int
}

// Service is a set of backend servers of which one is the primary.
type Service struct {
	Name string
	// ConnectionLimit bounds the connections of all hosts to one backend server.
	ConnectionLimit int
	// SyncReplicas is the number of replicas that hold a commit before it is
	// acknowledged.
	SyncReplicas int
}

// Configuration is one version of what the operator declared.
type Configuration struct {
	Version  uint64
	Routes   map[string]*Route // by database name
	Services map[string]Service
	// TransactionIdleTimeout is how long a transaction may rest between statements; 0
	// for no limit.
	TransactionIdleTimeout time.Duration
	// StartupTimeout bounds the wait for the first message of a caller; 0 for no
	// limit.
	StartupTimeout time.Duration
}

// Server is a backend server as it registered itself.
type Server struct {
	ID      string
	Service string
	// Address is the host:port of the backend server, by IP number.
	Address string
	Zone    string
	// StatementLimit is the number of statements that run at once.
	StatementLimit int
	// Draining servers take no new work and end soon.
	Draining bool
	// Primary is the server's own belief.
	Primary bool
	// StartedUnixMilli is the server's start in Unix milliseconds; a server with the same
	// ID and another start has lost its connections.
	StartedUnixMilli int64
}
