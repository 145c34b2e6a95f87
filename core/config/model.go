package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// Duration is a time span written with a unit, for example "250ms".
type Duration time.Duration

// Std returns the span as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the span with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes the span as a string with a unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads a string with a unit; it fails on a number without one.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration %s: expected a string with a unit: %w", b, err)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// Service is a named set of databases with one policy.
type Service struct {
	Name      string     `json:"name"`
	Databases []Database `json:"databases"`
	Classes   []Class    `json:"classes,omitempty"`
	// CommitTimeout bounds the wait for a commit to become durable.
	CommitTimeout Duration `json:"commit_timeout"`
	// ReplicaWait bounds the wait for a replica to apply a position.
	ReplicaWait Duration       `json:"replica_wait"`
	Failover    FailoverPolicy `json:"failover"`
	Objectives  Objectives     `json:"objectives"`
	// Callers lists who may use the service; it must not be empty.
	Callers []Caller `json:"callers"`
}

// Database is one group of backend servers.
type Database struct {
	// Name is unique among all services; callers connect to it as their database.
	Name  string       `json:"name"`
	Slots []group.Slot `json:"slots"`
	// ConnectionLimit is the number of connections that each backend server grants to the system.
	ConnectionLimit int `json:"connection_limit"`
}

// Class is a kind of request with its own priority and guarantees.
type Class struct {
	Name string `json:"name"`
	// Priority orders classes when connections are scarce; 0 goes first.
	Priority int `json:"priority"`
	// Deadline bounds a request from its arrival to its answer.
	Deadline Duration `json:"deadline"`
	// Repeatable says that running the request twice has the effect of once.
	Repeatable bool `json:"repeatable"`
	// Read says that the request changes nothing and may run on a replica.
	Read bool `json:"read"`
	// MaxAge is the age of data that a read accepts. 0 asks for current data: every
	// write acknowledged before the read arrived, of any session.
	MaxAge Duration `json:"max_age"`
	// QueueLimit is the number of requests that may wait for a connection.
	QueueLimit int `json:"queue_limit"`
}

// FailoverPolicy sets the failure detector of a service's databases.
type FailoverPolicy struct {
	ProbeIdle    Duration `json:"probe_idle"`
	ProbeSuspect Duration `json:"probe_suspect"`
	Misses       int      `json:"misses"`
}

// Objectives are the service-level objectives that reports compare with.
type Objectives struct {
	// AnsweredWithin is the time within which AnsweredShare of requests must be answered.
	AnsweredWithin Duration `json:"answered_within"`
	// AnsweredShare, WritableShare and ReplicaReadShare are shares from 0 to 1.
	AnsweredShare    float64 `json:"answered_share"`
	WritableShare    float64 `json:"writable_share"`
	ReplicaReadShare float64 `json:"replica_read_share"`
}

// Caller is an account that callers log in with.
type Caller struct {
	User string `json:"user"`
	// Verifier is a SCRAM-SHA-256 verifier as PostgreSQL stores it.
	Verifier string `json:"verifier"`
}
