package route

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/admission"
	"github.com/gypsumgap/gypsumgap/core/group"
	"pgregory.net/rapid"
)

// ownerOp is one step of a randomized run. The steps are drawn before the run,
// like those of poolOp.
type ownerOp struct {
	Kind     string
	Slot     string
	Class    string
	Token    string
	ReadOnly bool
	On       bool
	Amount   int
	Hold     time.Duration
	Pass     time.Duration
}

var ownerOpKinds = []string{
	"begin", "begin", "begin", "begin", "begin", "begin", "begin", "begin", "begin",
	"pass", "pass", "promote", "lose", "commit", "apply", "refuse", "stick", "block", "limit", "drain",
}

func drawOwnerOp(t *rapid.T) ownerOp {
	return ownerOp{
		Kind:     rapid.SampledFrom(ownerOpKinds).Draw(t, "kind"),
		Slot:     rapid.SampledFrom([]string{"p", "r", "s"}).Draw(t, "slot"),
		Class:    rapid.SampledFrom([]string{"pay", "book", "stock", "report", "other"}).Draw(t, "class"),
		Token:    rapid.SampledFrom([]string{"", TokenNone, "last", "d/2:7", "d/9:1"}).Draw(t, "token"),
		ReadOnly: rapid.Bool().Draw(t, "read only"),
		On:       rapid.Bool().Draw(t, "on"),
		Amount:   rapid.IntRange(0, 5).Draw(t, "amount"),
		Hold:     rapid.SampledFrom([]time.Duration{1, 12, 400}).Draw(t, "hold") * time.Millisecond,
		Pass:     rapid.SampledFrom([]time.Duration{1, 12, 50, 700, 6000}).Draw(t, "pass") * time.Millisecond,
	}
}

// ownerModel checks the guarantees of an OwnerRouter during a randomized run.
type ownerModel struct {
	monitor  *fakeMonitor
	net      *fakeNet
	router   *OwnerRouter
	requests sync.WaitGroup

	mu    sync.Mutex
	limit int
	acked group.Position // of the last acknowledged commit
	err   error
}

func (r *ownerModel) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = fmt.Errorf(format, args...)
	}
}

func (r *ownerModel) currentLimit() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limit
}

func (r *ownerModel) dial(ctx context.Context, t Target) (Conn, error) {
	if open, _ := r.net.count(t.Peer); open+1 > r.currentLimit() {
		r.fail("dial of connection %d to %s, limit %d", open+1, t.Peer, r.currentLimit())
	}
	return r.net.dial(ctx, t)
}

// request returns the request and the position that a read must see.
func (r *ownerModel) request(op ownerOp) (Request, group.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := Request{Database: "d", Class: op.Class, Token: op.Token, ReadOnly: op.ReadOnly}
	switch op.Token {
	case "":
		return q, r.acked
	case "last":
		q.Token = FormatToken("d", r.acked)
		return q, r.acked
	}
	need, _, _ := ParseToken(q.Token, "d")
	return q, need
}

func (r *ownerModel) begin(op ownerOp) {
	q, need := r.request(op)
	r.requests.Go(func() {
		start := time.Now()
		tx, err := r.router.Begin(context.Background(), q)
		deadline := NewPolicy(testService()).class(q.Class).deadline
		if elapsed := time.Since(start); elapsed > deadline {
			r.fail("Begin took %v, deadline %v", elapsed, deadline)
		}
		var notRun *NotRunError
		if err != nil {
			if !errors.As(err, &notRun) {
				r.fail("Begin failed with %T: %v", err, err)
			}
			return
		}
		r.use(tx.(*ownerTx), op, need)
	})
}

func (r *ownerModel) use(tx *ownerTx, op ownerOp, need group.Position) {
	defer tx.Release(op.On)
	r.checkDestination(tx, need)
	time.Sleep(op.Hold)
	token, err := tx.Finish(context.Background())
	var unknown *UnknownOutcomeError
	var stale *StaleReadError
	switch {
	case err == nil:
		r.checkFinished(tx, need, token)
	case tx.path == PathReplica, tx.readOnly && !errors.As(err, &stale), !tx.readOnly && !errors.As(err, &unknown):
		r.fail("Finish on path %d failed with %v", tx.path, err)
	}
}

// checkDestination checks that the slot may serve the transaction now.
func (r *ownerModel) checkDestination(tx *ownerTx, need group.Position) {
	r.monitor.mu.Lock()
	defer r.monitor.mu.Unlock()
	if tx.path != PathReplica {
		if tx.term != r.monitor.term || tx.slot != r.monitor.primary.ID {
			r.fail("sent to %s in term %d, the primary is %s in term %d", tx.slot, tx.term, r.monitor.primary.ID, r.monitor.term)
		}
		return
	}
	for _, replica := range r.monitor.replicas {
		if replica.slot.ID == tx.slot && !replica.applied.Covers(need) {
			r.fail("read of %v sent to %s, which has applied %v", need, tx.slot, replica.applied)
		}
	}
}

