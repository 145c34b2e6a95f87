package control

import (
	"context"
	"time"

	"github.com/gypsumgap/gypsumgap/core/confsync"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/daemon/internal/peer"
)

// pollHostList reads the platform's host list periodically until ctx ends.
func (c *Controller) pollHostList(ctx context.Context) {
	listed := false
	size := 0
	for {
		hosts, err := c.opts.Store.Hosts(ctx)
		if err != nil && ctx.Err() == nil {
			c.log.WithField("event", "host_list_failed").WithError(err).Warn("failed to read the platform's host list; retrying")
		}
		if err == nil {
			listed = true
			size = len(hosts)
			c.post(hostsListed(hosts))
		}
		wait := hostListWait(size)
		if !listed {
			wait = hostListRetry
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// hostListWait returns the time until the next read of a list of that many
// hosts.
func hostListWait(hosts int) time.Duration {
	return max(hostListInterval, time.Duration(hosts)*hostListIntervalPerHost)
}

type hostsListed []platform.Host

func (hosts hostsListed) apply(c *Controller, now time.Time) {
	if c.table.Self().Joining() && !c.draining {
		c.table.Join(now, c.opts.Self.ForwardAddress)
		c.log.WithField("event", "joined").Info("host has reached the platform and may own databases")
	}
	c.table.MergeHostList(now, hosts)
}

// bootstrap probes the configured peers, so that the host discovers the others
// even while the platform is down.
func (c *Controller) bootstrap() {
	for _, address := range c.opts.Peers {
		target := membership.Member{PeerAddress: address}
		c.sendProbes([]membership.Command{{
			Kind:    membership.SendProbe,
			Target:  target,
			Message: membership.Message{From: c.opts.Self.Name, Updates: []membership.Member{c.table.Self()}, RequestAll: true},
		}})
	}
}

func (c *Controller) sendProbes(cmds []membership.Command) {
	for _, cmd := range cmds {
		switch cmd.Kind {
		case membership.SendProbe:
			c.workers.Go(func() { c.probe(cmd) })
		case membership.SendIndirectProbe:
			c.workers.Go(func() { c.probeIndirectly(cmd) })
		}
	}
}

func (c *Controller) probe(cmd membership.Command) {
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.Members.ProbeTimeout)
	defer cancel()
	sent := time.Now()
	resp, err := c.peerClient.Probe(ctx, cmd.Target.PeerAddress, &peerapi.ProbeRequest{
		From:          cmd.Message.From,
		Updates:       peer.ToMembers(cmd.Message.Updates),
		ConfigVersion: c.configVersion.Load(),
		MembersDigest: cmd.Message.Digest,
		AllMembers:    cmd.Message.RequestAll,
	})
	if err != nil {
		c.post(probeFailed{target: cmd.Target.Name})
		return
	}
	c.post(configEvent{confsync.PeerVersion{Peer: cmd.Target.Name, Version: resp.GetConfigVersion()}})
	c.post(probeAnswered{
		target:  cmd.Target.Name,
		sent:    sent,
		message: membership.Message{Updates: peer.FromMembers(resp.GetUpdates()), Digest: resp.GetMembersDigest()},
	})
}

type probeFailed struct{ target string }

func (e probeFailed) apply(c *Controller, now time.Time) {
	c.sendProbes(c.table.ProbeFailed(now, e.target))
}

type probeAnswered struct {
	target  string
	sent    time.Time
	message membership.Message
}

func (e probeAnswered) apply(c *Controller, now time.Time) {
	if e.sent.After(c.lastContact) {
		c.lastContact = e.sent
	}
	c.table.ProbeAnswered(now, e.target, e.message)
}

func (c *Controller) probeIndirectly(cmd membership.Command) {
	// The intermediary waits up to ProbeTimeout for its own probe, so the deadline
	// is twice that.
	ctx, cancel := context.WithTimeout(c.ctx, 2*c.opts.Members.ProbeTimeout)
	defer cancel()
	resp, err := c.peerClient.Peer(cmd.Via.PeerAddress).IndirectProbe(ctx, &peerapi.IndirectProbeRequest{
		From:   c.opts.Self.Name,
		Target: cmd.Target.PeerAddress,
	})
	c.post(indirectAnswered{target: cmd.Target.Name, reached: err == nil && resp.GetReached()})
}

type indirectAnswered struct {
	target  string
	reached bool
}

func (e indirectAnswered) apply(c *Controller, now time.Time) {
	c.table.IndirectProbeDone(now, e.target, e.reached)
}

// probeReceived is a probe from another host. The response is sent to reply.
type probeReceived struct {
	message membership.Message
	reply   chan membership.Message
}

func (e probeReceived) apply(c *Controller, now time.Time) {
	e.reply <- c.table.HandleProbe(now, e.message)
}
