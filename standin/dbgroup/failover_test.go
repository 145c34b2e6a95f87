package dbgroup_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/standin/dbgroup"
)

const (
	simulationSeeds     = 6
	simulationSteps     = 80
	simulationGroupSize = 5
)

// failoverSimulation runs random faults, writes and failovers on a group.
type failoverSimulation struct {
	t      *testing.T
	g      *dbgroup.Group
	random *rand.Rand
	// written is the number of rows written and the ID of the last one.
	written int
	// durable holds the IDs of rows whose record a commit quorum received.
	durable []int
}

// TestDurableCommitsSurviveFailovers guards against a failover that loses a durable commit,
// and against slots that differ after all follow the same primary. It simulates
// random faults and failovers that stop at a random step.
func TestDurableCommitsSurviveFailovers(t *testing.T) {
	for seed := range uint64(simulationSeeds) {
		h := &failoverSimulation{t: t, random: rand.New(rand.NewPCG(seed, 0))}
		h.g = startGroup(t, func(o *dbgroup.Options) { o.Size = simulationGroupSize })
		for range simulationSteps {
			h.step()
		}
		h.check(seed)
		h.g.Close()
	}
}

// slot returns a random slot.
func (h *failoverSimulation) slot() *dbgroup.Slot {
	return h.g.Slot(h.random.IntN(simulationGroupSize))
}

// step runs one random fault, repair, failover or write.
func (h *failoverSimulation) step() {
	switch h.random.IntN(10) {
	case 0:
		h.slot().Kill()
	case 1, 2:
		if err := h.slot().Restart(); err != nil {
			h.t.Fatal(err)
		}
	case 3:
		h.slot().CutSlots(h.random.IntN(simulationGroupSize))
	case 4:
		h.slot().CutSlots()
	case 5:
		h.failOver(true)
	default:
		h.write()
	}
}

// write inserts a row on each running slot with the role of primary, of which there
// can be several at different terms.
func (h *failoverSimulation) write() {
	for _, s := range h.g.Slots() {
		if !s.Running() || s.Status().Role != group.Primary {
			continue
		}
		h.written++
		c := connect(h.t, s)
		exec(h.t, c, "INSERT INTO jobs (id) VALUES ($1)", h.written)
		if h.received(s.Status().Received) >= group.CommitQuorum(simulationGroupSize) {
			h.durable = append(h.durable, h.written)
		}
		_ = c.Close(background)
	}
}

// received counts the slots that have received the position in the same term.
func (h *failoverSimulation) received(p group.Position) int {
	n := 0
	for _, s := range h.g.Slots() {
		if got := s.Status().Received; got.Term == p.Term && got.Covers(p) {
			n++
		}
	}
	return n
}

// failOver fences the slots at a new term, promotes the fenced slot with the latest
// received position and makes the others follow it, as section 5.1 of the design
// specifies. With mayStop it randomly omits slots or stops before the promotion.
func (h *failoverSimulation) failOver(mayStop bool) *dbgroup.Slot {
	term := group.Term(0)
	for _, s := range h.g.Slots() {
		term = max(term, s.Status().AcceptedTerm)
	}
	term++
	var granted []*dbgroup.Slot
	for _, s := range h.g.Slots() {
		if !s.Running() || mayStop && h.random.IntN(8) == 0 {
			continue
		}
		if _, err := s.Fence(term); err == nil {
			granted = append(granted, s)
		}
	}
	if len(granted) < group.FenceQuorum(simulationGroupSize) || mayStop && h.random.IntN(6) == 0 {
		return nil
	}
	best := slices.MaxFunc(granted, func(a, b *dbgroup.Slot) int {
		return a.Status().Received.Compare(b.Status().Received)
	})
	if _, err := best.Promote(background, term); err != nil {
		h.t.Fatal(err)
	}
	for _, s := range h.g.Slots() {
		if s == best || !s.Running() || mayStop && h.random.IntN(6) == 0 {
			continue
		}
		if _, err := s.Follow(term, best.Address()); err != nil {
			h.t.Fatal(err)
		}
	}
	return best
}

// check removes all faults, fails over, and compares the tables of all slots.
func (h *failoverSimulation) check(seed uint64) {
	for _, s := range h.g.Slots() {
		s.CutSlots()
		if err := s.Restart(); err != nil {
			h.t.Fatal(err)
		}
	}
	primary := h.failOver(false)
	want := h.ids(primary)
	for _, id := range h.durable {
		if !slices.Contains(want, id) {
			h.t.Errorf("seed %d: durable row %d of %d written rows was lost", seed, id, h.written)
		}
	}
	for _, s := range h.g.Slots() {
		awaitApplied(h.t, s, primary.Status().Received)
		if got := h.ids(s); !slices.Equal(got, want) {
			h.t.Errorf("seed %d: %s: got rows %v, want %v as on the primary", seed, s.ID(), got, want)
		}
	}
	h.t.Logf("seed %d: %d rows written, %d durable, %d kept", seed, h.written, len(h.durable), len(want))
}

// ids returns the row IDs on the slot in ascending order.
func (h *failoverSimulation) ids(s *dbgroup.Slot) []int {
	rows, _ := connect(h.t, s).Query(background, "SELECT id FROM jobs ORDER BY id")
	ids, err := pgx.CollectRows(rows, pgx.RowTo[int])
	if err != nil {
		h.t.Fatal(err)
	}
	return ids
}
