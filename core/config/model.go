package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// Duration is a time.Duration that is encoded as a string with a unit, for example
// "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats d with a unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes d as a string with a unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON decodes a string with a unit. It returns an error for a number.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration %s: expected a string with a unit: %w", b, err)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// Service is a named set of databases that share callers, request classes and
// timeouts.
type Service struct {
	Name      string     `json:"name"`
	Databases []Database `json:"databases"`
	Classes   []Class    `json:"classes,omitempty"`
	// CommitTimeout bounds the wait until a commit is durable.
	CommitTimeout Duration `json:"commit_timeout"`
	// ReplicaWait bounds the wait until a replica has applied a position.
	ReplicaWait Duration       `json:"replica_wait"`
	Failover    FailoverPolicy `json:"failover"`
	Objectives  Objectives     `json:"objectives"`
	// Callers are the accounts that may use the service; at least one is required.
	Callers []Caller `json:"callers"`
}

// Database is one group of backend servers.
type Database struct {
	// Name is unique among all services. Callers give it as the database name when
	// they connect.
	Name  string       `json:"name"`
	Slots []group.Slot `json:"slots"`
	// ConnectionLimit is the number of connections that all hosts together may open
	// to each backend server.
	ConnectionLimit int `json:"connection_limit"`
}

// Class is a class of requests with its own priority and guarantees.
type Class struct {
	Name string `json:"name"`
	// Priority orders classes when connections are scarce, from 0, served first, to
	// MaxPriority.
	Priority int `json:"priority"`
	// Deadline bounds the time from the arrival of a request to its answer.
	Deadline Duration `json:"deadline"`
	// Repeatable is true if a request is idempotent, so that it may run twice.
	Repeatable bool `json:"repeatable"`
	// Read is true if a request changes nothing and may run on a replica.
	Read bool `json:"read"`
	// MaxAge is the greatest age of data that a read accepts. With 0, a read sees
	// every write of any session that was acknowledged before the read arrived.
	MaxAge Duration `json:"max_age"`
	// QueueLimit is the number of requests that may wait for a connection.
	QueueLimit int `json:"queue_limit"`
}

// FailoverPolicy configures the failure detector for the databases of a service.
type FailoverPolicy struct {
	// ProbeIdle is the interval between probes of an idle backend server.
	ProbeIdle Duration `json:"probe_idle"`
	// ProbeSuspect is the interval after a missed probe, at most ProbeIdle.
	ProbeSuspect Duration `json:"probe_suspect"`
	// Misses is the number of missed probes in a row that confirm the failure
	// of a backend server.
	Misses int `json:"misses"`
}

// Objectives are the service-level objectives against which reports compare the
// measured values.
type Objectives struct {
	// AnsweredWithin is the time within which AnsweredShare of the requests must be
	// answered.
	AnsweredWithin Duration `json:"answered_within"`
	// AnsweredShare is the target fraction, from 0 to 1, of requests that are
	// answered within AnsweredWithin; 0 means that no target is set.
	AnsweredShare float64 `json:"answered_share"`
	// WritableShare is the target fraction, from 0 to 1, of the time during which
	// the databases of the service are writable; 0 means that no target is set.
	WritableShare float64 `json:"writable_share"`
	// ReplicaReadShare is the target fraction, from 0 to 1, of reads that run on a
	// replica; 0 means that no target is set.
	ReplicaReadShare float64 `json:"replica_read_share"`
}

// Caller is an account with which an application logs in.
type Caller struct {
	User string `json:"user"`
	// Verifier is a SCRAM-SHA-256 verifier in the format of PostgreSQL.
	Verifier string `json:"verifier"`
}
