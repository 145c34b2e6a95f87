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

// retention is the age up to which points are kept. It equals the longest window.
const retention = 3 * 24 * time.Hour

// History holds the results of earlier scrapes. Its JSON form is the history file.
type History struct {
	// Points are ordered by time.
	Points []Point `json:"points"`
	// Last holds the counters of each host at its last scrape.
	Last map[string]Counters `json:"last"`
}

// Point is the increase of the counters of all hosts between two scrapes.
type Point struct {
	// From is the time of the earlier scrape.
	From time.Time `json:"from"`
	// To is the time of the later scrape.
	To time.Time `json:"to"`
	// Events are the increases between the two.
	Events Counters `json:"events"`
}

// midpoint returns the time halfway between the two scrapes.
func (p Point) midpoint() time.Time { return p.From.Add(p.To.Sub(p.From) / 2) }

// ReadHistory reads a history file. If the file does not exist, it returns an
// empty history.
func ReadHistory(file string) (*History, error) {
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return &History{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	var h History
	if err := json.Unmarshal(data, &h); err != nil {
		return nil, fmt.Errorf("decode history %s: %w", file, err)
	}
	return &h, nil
}

// Write replaces a history file atomically, so that a crash leaves the previous
// version intact.
func (h *History) Write(file string) error {
	data, err := json.Marshal(h)
	if err != nil {
		return fmt.Errorf("encode history: %w", err)
	}
	temporary, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return fmt.Errorf("create temporary history file: %w", err)
	}
	defer os.Remove(temporary.Name())
	_, err = temporary.Write(data)
	if err := errors.Join(err, temporary.Close()); err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	if err := os.Rename(temporary.Name(), file); err != nil {
		return fmt.Errorf("replace history: %w", err)
	}
	return nil
}

// Add adds a scrape made at the time now and drops the points older than the
// longest window. The first scrape of a host adds no increase, because its
// counters may include events from before the history began. Hosts that are
// missing from the scrape keep their last counters.
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

// addIncrease adds the increase of a host's counters from last to now. A counter
// that decreased was reset by a restart and counts from 0.
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

// sum returns the events within a window that ends now, and the duration that the
// points in it cover. A point at the edge of the window counts in full if its
// midpoint lies within the window, and not at all otherwise.
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
