package dbgroup

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/standin/latency"
)

const (
	defaultConnectionLimit       = 100
	defaultWriterIdleLimit       = time.Second
	defaultListenAddress         = "127.0.0.1:0"
	requestLogSchema             = "CREATE TABLE gypsumgap_request_log (request_key text primary key, fingerprint text, answer blob)"
	firstBackendProcessID        = 1000
	replicationHeartbeatInterval = 100 * time.Millisecond
	replicationBatchRecords      = 512
)

// Options configures a group. Each field may be left at its zero value.
type Options struct {
	// Name is the name of the database. If it is set, client connections must name it.
	Name string
	// Slots lists the slots; the first one is the primary of term 1.
	Slots []SlotOptions
	// Size is the number of slots, on free loopback ports, if Slots is empty; 0 means 3.
	Size int
	// Schema holds SQL statements that each slot runs before it listens.
	Schema []string
	// Dir is the directory of the embedded databases; empty for a temporary
	// directory that Close removes.
	Dir string
	// Latency holds the latencies between zones; nil for none.
	Latency *latency.Table
	// ConnectionLimit is the maximum number of client connections of a slot; 0 means 100.
	ConnectionLimit int
	// ConnectTime is how long a slot delays its response to a startup message.
	ConnectTime time.Duration
	// ApplyLag is the time between receiving a record and applying it.
	ApplyLag time.Duration
	// WriterIdleLimit is how long a connection may stay idle in a transaction
	// that has written while other writers wait; it is then closed with SQLSTATE
	// 25P03. Without the limit an idle client would block all other writers,
	// because a slot has one writer at a time instead of the row locks of a real
	// server. 0 means 1 s.
	WriterIdleLimit time.Duration
	// Logger is the destination of log messages; nil discards them.
	Logger logrus.FieldLogger
}

// SlotOptions configures one slot.
type SlotOptions struct {
	// ID identifies the slot; empty for the group's name, "/" and the index.
	ID string `json:"id" yaml:"id"`
	// Address is the IP address and port to listen on; empty for a free loopback port.
	Address string `json:"address" yaml:"address"`
	// Zone is the availability zone; empty for the zone of the address in the latency table.
	Zone string `json:"zone" yaml:"zone"`
}

func (o Options) withDefaults() (Options, error) {
	if len(o.Slots) == 0 && o.Size == 0 {
		o.Size = 3
	}
	if len(o.Slots) == 0 {
		o.Slots = make([]SlotOptions, o.Size)
	}
	o.Slots = append([]SlotOptions(nil), o.Slots...)
	for i := range o.Slots {
		if o.Slots[i].ID == "" {
			o.Slots[i].ID = fmt.Sprintf("%s/%d", o.Name, i)
		}
		if o.Slots[i].Address == "" {
			o.Slots[i].Address = defaultListenAddress
		}
	}
	if o.ConnectionLimit == 0 {
		o.ConnectionLimit = defaultConnectionLimit
	}
	if o.WriterIdleLimit == 0 {
		o.WriterIdleLimit = defaultWriterIdleLimit
	}
	if o.ConnectionLimit < 0 || o.ConnectTime < 0 || o.ApplyLag < 0 || o.WriterIdleLimit < 0 {
		return o, fmt.Errorf("dbgroup: limits and times must not be negative")
	}
	if o.Logger == nil {
		o.Logger = discardLogger()
	}
	return o, nil
}
