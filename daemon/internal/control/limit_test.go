package control

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
	_ "github.com/gypsumgap/gypsumgap/core/testseed"
)

// Guards against a limit that is exceeded at a backend server while hosts
// start, stop, die, pause, are cut off, disagree about the platform's list, and
// while the store is down, slow or loses answers.
func TestLimitHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 2, 7).Draw(rt, "steps")
		var found string
		inBubble(t, func(t *testing.T) { found = runFaults(t, seed, steps) })
		if found != "" {
			rt.Fatal(found)
		}
	})
}

const faultHosts = 5

// step is one fault, and how long it lasts before the next.
type step struct {
	kind        string
	host, other int
	lasts       time.Duration
	heal        bool
}

func drawStep(rt *rapid.T) step {
	return step{
		kind:  rapid.SampledFrom(faultKinds).Draw(rt, "fault"),
		host:  rapid.IntRange(0, faultHosts-1).Draw(rt, "host"),
		other: rapid.IntRange(1, faultHosts-1).Draw(rt, "other"),
		lasts: time.Duration(rapid.IntRange(0, 40).Draw(rt, "seconds")) * time.Second,
		heal:  rapid.Bool().Draw(rt, "heal"),
	}
}

func runFaults(t *testing.T, seed uint64, steps []step) string {
	w := newWorld(t, seed, 3)
	ctx, cancel := context.WithCancel(context.Background())
	defer w.stopAll()
	defer cancel()
	procs := make([]*proc, faultHosts)
	w.list(faultHosts)
	for i := range faultHosts - 1 {
		procs[i] = w.startBusy(ctx, i)
	}
	time.Sleep(15 * time.Second)
	for _, s := range steps {
		w.fault(ctx, procs, s)
		time.Sleep(s.lasts)
		if found := w.violation(); found != "" {
			return found
		}
		if s.heal {
			w.heal(procs)
		}
	}
	w.heal(procs)
	time.Sleep(60 * time.Second)
	return w.violation()
}

func (w *world) startBusy(ctx context.Context, i int) *proc {
	p := w.start(i)
	p.use(ctx, 8, 200*time.Millisecond)
	return p
}

func (w *world) fault(ctx context.Context, procs []*proc, s step) {
	i, j := s.host, (s.host+s.other)%faultHosts
	p := procs[i]
	if p == nil {
		procs[i] = w.startBusy(ctx, i)
		return
	}
	switch s.kind {
	case "kill":
		p.kill()
		procs[i] = nil
	case "restart":
		p.kill()
		procs[i] = w.startBusy(ctx, i)
	case "stop":
		p.ctl.Leave()
		time.Sleep(time.Second)
		p.exit()
		procs[i] = nil
	case "pause":
		p.pause()
	case "drop":
		w.dropConnections(p)
	case "pausedrop":
		p.pause()
		w.dropConnections(p)
	case "resume":
		p.resume()
	case "cut":
		w.cut(p.name, hostName(j), true)
	case "isolate":
		for k := range faultHosts {
			w.cut(p.name, hostName(k), k != i)
		}
	case "slot":
		w.cut(p.name, string(w.slots[j%3].ID), true)
	case "list":
		w.list(1 + j)
	case "hoststore":
		p.setStore(false)
	case "down":
		w.store.SetFaults(platformtest.Faults{Down: true})
	case "lose":
		w.store.SetFaults(platformtest.Faults{LoseResponses: 2, Delay: 500 * time.Millisecond})
	case "loss":
		w.setLoss(0.3)
	}
}

var faultKinds = []string{"kill", "restart", "stop", "pause", "pausedrop", "drop", "resume", "cut", "isolate", "slot", "list", "hoststore", "down", "lose", "loss"}

// heal ends every fault but the death of hosts.
func (w *world) heal(procs []*proc) {
	w.store.SetFaults(platformtest.Faults{})
	w.mu.Lock()
	clear(w.cuts)
	w.mu.Unlock()
	w.setLoss(0)
	w.group.HealAll()
	w.list(faultHosts)
	for _, p := range procs {
		if p != nil {
			p.resume()
			p.setStore(true)
		}
	}
}
