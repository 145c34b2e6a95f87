package control

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
	_ "github.com/gypsumgap/gypsumgap/core/testseed"
)

// Guards against exceeding the connection limit of a backend server while hosts
// start, stop, crash, pause, lose network connections or read different host
// lists, and while the store is down, slow or loses responses.
func TestLimitHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.Custom(drawFaultStep), 2, 7).Draw(rt, "steps")
		var found string
		inVirtualTime(t, func(t *testing.T) { found = runFaultSteps(t, seed, steps) })
		if found != "" {
			rt.Fatal(found)
		}
	})
}

const faultHostCount = 5

// faultStep is one fault and the time until the next one. If heal is set, all
// faults except crashes end after that time.
type faultStep struct {
	kind        string
	host, other int
	lasts       time.Duration
	heal        bool
}

func drawFaultStep(rt *rapid.T) faultStep {
	return faultStep{
		kind:  rapid.SampledFrom(faultKinds).Draw(rt, "fault"),
		host:  rapid.IntRange(0, faultHostCount-1).Draw(rt, "host"),
		other: rapid.IntRange(1, faultHostCount-1).Draw(rt, "other"),
		lasts: time.Duration(rapid.IntRange(0, 40).Draw(rt, "seconds")) * time.Second,
		heal:  rapid.Bool().Draw(rt, "heal"),
	}
}

func runFaultSteps(t *testing.T, seed uint64, steps []faultStep) string {
	sim := newSimulation(t, seed, 3)
	ctx, cancel := context.WithCancel(context.Background())
	defer sim.stopAll()
	defer cancel()
	procs := make([]*proc, faultHostCount)
	sim.list(faultHostCount)
	for i := range faultHostCount - 1 {
		procs[i] = sim.startLoaded(ctx, i)
	}
	time.Sleep(15 * time.Second)
	for _, s := range steps {
		sim.fault(ctx, procs, s)
		time.Sleep(s.lasts)
		if found := sim.violation(); found != "" {
			return found
		}
		if s.heal {
			sim.heal(procs)
		}
	}
	sim.heal(procs)
	time.Sleep(60 * time.Second)
	return sim.violation()
}

func (sim *simulation) startLoaded(ctx context.Context, i int) *proc {
	p := sim.start(i)
	p.runLoad(ctx, 8, 200*time.Millisecond)
	return p
}

func (sim *simulation) fault(ctx context.Context, procs []*proc, s faultStep) {
	i, j := s.host, (s.host+s.other)%faultHostCount
	p := procs[i]
	if p == nil {
		procs[i] = sim.startLoaded(ctx, i)
		return
	}
	switch s.kind {
	case "kill":
		p.kill()
		procs[i] = nil
	case "restart":
		p.kill()
		procs[i] = sim.startLoaded(ctx, i)
	case "stop":
		p.ctl.Leave()
		time.Sleep(time.Second)
		p.exit()
		procs[i] = nil
	case "pause":
		p.pause()
	case "drop":
		sim.dropConnections(p)
	case "pausedrop":
		p.pause()
		sim.dropConnections(p)
	case "resume":
		p.resume()
	case "cut":
		sim.cut(p.name, hostName(j), true)
	case "isolate":
		for k := range faultHostCount {
			sim.cut(p.name, hostName(k), k != i)
		}
	case "slot":
		sim.cut(p.name, string(sim.slots[j%3].ID), true)
	case "list":
		sim.list(1 + j)
	case "hoststore":
		p.setStore(false)
	case "down":
		sim.store.SetFaults(platformtest.Faults{Down: true})
	case "lose":
		sim.store.SetFaults(platformtest.Faults{LoseResponses: 2, Delay: 500 * time.Millisecond})
	case "loss":
		sim.setLoss(0.3)
	}
}

var faultKinds = []string{"kill", "restart", "stop", "pause", "pausedrop", "drop", "resume", "cut", "isolate", "slot", "list", "hoststore", "down", "lose", "loss"}

// heal ends every fault except crashes of hosts.
func (sim *simulation) heal(procs []*proc) {
	sim.store.SetFaults(platformtest.Faults{})
	sim.mu.Lock()
	clear(sim.cuts)
	sim.mu.Unlock()
	sim.setLoss(0)
	sim.group.HealAll()
	sim.list(faultHostCount)
	for _, p := range procs {
		if p != nil {
			p.resume()
			p.setStore(true)
		}
	}
}
