package burn

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// retention is the age up to which points are kept, that of the longest window.
const retention = 3 * 24 * time.Hour

// History is what earlier scrapes found.
type History struct {
	// Points are ordered by time.
	Points []Point `json:"points"`
	// Last holds the counters of each host at its last scrape.
	Last map[string]Counters `json:"last"`
}

// Point is the increase of all hosts between two scrapes.
type Point struct {
	// From and To are the times of the scrapes.
	From   time.Time `json:"from"`
	To     time.Time `json:"to"`
	Events Counters  `json:"events"`
}

func (p Point) midpoint() time.Time { return p.From.Add(p.To.Sub(p.From) / 2) }

// ReadHistory reads a history file; one that does not exist is empty.
func ReadHistory(file string) (*History, error) {
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return &History{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	var h History
	if err := json.Unmarshal(data, &h); err != nil {
		return nil, fmt.Errorf("history %s: %w", file, err)
	}
	return &h, nil
}

// Write replaces a history file at once, so that a crash leaves the earlier one.
func (h *History) Write(file string) error {
	data, err := json.Marshal(h)
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	temporary, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	defer os.Remove(temporary.Name())
	_, err = temporary.Write(data)
	if err := errors.Join(err, temporary.Close()); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	if err := os.Rename(temporary.Name(), file); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return nil
}

// Add adds a scrape. The first scrape of a host gives no increase, because its
// counters may be older than the history. Hosts that are missing in the
// scrape keep their last counters.
func (h *History) Add(now time.Time, hosts map[string]Counters) {
	from := now
	if len(h.Points) > 0 {
		from = h.Points[len(h.Points)-1].To
	}
	p := Point{From: from, To: now, Events: Counters{}}
	if h.Last == nil {
		h.Last = map[string]Counters{}
	}
	for host, counters := range hosts {
		if last, ok := h.Last[host]; ok {
			p.Events.addIncrease(last, counters)
		}
		h.Last[host] = counters
	}
	h.Points = append(h.Points, p)
	h.Points = slices.DeleteFunc(h.Points, func(p Point) bool { return now.Sub(p.To) > retention })
}

// addIncrease adds what a host's counters grew by.
func (c Counters) addIncrease(last, now Counters) {
	for service, objectives := range now {
		for o, e := range objectives {
			before := last[service][o]
			if e.Total < before.Total || e.Good < before.Good {
				before = Events{}
			}
			c.add(service, o, e.Good-before.Good, e.Total-before.Total)
		}
	}
}

// sum returns the events within a window before now, and the time of it that
// the points cover. A point at the edge of the window counts as a whole if its
// midpoint is within.
func (h *History) sum(now time.Time, window time.Duration, service string, o Objective) (Events, time.Duration) {
	var events Events
	var covered time.Duration
	for _, p := range h.Points {
		if now.Sub(p.midpoint()) > window {
			continue
		}
		e := p.Events[service][o]
		events.Good += e.Good
		events.Total += e.Total
		covered += p.To.Sub(p.From)
	}
	return events, covered
}
