package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/statement"
)

// Guards against a former primary that leads again and is not used for seconds, because
// hosts still hold the suspension from before.
func TestPrimaryThatLeadsAgainIsUsed(t *testing.T) {
	deploy(t, func(d *deployment) {
		holder := d.hosts[d.holder()]
		d.waitForReplicas()
		time.Sleep(6 * time.Second)
		for _, id := range []string{"s2", "s3"} {
			d.service.SetReplicationPaused(id, true)
		}
		// Not acknowledged: it makes the log of the primary the longest.
		d.write(d.hosts[0], "w")
		s := queryState(holder, func() *suspension { return holder.suspensionOf(holder.groups["service"], "s1", holder.log) })
		s.begin(d.ctx)
		if d.write(d.hosts[0], "x") {
			d.t.Error("a write was sent to a suspended primary")
		}
		ctx, cancel := context.WithTimeout(d.ctx, time.Second)
		defer cancel()
		if _, err := s.group.Primary().SendCommand(ctx, statement.Statement{Kind: statement.Demote, Term: 2}); err != nil {
			d.t.Fatal(err)
		}
		time.Sleep(3500 * time.Millisecond)
		for _, id := range []string{"s2", "s3"} {
			d.service.SetReplicationPaused(id, false)
		}
		if p := d.service.Primary(); p != "s1" || !d.write(d.hosts[0], "y") {
			d.t.Errorf("primary is %q, want s1, and it must be used", p)
		}
	})
}
