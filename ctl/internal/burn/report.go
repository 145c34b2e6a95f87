package burn

import (
	"fmt"
	"strconv"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
)

// Level is the urgency of a burn rate.
type Level string

// The levels of urgency.
const (
	// Fine means that no action is needed.
	Fine Level = "fine"
	// Ticket means that action is needed, but not at once.
	Ticket Level = "ticket"
	// Page means that an immediate response is needed.
	Page Level = "page"
	// Unknown is the level of an objective without events.
	Unknown Level = "unknown"
)

// alertRule raises an alert of a level if the burn rates over both of its windows
// exceed the threshold.
type alertRule struct {
	long, short time.Duration
	threshold   float64
	level       Level
}

// alertRules holds the rules, those with the most urgent level first. At the
// threshold, 2% of a 30-day budget are used up in 1 h, 5% in 6 h and 10% in 3 days.
var alertRules = []alertRule{
	{long: time.Hour, short: 5 * time.Minute, threshold: 14.4, level: Page},
	{long: 6 * time.Hour, short: 30 * time.Minute, threshold: 6, level: Page},
	{long: 72 * time.Hour, short: 6 * time.Hour, threshold: 1, level: Ticket},
}

// Windows lists the windows of a report, from the shortest to the longest.
var Windows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour,
}

// Rate is the burn rate over one window.
type Rate struct {
	Window config.Duration `json:"window"`
	// Covered is the duration of the part of the window that the history covers.
	Covered config.Duration `json:"covered"`
	Events  Events          `json:"events"`
	// Burn is nil if there were no events.
	Burn *float64 `json:"burn"`
}

// String formats the rate with two decimals, or returns "-" if there were no events.
// It appends an asterisk if the history covers only a part of the window.
func (r Rate) String() string {
	if r.Burn == nil {
		return "-"
	}
	s := strconv.FormatFloat(*r.Burn, 'f', 2, 64)
	// The scrapes rarely coincide with the start of a window, so a coverage of
	// 90% counts as complete.
	if r.Covered.Std() < r.Window.Std()*9/10 {
		s += "*"
	}
	return s
}

// WindowName formats a window of whole hours or whole minutes, such as 6h or 5m.
func WindowName(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}

// ObjectiveStatus is the state of one objective of one service.
type ObjectiveStatus struct {
	Service   string    `json:"service"`
	Objective Objective `json:"objective"`
	// Target is the share of events that must be good, between 0 and 1.
	Target float64 `json:"promised"`
	Level  Level   `json:"level"`
	// Rates holds the burn rate over each of Windows, in the same order.
	Rates []Rate `json:"rates"`
}

// Report returns the state of the objectives of all services at the time now, ordered
// by service. It leaves out objectives that a service does not set, and those with a
// target of 1, which have no error budget.
func (h *History) Report(now time.Time, snapshot *config.Snapshot) []ObjectiveStatus {
	statuses := []ObjectiveStatus{}
	for _, name := range snapshot.Names() {
		for _, o := range Objectives {
			target := o.target(snapshot.Service(name))
			if target <= 0 || target >= 1 {
				continue
			}
			statuses = append(statuses, h.objectiveStatus(now, name, o, target))
		}
	}
	return statuses
}

// objectiveStatus computes the burn rates and the level of one objective.
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

// alertLevel returns the most urgent level whose rule is exceeded in both windows,
// given the burn rate of each window. It returns Unknown if no long window has
// events.
func alertLevel(burns map[time.Duration]*float64) Level {
	known := false
	for _, rule := range alertRules {
		long, short := burns[rule.long], burns[rule.short]
		known = known || long != nil
		if long != nil && short != nil && *long > rule.threshold && *short > rule.threshold {
			return rule.level
		}
	}
	if !known {
		return Unknown
	}
	return Fine
}

// burnRate returns the burn rate of events for a target, or nil if there are none or
// the rate is not finite.
func burnRate(e Events, target float64) *float64 {
	if e.Total <= 0 {
		return nil
	}
	bad := max(0, e.Total-e.Good)
	burn := bad / e.Total / (1 - target)
	if !isFinite(burn) {
		return nil
	}
	return &burn
}
