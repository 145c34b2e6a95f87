package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// A promotion must find every acknowledged commit in the logs of the replicas that reply.
// The number of replies that this takes depends on how many logs may hold such commits,
// also logs that are gone: that of a server which left, which disappeared for good, or
// which started again under its ID without its log. A lost log receives nothing any more.
// It is forgotten once a replica has reached a position that the primary had after the
// loss, since each commit is then in two other logs.
//
// All hosts learn of losses from the entries of the servers. The holder of the promotion
// duty also stores the logs of each service that waits for replicas, so that a host that
// has started since finds the losses that it has not seen. With them it stores that a
// replacement of the primary has begun; see pendingReplacement. It reads the records when
// it takes the duty over, and writes them only when they change.

const (
	// lostLogRetention is how long a host remembers a lost log, unless it holds the duty
	// and commits of the service wait for replicas.
	lostLogRetention = 10 * time.Minute
	// logRecordDelay is the time within which a holder has stored a change.
	logRecordDelay = 10 * time.Second
	// logRetryPause is the pause after a failed call for a record.
	logRetryPause = time.Second
	// logPollInterval is the time between polls of the logs by the holder, which also
	// find whether lost logs may be forgotten.
	logPollInterval = time.Second
)

// logID identifies a log: that of one start of a backend server.
type logID struct {
	server           string
	startedUnixMilli int64
}

func logOf(s catalog.Server) logID { return logID{s.ID, s.StartedUnixMilli} }

// lostLog is a log that receives nothing since lostAt.
type lostLog struct {
	service string
	lostAt  time.Time
	// address is that of a server which left as announced, whose log passes on to the
	// next server there; empty for others.
	address string
}

// commitHolders describes the logs of a service that may hold acknowledged commits.
type commitHolders struct {
	// servers is the number of those of servers that are registered or whose entries have
	// lapsed, the primary included.
	servers int
	// lost is the number of lost logs, and lostAt when the last one was lost. Until then,
	// their receipts let commits be acknowledged.
	lost   int
	lostAt time.Time
}

func (c *controller) commitHolders(service string) commitHolders {
	h := commitHolders{servers: len(c.liveLogs(service))}
	for _, l := range c.lostLogsOf(service) {
		h.lost++
		if l.lostAt.After(h.lostAt) {
			h.lostAt = l.lostAt
		}
	}
	return h
}

// lostLogsOf returns the lost logs of a service, except those that have passed on to a
// registered server. Another service may use the address again, and takes no log over.
func (c *controller) lostLogsOf(service string) map[logID]lostLog {
	addresses := map[string]bool{}
	for _, r := range c.servers {
		if r.server.Service == service {
			addresses[r.server.Address] = true
		}
	}
	out := map[logID]lostLog{}
	for id, l := range c.lostLogs {
		if l.service == service && !addresses[l.address] {
			out[id] = l
		}
	}
	return out
}

// recordLostLog records that the log of a server receives nothing any more.
func (c *controller) recordLostLog(s catalog.Server, address string) {
	c.lostLogs[logOf(s)] = lostLog{service: s.Service, lostAt: c.now(), address: address}
	if c.waitsForReplicas(s.Service) {
		c.log.WithFields(logrus.Fields{"event": "log_lost", "service": s.Service, "server": s.ID, "started": s.StartedUnixMilli}).
			Info("backend server is gone or started again without its log, which may hold acknowledged commits")
	}
}

// removeOldLosses forgets lost logs after their retention.
func (c *controller) removeOldLosses(now time.Time) {
	maps.DeleteFunc(c.lostLogs, func(_ logID, l lostLog) bool {
		isNeeded := c.lease.Holding() && c.waitsForReplicas(l.service)
		return !isNeeded && now.Sub(l.lostAt) >= lostLogRetention
	})
}

// waitsForReplicas reports whether commits of the service are acknowledged only once
// replicas have received them.
func (c *controller) waitsForReplicas(service string) bool {
	return c.configuration != nil && c.configuration.Services[service].SyncReplicas > 0
}

// logRecord is the stored form of the logs of a service that may hold acknowledged
// commits.
type logRecord struct {
	Logs []recordedLog `json:"logs"`
	// Pending is the replacement of the primary that has begun; nil if there is none.
	Pending *pendingReplacement `json:"pending,omitempty"`
}

type recordedLog struct {
	Server           string `json:"server"`
	StartedUnixMilli int64  `json:"started"`
	// Address is that of a server which left as announced.
	Address string `json:"address,omitempty"`
}

// logRecords is the holder's state of the stored records.
type logRecords struct {
	// token is the fencing token of the duty with which the records were read, and era
	// the era of the store then; zero if they must be read.
	token, era uint64
	// calling is true while a call runs, and retryAt the time before which none starts
	// after a failure.
	calling bool
	retryAt time.Time
	// stored holds the records in the store, by service.
	stored map[string]objects.Object
	// polledAt is when the logs were last polled, by service.
	polledAt map[string]time.Time
}

// knowsLogs reports whether the holder knows the logs of the service well enough to
// replace its primary.
func (c *controller) knowsLogs(service string) bool {
	return !c.waitsForReplicas(service) || c.logRecords.token == c.lease.Token() && c.logRecords.era == c.storeEra
}

// stepLogRecords reads the records after this host has taken the duty over, writes them
// when they change, and forgets lost logs.
func (c *controller) stepLogRecords() {
	if !c.lease.Holding() || c.draining || !c.serversListed || c.configuration == nil {
		return
	}
	c.closeUnusedLogSessions()
	for name, g := range c.groups {
		if !c.waitsForReplicas(name) {
			continue
		}
		if !c.knowsLogs(name) {
			c.callForRecords(c.readLogRecords)
			return
		}
		c.startLogPoll(name, g)
		c.storeLogRecord(name)
	}
}

