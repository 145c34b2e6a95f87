package dbgroup

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/standin/latency"
)

// maxFaultsBody is the maximum size in bytes of a request body at the admin
// endpoint, and of an error response that AdminClient reads.
const maxFaultsBody = 64 << 10

// Faults is a change of a slot's faults and settings. A nil field leaves its value unchanged.
type Faults struct {
	// Killed kills the slot if true and restarts it if false.
	Killed *bool `json:"killed,omitempty"`
	// Frozen freezes the slot if true and ends the freeze if false.
	Frozen *bool `json:"frozen,omitempty"`
	// CutSlots lists the indexes of the slots to cut this one off from; see Slot.CutSlots.
	CutSlots *[]int `json:"cut_slots,omitempty"`
	// CutClients lists addresses or prefixes of the clients to cut off; see Slot.CutClients.
	CutClients *[]string `json:"cut_clients,omitempty"`
	// SilenceConnections, if true, permanently silences the connections open now;
	// see Slot.SilenceConnections.
	SilenceConnections *bool `json:"silence_connections,omitempty"`
	// Leaving sets the status flag that announces that the slot is about to stop.
	Leaving *bool `json:"leaving,omitempty"`
	// ApplyLag is the time between receiving a record and applying it.
	ApplyLag *latency.Duration `json:"apply_lag,omitempty"`
	// ConnectTime is the delay of the response to a startup message.
	ConnectTime *latency.Duration `json:"connect_time,omitempty"`
	// ConnectionLimit is the maximum number of client connections.
	ConnectionLimit *int `json:"connection_limit,omitempty"`
}

// SlotState is the state of a slot in responses of the admin endpoint.
type SlotState struct {
	ID         string       `json:"id"`
	Address    string       `json:"address"`
	Zone       string       `json:"zone"`
	Running    bool         `json:"running"`
	Frozen     bool         `json:"frozen"`
	CutSlots   []int        `json:"cut_slots"`
	CutClients []string     `json:"cut_clients"`
	Status     group.Status `json:"status"`
}

// GroupState is the state of a group in responses of the admin endpoint.
type GroupState struct {
	Name  string      `json:"name"`
	Slots []SlotState `json:"slots"`
}

// SetFaults applies the faults. It validates all fields first and fails without a
// change on an unknown slot, a malformed address, or a negative time or limit. If
// a killed slot cannot be restarted, it fails after the other changes.
func (s *Slot) SetFaults(f Faults) error {
	prefixes, err := s.validateFaults(f)
	if err != nil {
		return err
	}
	s.applyNetworkFaults(f, prefixes)
	s.applySettings(f)
	if f.Killed == nil {
		return nil
	}
	if *f.Killed {
		s.Kill()
		return nil
	}
	return s.Restart()
}

// validateFaults checks the fields and returns the parsed CutClients.
func (s *Slot) validateFaults(f Faults) ([]netip.Prefix, error) {
	if f.CutSlots != nil {
		for _, i := range *f.CutSlots {
			if i < 0 || i >= len(s.group.slots) {
				return nil, fmt.Errorf("cut_slots: %d is not a slot of 0 to %d", i, len(s.group.slots)-1)
			}
		}
	}
	if f.ApplyLag != nil && *f.ApplyLag < 0 || f.ConnectTime != nil && *f.ConnectTime < 0 ||
		f.ConnectionLimit != nil && *f.ConnectionLimit < 0 {
		return nil, fmt.Errorf("times and limits must not be negative")
	}
	if f.CutClients == nil {
		return nil, nil
	}
	var prefixes []netip.Prefix
	for _, text := range *f.CutClients {
		prefix, err := ParseClientPrefix(text)
		if err != nil {
			return nil, fmt.Errorf("cut_clients: %w", err)
		}
		prefixes = append(prefixes, prefix)
	}
	return prefixes, nil
}

func (s *Slot) applyNetworkFaults(f Faults, prefixes []netip.Prefix) {
	s.updateNetworkFaults(func(n *networkFaults) {
		if f.Frozen != nil {
			n.frozen = *f.Frozen
		}
		if f.CutSlots != nil {
			n.partitionedSlots = append([]int(nil), *f.CutSlots...)
		}
		if f.CutClients != nil {
			n.partitionedClients = prefixes
		}
	})
	if f.SilenceConnections != nil && *f.SilenceConnections {
		s.SilenceConnections()
	}
}