func (r *ownerModel) checkFinished(tx *ownerTx, need group.Position, token string) {
	if tx.path == PathReplica {
		return
	}
	r.monitor.mu.Lock()
	term, position := r.monitor.term, r.monitor.position
	r.monitor.mu.Unlock()
	if tx.term != term {
		r.fail("confirmed in term %d, the group is in term %d", tx.term, term)
	}
	if tx.readOnly {
		if !position.Covers(need) {
			r.fail("read of %v confirmed at %v", need, position)
		}
		return
	}
	if token != FormatToken("d", position) {
		r.fail("token %q for position %v", token, position)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked = position
}

func (r *ownerModel) step(op ownerOp) {
	switch op.Kind {
	case "begin":
		r.begin(op)
	case "pass":
		time.Sleep(op.Pass)
	case "promote":
		r.monitor.promote(op.Slot, r.monitor.term+1)
	case "lose":
		r.monitor.set(func(g *fakeMonitor) { g.known = !g.known })
	case "commit":
		r.monitor.set(func(g *fakeMonitor) {
			g.position.Offset += 10
			g.barrier = g.position
		})
	case "apply":
		r.monitor.set(func(g *fakeMonitor) {
			replica := &g.replicas[op.Amount%len(g.replicas)]
			replica.applied = g.position
			replica.age = time.Duration(op.Amount*3) * time.Second
		})
	case "refuse":
		r.net.setRefuse(op.Slot, op.On)
	case "stick":
		r.monitor.set(func(g *fakeMonitor) { g.stalled = op.On })
	case "block":
		r.monitor.set(func(g *fakeMonitor) { g.barrierBlocked = op.On })
	case "limit":
		r.mu.Lock()
		r.limit = op.Amount
		r.mu.Unlock()
	case "drain":
		r.router.DrainSlot(group.SlotID(op.Slot))
	}
}

func (r *ownerModel) run(ops []ownerOp) error {
	for _, op := range ops {
		r.step(op)
		synctest.Wait()
	}
	r.requests.Wait()
	r.checkIdle(r.router.primary, "primary")
	for id, l := range r.router.replicas.Range {
		r.checkIdle(l.(*admission.Limiter), string(id.(group.SlotID)))
	}
	r.checkLiveness()
	r.router.Close()
	for peer, n := range r.net.open {
		if n != 0 {
			r.fail("%d connections to %s are open at the end", n, peer)
		}
	}
	return r.err
}

func (r *ownerModel) checkIdle(l *admission.Limiter, name string) {
	if n, waiting := l.Load(); n != 0 || waiting != 0 {
		r.fail("limiter of %s has %d admitted and %d waiting at the end", name, n, waiting)
	}
}

// checkLiveness checks that a write succeeds after all faults have ended.
func (r *ownerModel) checkLiveness() {
	r.mu.Lock()
	r.limit = 3
	r.mu.Unlock()
	for _, slot := range []string{"p", "r", "s"} {
		r.net.setRefuse(slot, false)
	}
	r.monitor.set(func(g *fakeMonitor) { g.stalled, g.barrierBlocked, g.known = false, false, true })
	if _, err := runTx(context.Background(), r.router, Request{Class: "pay"}, 0); err != nil {
		r.fail("after all faults: %v", err)
	}
}

// Guards against reads that miss acknowledged writes, commits confirmed in
// another term, requests that wait beyond their deadline or fail with an
// unexpected error type, and leaked connections or admissions, under any order
// of requests, changes of primary and faults.
func TestOwnerRouterUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ops := rapid.SliceOfN(rapid.Custom(drawOwnerOp), 1, 60).Draw(rt, "ops")
		var err error
		synctest.Test(t, func(*testing.T) {
			r := &ownerModel{monitor: newFakeMonitor(), net: newFakeNet(), limit: 3}
			r.monitor.replicas = append(r.monitor.replicas, fakeReplica{slot: slotOf("s")})
			r.router = NewOwnerRouter(OwnerConfig{
				Database:  "d",
				Slots:     []group.Slot{slotOf("p"), slotOf("r"), slotOf("s")},
				Policy:    NewPolicy(testService()),
				Monitor:   r.monitor,
				Dial:      r.dial,
				PeerLimit: r.currentLimit,
			})
			err = r.run(ops)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}
