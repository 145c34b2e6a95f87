package burn

import (
	"fmt"
	"strconv"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
)

// Level says how urgent a burn rate is.
type Level string

// The levels. Unknown is the level of an objective without events.
const (
	Fine    Level = "fine"
	Ticket  Level = "ticket"
	Page    Level = "page"
	Unknown Level = "unknown"
)

// alertRule is a long and a short window with their threshold.
type alertRule struct {
	long, short time.Duration
	threshold   float64
	level       Level
}

// alertRules use up 2% of a 30-day budget in 1 h, 5% in 6 h and 10% in 3 days. The
// fastestBurning level comes first.
var alertRules = []alertRule{
	{long: time.Hour, short: 5 * time.Minute, threshold: 14.4, level: Page},
	{long: 6 * time.Hour, short: 30 * time.Minute, threshold: 6, level: Page},
	{long: 72 * time.Hour, short: 6 * time.Hour, threshold: 1, level: Ticket},
}

// Windows lists the windows of a report from the shortest to the longest.
var Windows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour,
}

// Rate is the burn rate of one window.
type Rate struct {
	Window config.Duration `json:"window"`
	// Covered is the part of the window that the history covers.
	Covered config.Duration `json:"covered"`
	Events  Events          `json:"events"`
	// Burn is nil if there were no events.
	Burn *float64 `json:"burn"`
}

// String formats the rate, "-" if there were no events, with a mark if the
// history covers the window in part.
func (r Rate) String() string {
	if r.Burn == nil {
		return "-"
	}
	s := strconv.FormatFloat(*r.Burn, 'f', 2, 64)
	// Scrapes don't meet the edge of a window exactly.
	if r.Covered.Std() < r.Window.Std()*9/10 {
		s += "*"
	}
	return s
}

// WindowName formats a window of whole hours or minutes.
func WindowName(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}

// ObjectiveStatus is one objective of one service.
type ObjectiveStatus struct {
	Service   string    `json:"service"`
	Objective Objective `json:"objective"`
	Target    float64   `json:"promised"`
	Level     Level     `json:"level"`
	Rates     []Rate    `json:"rates"`
}

// Report compares the history with the objectives of all services, ordered by
// service. Objectives that a service does not set are left out, and so are
// those that allow no bad event at all, which have no budget to burn.
func (h *History) Report(now time.Time, snapshot *config.Snapshot) []ObjectiveStatus {
	lines := []ObjectiveStatus{}
	for _, name := range snapshot.Names() {
		for _, o := range Objectives {
			target := o.target(snapshot.Service(name))
			if target <= 0 || target >= 1 {
				continue
			}
			lines = append(lines, h.objectiveStatus(now, name, o, target))
		}
	}
	return lines
}

func (h *History) objectiveStatus(now time.Time, service string, o Objective, target float64) ObjectiveStatus {
	l := ObjectiveStatus{Service: service, Objective: o, Target: target, Level: Unknown}
	burns := map[time.Duration]*float64{}
	for _, window := range Windows {
		events, covered := h.sum(now, window, service, o)
		r := Rate{
			Window:  config.Duration(window),
			Covered: config.Duration(covered),
			Events:  events,
			Burn:    burnRate(events, target),
		}
		burns[window] = r.Burn
		l.Rates = append(l.Rates, r)
	}
	l.Level = alertLevel(burns)
	return l
}

// alertLevel returns the fastestBurning alertLevel whose pair of windows exceeds its threshold.
func alertLevel(burns map[time.Duration]*float64) Level {
	known := false
	for _, p := range alertRules {
		long, short := burns[p.long], burns[p.short]
		known = known || long != nil
		if long != nil && short != nil && *long > p.threshold && *short > p.threshold {
			return p.level
		}
	}
	if !known {
		return Unknown
	}
	return Fine
}

// burnRate returns the burn burnRate of events, or nil if there are none.
func burnRate(e Events, target float64) *float64 {
	if e.Total <= 0 {
		return nil
	}
	bad := max(0, e.Total-e.Good)
	burn := bad / e.Total / (1 - target)
	return &burn
}