func (s *Slot) applySettings(f Faults) {
	s.updateSettings(func(o *slotSettings) {
		if f.Leaving != nil {
			o.leaving = *f.Leaving
		}
		if f.ApplyLag != nil {
			o.applyLag = f.ApplyLag.Std()
		}
		if f.ConnectTime != nil {
			o.connectTime = f.ConnectTime.Std()
		}
		if f.ConnectionLimit != nil {
			o.connectionLimit = *f.ConnectionLimit
		}
	})
}

// State returns the slot's faults and status.
func (s *Slot) State() SlotState {
	n := s.network.Load()
	state := SlotState{
		ID: s.id, Address: s.address, Zone: s.zone,
		Running: s.Running(), Frozen: n.frozen,
		CutSlots: append([]int{}, n.partitionedSlots...), CutClients: []string{},
		Status: s.Status(),
	}
	for _, prefix := range n.partitionedClients {
		state.CutClients = append(state.CutClients, prefix.String())
	}
	return state
}

// State returns the state of all slots.
func (g *Group) State() GroupState {
	state := GroupState{Name: g.Name()}
	for _, slot := range g.slots {
		state.Slots = append(state.Slots, slot.State())
	}
	return state
}

// Admin returns the HTTP handler that shows and changes groups:
//
//	GET  /groups                       all groups
//	GET  /groups/{group}               one group
//	POST /groups/{group}/slots/{slot}  apply Faults to the slot of this index
//
// Bodies are JSON. The response to an error has status 400 or 404 and a line of text.
func Admin(groups ...*Group) http.Handler {
	a := admin{groups}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /groups", a.list)
	mux.HandleFunc("GET /groups/{group}", a.show)
	mux.HandleFunc("POST /groups/{group}/slots/{slot}", a.set)
	return mux
}

// admin implements the HTTP handler that Admin returns.
type admin struct{ groups []*Group }

func (a admin) list(w http.ResponseWriter, _ *http.Request) {
	states := []GroupState{}
	for _, g := range a.groups {
		states = append(states, g.State())
	}
	writeJSON(w, states)
}

func (a admin) show(w http.ResponseWriter, r *http.Request) {
	if g := a.find(w, r); g != nil {
		writeJSON(w, g.State())
	}
}

func (a admin) set(w http.ResponseWriter, r *http.Request) {
	g := a.find(w, r)
	if g == nil {
		return
	}
	index, err := strconv.Atoi(r.PathValue("slot"))
	if err != nil || index < 0 || index >= len(g.slots) {
		http.Error(w, "unknown slot", http.StatusNotFound)
		return
	}
	var faults Faults
	body := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBody))
	body.DisallowUnknownFields()
	if err := body.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := g.slots[index].SetFaults(faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, g.slots[index].State())
}

// find returns the group that the path names, or responds with 404 and returns nil.
func (a admin) find(w http.ResponseWriter, r *http.Request) *Group {
	for _, g := range a.groups {
		if g.Name() == r.PathValue("group") {
			return g
		}
	}
	http.Error(w, "unknown group", http.StatusNotFound)
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the client is gone, so it cannot be reported.
	_ = json.NewEncoder(w).Encode(v)
}

// AdminClient calls the admin endpoint of another process.
type AdminClient struct {
	// URL is the base URL of the endpoint, for example "http://127.0.0.1:5001".
	URL string
	// HTTP is the client to use; nil for http.DefaultClient.
	HTTP *http.Client
}

// Groups returns the state of all groups. It fails if the request fails or the
// response cannot be decoded.
func (a AdminClient) Groups(ctx context.Context) ([]GroupState, error) {
	var states []GroupState
	return states, a.call(ctx, http.MethodGet, "/groups", nil, &states)
}

// SetFaults applies faults to the slot with the index and returns its new state.
// It fails if the request fails or the endpoint rejects the faults.
func (a AdminClient) SetFaults(ctx context.Context, group string, slot int, f Faults) (SlotState, error) {
	var state SlotState
	return state, a.call(ctx, http.MethodPost, fmt.Sprintf("/groups/%s/slots/%d", group, slot), f, &state)
}

// call sends a request with a JSON body and decodes the response into out.
func (a AdminClient) call(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, a.URL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	client := a.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxFaultsBody))
		return fmt.Errorf("%s %s: %s: %s", method, path, response.Status, bytes.TrimSpace(text))
	}
	return json.NewDecoder(response.Body).Decode(out)
}
