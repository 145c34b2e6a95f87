package fleet

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/objects"
)

// Where commits wait for replicas, a replacement of the primary pauses the replicas before
// it orders a promotion. If its holder is lost then, nobody else knows whether an order may
// still be carried out, and the replicas stay paused. The holder therefore stores that it
// has begun before it pauses anything. The next holder completes such a replacement: its
// order has a higher token, and a promotion ends the pauses.

// pendingReplacement is a replacement of a primary that has begun and whose end is not
// known.
type pendingReplacement struct {
	// Primary is the ID of the primary; empty if there was none.
	Primary string `json:"primary"`
	// Holder is the host that began, with its incarnation.
	Holder string `json:"holder"`
}

// successionOf returns the state of the promotions of a service.
func (c *controller) successionOf(service string) *successionState {
	s := c.successions[service]
	if s == nil {
		s = &successionState{excludedUntil: map[string]time.Time{}}
		c.successions[service] = s
	}
	return s
}

// isRecorded reports whether the stored record shows that this host replaces the primary.
func (c *controller) isRecorded(service, primary string) bool {
	var stored logRecord
	return decode(c.logRecords.stored[service].Value, &stored) && stored.Pending != nil && *stored.Pending == pendingReplacement{primary, c.process()}
}

// recordReplacement makes the record of the service show that this host replaces the
// primary. The replacement goes on when that is stored.
func (c *controller) recordReplacement(service, primary string) {
	c.successionOf(service).pending = &pendingReplacement{primary, c.process()}
	c.storeLogRecord(service)
}

// process identifies this process among all holders of the duty.
func (c *controller) process() string { return c.host + "/" + c.incarnation }

// endReplacement forgets a replacement that has ended: another server leads, or it failed
// and nothing of it can take effect any more.
func (c *controller) endReplacement(primary string, s *successionState) {
	if !s.running && !s.unfinished && !s.mayTakeEffect(c.now(), primary) {
		s.pending = nil
	}
}

// adoptReplacement makes this host complete the replacement that another holder began.
func (c *controller) adoptReplacement(service string, pending *pendingReplacement) {
	s := c.successionOf(service)
	if pending == nil || pending.Holder == c.process() {
		return
	}
	s.pending, s.unfinished, s.replaced = pending, true, pending.Primary
	// It does not tell whether the present primary is the one that was ordered.
	s.unresolvedOrder = objects.Promotion{}
	c.log.WithFields(logrus.Fields{"event": "replacement_adopted", "service": service, "primary": pending.Primary, "holder": pending.Holder}).
		Info("former holder has begun to replace the primary; completing it")
}
