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

// Options describes a group. The zero value of each field has a use.
type Options struct {
	// Name is the name of the database. If it is set, ordinary connections must name it.
	Name string
	// Slots lists the slots; the first one is the primary of term 1.
	Slots []SlotOptions
	// Size is the number of slots, on free loopback ports, if Slots is empty; 0 means 3.
	Size int
	// Schema holds statements that each slot runs before it starts.
	Schema []string
	// Dir is the folder of the embedded databases; empty for a temporary folder
	// that Close removes.
	Dir string
	// Latency holds the delays between zones; nil for none.
	Latency *latency.Table
	// ConnectionLimit is the highest number of ordinary connections of a slot; 0 means 100.
	ConnectionLimit int
	// ConnectTime is how long a slot takes to accept a connection.
	ConnectTime time.Duration
	// ApplyLag is the time between receiving a record and applying it.
	ApplyLag time.Duration
	// WriterIdleLimit is how long a connection may stay idle in a transaction
	// that has written while other writers wait; it is then closed with 25P03.
	// A slot has one writer at a time, so that a silent client would otherwise
	// block the others, which a real server's row locks don't. 0 means 1 s.
	WriterIdleLimit time.Duration
	// Logger receives events; nil for none.
	Logger logrus.FieldLogger
}

// SlotOptions describes one slot.
type SlotOptions struct {
	// ID names the slot; empty for the group's name, "/" and the index.
	ID string `json:"id" yaml:"id"`
	// Address is the listener's host:port by IP number; empty for a free loopback port.
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