// callForRecords runs a call for the records unless one runs or has just failed. The
// function that the call returns is applied in the controller's goroutine.
func (c *controller) callForRecords(call func(context.Context) (apply func(), err error)) {
	if c.logRecords.calling || c.now().Before(c.logRecords.retryAt) {
		return
	}
	c.logRecords.calling = true
	c.runAsync(func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		apply, err := call(callCtx)
		c.post(ctx, func() {
			c.logRecords.calling = false
			if err != nil {
				c.logRecords.retryAt = c.now().Add(logRetryPause)
				if errors.Is(err, objects.ErrConflict) {
					c.logRecords.token = 0
				}
				c.log.WithField("event", "log_record_failed").WithError(err).
					Warn("record of the logs that may hold acknowledged commits could not be read or written; retrying")
				return
			}
			apply()
		})
	})
}

func (c *controller) readLogRecords(ctx context.Context) (func(), error) {
	list, err := c.store.List(ctx, objects.CommitLogs, false)
	if err != nil {
		return nil, err
	}
	return func() { c.applyLogRecords(list) }, nil
}

// applyLogRecords adds the losses that this host has not seen to those that it knows.
func (c *controller) applyLogRecords(list objects.Snapshot) {
	c.logRecords.token, c.logRecords.era = c.lease.Token(), c.storeEra
	c.logRecords.stored, c.logRecords.polledAt = map[string]objects.Object{}, map[string]time.Time{}
	for _, o := range list.Objects {
		c.logRecords.stored[o.Name] = o
		var record logRecord
		if !decode(o.Value, &record) {
			c.log.WithFields(logrus.Fields{"event": "log_record_skipped", "service": o.Name, "revision": o.Revision}).
				Error("record of the logs that may hold acknowledged commits could not be decoded; writing it again")
			continue
		}
		c.mergeLogRecord(o.Name, record)
	}
}

func (c *controller) mergeLogRecord(service string, record logRecord) {
	now := c.now()
	live, recorded := c.liveLogs(service), map[logID]bool{}
	c.adoptReplacement(service, record.Pending)
	for _, l := range record.Logs {
		id := logID{l.Server, l.StartedUnixMilli}
		recorded[id] = true
		_, known := c.lostLogs[id]
		if _, isLive := live[id]; !known && !isLive {
			c.lostLogs[id] = lostLog{service: service, lostAt: now, address: l.Address}
		}
	}
	// The former holder forgets a loss once it is covered. What this host knows besides
	// is what the record may not contain yet, or what a restored store has forgotten.
	maps.DeleteFunc(c.lostLogs, func(id logID, l lostLog) bool {
		return l.service == service && !recorded[id] && now.Sub(l.lostAt) > logRecordDelay && l.lostAt.After(c.eraSeenAt)
	})
}

// liveLogs returns the servers of a service whose logs may still receive commits, by log:
// those that are registered, and those whose entries have lapsed.
func (c *controller) liveLogs(service string) map[logID]catalog.Server {
	out := map[logID]catalog.Server{}
	for _, r := range c.servers {
		if r.server.Service == service {
			out[logOf(r.server)] = r.server
		}
	}
	for _, l := range c.lostServers {
		if l.server.Service == service {
			out[logOf(l.server)] = l.server
		}
	}
	return out
}

// storeLogRecord writes the record of a service if it has changed.
func (c *controller) storeLogRecord(service string) {
	record := logRecord{Logs: []recordedLog{}, Pending: c.successionOf(service).pending}
	for id := range c.liveLogs(service) {
		record.Logs = append(record.Logs, recordedLog{Server: id.server, StartedUnixMilli: id.startedUnixMilli})
	}
	for id, l := range c.lostLogsOf(service) {
		record.Logs = append(record.Logs, recordedLog{id.server, id.startedUnixMilli, l.address})
	}
	slices.SortFunc(record.Logs, func(a, b recordedLog) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedUnixMilli, b.StartedUnixMilli))
	})
	value, err := json.Marshal(record)
	stored := c.logRecords.stored[service]
	if err != nil || string(value) == string(stored.Value) {
		return
	}
	c.callForRecords(func(ctx context.Context) (func(), error) {
		written, err := c.store.Put(ctx, objects.CommitLogs, service, value, stored.Revision)
		if err != nil {
			return nil, err
		}
		written.Value = value
		return func() {
			c.logRecords.stored[service] = written
			// A replacement may wait for its record, as may the record of another service.
			c.stepLogRecords()
			c.stepSuccession()
		}, nil
	})
}

// forgetCoveredLogs forgets those of the lost logs whose commits are all in the log of a
// replica, given the end of the longest one. The replicas must have been asked after
// the logs were lost: a log that is lost later may be the one that covers the others.
func (c *controller) forgetCoveredLogs(g *backend.Group, lost map[logID]lostLog, received group.Position) {
	for id, l := range lost {
		position, known := g.Freshness.LowestCovering(l.lostAt)
		if !known || received.Compare(position) < 0 {
			continue
		}
		delete(c.lostLogs, id)
		c.log.WithFields(logrus.Fields{"event": "log_covered", "service": l.service, "server": id.server, "started": id.startedUnixMilli}).
			Info("replica has all commits that a lost log may hold; forgetting the loss")
	}
}
