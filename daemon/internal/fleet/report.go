package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/objects"
)

// Intervals of the reports.
const (
	// reportRenewInterval is the time between writes of an unchanged report.
	reportRenewInterval = 2 * time.Second
	// reportMaxAge is how long the holder considers a report valid.
	reportMaxAge = 5 * time.Second
	// reportWritePause is the minimum time between writes of a report.
	reportWritePause = 400 * time.Millisecond
)

// report lists the primaries that a host cannot reach.
type report struct {
	// Missing holds the ID of the unreachable primary by service.
	Missing map[string]string `json:"missing"`
	// Hosts holds the number of hosts for which the report speaks, by service: the
	// host itself and those that follow it.
	Hosts map[string]int `json:"hosts,omitempty"`
	// Renewal increases with each write, so that a renewal changes the object.
	Renewal int `json:"renewal"`
}

// receivedReport is a report of another host.
type receivedReport struct {
	report report
	// seenAt is when the report was received; zero if it was only listed.
	seenAt time.Time
	// missingSince is when the host began to report the primary as unreachable, by
	// service.
	missingSince map[string]time.Time
}

// stepReport writes the report of this host if it has changed or its renewal is
// due.
func (c *controller) stepReport() {
	if c.reportWriteRunning || c.draining {
		return
	}
	own := c.missingPrimaries()
	c.followState.missing.Store(&own)
	if c.followState.followsRelay.Load() && len(c.report.Missing) == 0 {
		return
	}
	missing, hosts := c.combineMissing(own)
	now := c.now()
	changed := !maps.Equal(missing, c.report.Missing) || !maps.Equal(hosts, c.report.Hosts)
	due := now.Sub(c.reportWrittenAt) >= reportRenewInterval && len(missing) > 0
	if !changed && !due || now.Sub(c.reportWrittenAt) < reportWritePause {
		return
	}
	next := report{Missing: missing, Hosts: hosts, Renewal: c.report.Renewal + 1}
	known := c.reportRevision
	c.reportWriteRunning, c.reportWrittenAt = true, now
	c.log.WithFields(logrus.Fields{"event": "report", "missing": missing}).Info("reporting the primaries that this host cannot reach")
	c.runAsync(func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		value, err := json.Marshal(next)
		if err == nil {
			known, err = c.overwrite(callCtx, objects.Reports, value, known)
		}
		c.post(ctx, func() {
			c.reportWriteRunning, c.reportRevision = false, known
			if err == nil {
				c.report = next
			}
		})
	})
}

// missingPrimaries returns the primaries that this host cannot reach, by service.
func (c *controller) missingPrimaries() map[string]string {
	missing := map[string]string{}
	for name, g := range c.groups {
		if h := g.Health(); h.Suspected && h.Primary != "" {
			missing[name] = h.Primary
		}
	}
	return missing
}

// combineMissing adds what the followers of this host report to its own missing
// primaries. If hosts disagree on the primary of a service, the one that most of
// them miss is reported. A host that follows a relay reports through it.
func (c *controller) combineMissing(own map[string]string) (missing map[string]string, hosts map[string]int) {
	if c.followState.followsRelay.Load() {
		return nil, nil
	}
	counts := map[string]map[string]int{}
	c.feed.countMissing(counts)
	for service, primary := range own {
		addMissing(counts, service, primary, 1)
	}
	missing, hosts = map[string]string{}, map[string]int{}
	for service, primaries := range counts {
		for primary, n := range primaries {
			if n > hosts[service] || n == hosts[service] && primary < missing[service] {
				missing[service], hosts[service] = primary, n
			}
		}
	}
	return missing, hosts
}

// applyReports records the reports of other hosts.
func (c *controller) applyReports(ch storeChange) {
	now := c.now()
	for _, o := range ch.objects {
		if o.Deleted || o.Name == c.host {
			delete(c.reports, o.Name)
			continue
		}
		var r report
		if !decode(o.Value, &r) {
			c.log.WithFields(logrus.Fields{"event": "report_skipped", "host": o.Name}).Warn("report of a host could not be decoded; skipping it")
			continue
		}
		old := c.reports[o.Name]
		if ch.full && old.seenAt.IsZero() && len(r.Missing) == 0 {
			continue
		}
		since := map[string]time.Time{}
		for service, id := range r.Missing {
			since[service] = now
			if at, known := old.missingSince[service]; known && old.report.Missing[service] == id && now.Sub(old.seenAt) < reportMaxAge {
				since[service] = at
			}
		}
		at := now
		if ch.full {
			// The report may be from a host that no longer exists. It counts once it is
			// renewed.
			at = old.seenAt
		}
		c.reports[o.Name] = receivedReport{report: r, seenAt: at, missingSince: since}
	}
}

// countMissingReports returns the number of hosts that report the primary as
// unreachable, and when the first of them began to.
func (c *controller) countMissingReports(service, primary string) (int, time.Time) {
	now := c.now()
	count := 0
	var first time.Time
	for _, r := range c.reports {
		if r.report.Missing[service] != primary || now.Sub(r.seenAt) >= reportMaxAge {
			continue
		}
		count += max(1, r.report.Hosts[service])
		if at := r.missingSince[service]; first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return count, first
}
