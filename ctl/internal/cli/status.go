package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/gypsumgap/gypsumgap/core/peerapi"
)

type statusCommand struct {
	hostOptions
	Service string `arg:"--service" placeholder:"NAME" help:"show only the databases of one service"`
	Slots   bool   `arg:"--slots" help:"also show the slots of each database"`
}

func (*statusCommand) example() string {
	return "gypsumctl status --platform http://127.0.0.1:5000 --service werkplaats-db --slots"
}

func (cmd *statusCommand) run(ctx context.Context, c *invocation) (report, error) {
	targets, err := cmd.targets(ctx, c)
	if err != nil {
		return nil, err
	}
	hosts, err := requestStatuses(ctx, targets, cmd.Service)
	return newStatusReport(hosts, cmd.Slots), err
}

// statusReport is the status of the hosts and of the databases that they own.
type statusReport struct {
	Hosts     []hostLine     `json:"hosts"`
	Databases []databaseLine `json:"databases"`
	showSlots bool
}

// hostLine is the state of a host, or the error of requesting it.
type hostLine struct {
	Host          string `json:"host"`
	Address       string `json:"address"`
	Zone          string `json:"zone,omitempty"`
	State         string `json:"state"`
	ConfigVersion uint64 `json:"config_version"`
	Databases     int    `json:"databases"`
	Error         string `json:"error,omitempty"`
}

// databaseLine is the state of a database as reported by its owner with the lowest
// rank.
type databaseLine struct {
	Database         string     `json:"database"`
	Service          string     `json:"service"`
	Owner            string     `json:"owner"`
	OwnerRank        uint32     `json:"owner_rank"`
	Term             uint64     `json:"term"`
	Primary          string     `json:"primary"`
	ConnectionsUsed  uint32     `json:"connections_used"`
	ConnectionsLimit uint32     `json:"connections_limit"`
	LastAction       string     `json:"last_action,omitempty"`
	LastReason       string     `json:"last_reason,omitempty"`
	LastActionAt     *time.Time `json:"last_action_at,omitempty"`
	Slots            []slotLine `json:"slots"`
}

// slotLine is the state of one slot of a database. Received and Applied are positions
// of the form TERM:OFFSET.
type slotLine struct {
	Slot        string `json:"slot"`
	Role        string `json:"role"`
	Zone        string `json:"zone"`
	Reachable   bool   `json:"reachable"`
	Leaving     bool   `json:"leaving"`
	Received    string `json:"received"`
	Applied     string `json:"applied"`
	AgeMillis   uint64 `json:"age_ms"`
	Connections uint32 `json:"connections"`
}

func newStatusReport(hosts []hostStatus, showSlots bool) *statusReport {
	r := &statusReport{Hosts: []hostLine{}, Databases: []databaseLine{}, showSlots: showSlots}
	for _, h := range hosts {
		r.Hosts = append(r.Hosts, newHostLine(h))
	}
	for _, o := range firstOwners(hosts) {
		r.Databases = append(r.Databases, newDatabaseLine(o))
	}
	return r
}

func newHostLine(h hostStatus) hostLine {
	if h.err != nil {
		state := "refused"
		if errors.Is(h.err, errUnreachable) {
			state = "unreachable"
		}
		return hostLine{Host: h.target.name, Address: h.target.address, State: state, Error: h.err.Error()}
	}
	return hostLine{
		Host:          h.answer.Host,
		Address:       h.target.address,
		Zone:          h.answer.Zone,
		State:         h.answer.State,
		ConfigVersion: h.answer.ConfigVersion,
		Databases:     len(h.answer.Databases),
	}
}

// databaseOwner is the state of a database as reported by one of the hosts that own it.
type databaseOwner struct {
	host     hostStatus
	database *peerapi.DatabaseStatus
}

