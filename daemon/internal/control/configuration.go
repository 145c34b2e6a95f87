package control

import (
	"context"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
)

// watchConfig follows the configuration in the store.
func (c *Controller) watchConfig(ctx context.Context) {
	w := confstore.Watcher{
		Store:     c.opts.Store,
		Have:      func() *config.Snapshot { return c.board.View().Config },
		Changed:   func(s *config.Snapshot) { c.post(configChanged{s}) },
		Confirmed: func(uint64) { c.post(configConfirmed{}) },
		Failed: func(err error) {
			c.log.WithField("event", "config_watch_failed").WithError(err).Warn("can't watch the configuration")
		},
	}
	w.Run(ctx)
}

type configChanged struct{ snapshot *config.Snapshot }

func (e configChanged) apply(c *Controller, _ time.Time) {
	if e.snapshot.Version() <= c.config.Version() {
		return
	}
	c.log.WithField("event", "config_in_force").
		WithField("version", e.snapshot.Version()).
		WithField("previous", c.config.Version()).
		Info("configuration is in force")
	c.config = e.snapshot
	c.policies = make(map[string]*route.Policy, e.snapshot.Len())
	for _, name := range e.snapshot.Names() {
		c.policies[name] = route.NewPolicy(e.snapshot.Service(name))
	}
	c.stale = true
}

type configConfirmed struct{}

func (configConfirmed) apply(c *Controller, _ time.Time) {
	if !c.configReady {
		c.configReady = true
		c.stale = true
	}
}