// firstOwners returns, for each database, the state that its owner with the lowest
// rank reports, ordered by database name. Several owners may report the same rank if
// they disagree on which hosts are alive; the report with the highest term is used
// then.
func firstOwners(hosts []hostStatus) []databaseOwner {
	best := map[string]databaseOwner{}
	for _, h := range hosts {
		for _, db := range h.answer.GetDatabases() {
			o, ok := best[db.Database]
			if !ok || db.OwnerRank < o.database.OwnerRank ||
				db.OwnerRank == o.database.OwnerRank && db.Term > o.database.Term {
				best[db.Database] = databaseOwner{host: h, database: db}
			}
		}
	}
	out := make([]databaseOwner, 0, len(best))
	for _, o := range best {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b databaseOwner) int { return cmp.Compare(a.database.Database, b.database.Database) })
	return out
}

func newDatabaseLine(o databaseOwner) databaseLine {
	db := o.database
	line := databaseLine{
		Database:         db.Database,
		Service:          db.Service,
		Owner:            o.host.answer.Host,
		OwnerRank:        db.OwnerRank,
		Term:             db.Term,
		Primary:          db.PrimarySlot,
		ConnectionsUsed:  db.ConnectionsUsed,
		ConnectionsLimit: db.ConnectionsLimit,
		LastAction:       db.LastAction,
		LastReason:       db.LastReason,
		Slots:            []slotLine{},
	}
	if db.LastActionUnixMs > 0 {
		at := time.UnixMilli(int64(db.LastActionUnixMs)).UTC()
		line.LastActionAt = &at
	}
	for _, s := range db.Slots {
		line.Slots = append(line.Slots, newSlotLine(s))
	}
	return line
}

func newSlotLine(s *peerapi.SlotStatus) slotLine {
	return slotLine{
		Slot:        s.Slot,
		Role:        s.Role,
		Zone:        s.Zone,
		Reachable:   s.Reachable,
		Leaving:     s.Leaving,
		Received:    fmt.Sprintf("%d:%d", s.ReceivedTerm, s.ReceivedOffset),
		Applied:     fmt.Sprintf("%d:%d", s.AppliedTerm, s.AppliedOffset),
		AgeMillis:   s.AgeMs,
		Connections: s.Connections,
	}
}

func (r *statusReport) writeText(w io.Writer) {
	table := newTable(w)
	fmt.Fprintln(table, "HOST\tZONE\tSTATE\tCONFIGURATION\tDATABASES")
	for _, h := range r.Hosts {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\n", h.Host, orDash(h.Zone), h.State, h.ConfigVersion, h.Databases)
	}
	table.Flush()
	if len(r.Databases) == 0 {
		return
	}
	fmt.Fprintln(w)
	fmt.Fprintln(table, "DATABASE\tSERVICE\tOWNER\tTERM\tPRIMARY\tCONNECTIONS\tLAST ACTION")
	for _, db := range r.Databases {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d/%d\t%s\n", db.Database, db.Service, db.Owner, db.Term,
			orDash(db.Primary), db.ConnectionsUsed, db.ConnectionsLimit, lastAction(db))
	}
	table.Flush()
	if r.showSlots {
		r.writeSlots(w)
	}
}

func (r *statusReport) writeSlots(w io.Writer) {
	fmt.Fprintln(w)
	table := newTable(w)
	fmt.Fprintln(table, "SLOT\tDATABASE\tROLE\tZONE\tSTATE\tRECEIVED\tAPPLIED\tAGE\tCONNECTIONS")
	for _, db := range r.Databases {
		for _, s := range db.Slots {
			age := time.Duration(s.AgeMillis) * time.Millisecond
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n", s.Slot, db.Database, orDash(s.Role),
				s.Zone, slotState(s), s.Received, s.Applied, age, s.Connections)
		}
	}
	table.Flush()
}

func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0) }

func slotState(s slotLine) string {
	switch {
	case !s.Reachable:
		return "unreachable"
	case s.Leaving:
		return "leaving"
	default:
		return "reachable"
	}
}

func lastAction(db databaseLine) string {
	if db.LastAction == "" {
		return "-"
	}
	s := db.LastAction
	if db.LastReason != "" {
		s += " (" + db.LastReason + ")"
	}
	if db.LastActionAt != nil {
		s += " at " + db.LastActionAt.Format(time.RFC3339)
	}
	return s
}

func orDash(s string) string { return cmp.Or(s, "-") }
