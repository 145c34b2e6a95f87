// Package finding collects problems found in operator input, each with its
// place, so that all of them are reported together.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is where a finding was made. Line and Column count from 1; 0 means
// that the position is unknown.
type Position struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// String formats the place as file:line:column, without unknown parts.
func (p Position) String() string {
	switch {
	case p.Line == 0:
		return p.File
	case p.Column == 0:
		return fmt.Sprintf("%s:%d", p.File, p.Line)
	default:
		return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	}
}

// Severity tells whether a finding prevents the input from being used.
type Severity string

// The severities, from worst to mildest.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is one problem in operator input.
type Finding struct {
	Position Position `json:"place"`
	Severity Severity `json:"severity"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Expected says what would be right; it may be empty.
	Expected string `json:"expected,omitempty"`
}

// String formats the finding on one line.
func (f Finding) String() string {
	s := fmt.Sprintf("%s: %s: %s", f.Position, f.Severity, f.Message)
	if f.Expected != "" {
		s += " (expected " + f.Expected + ")"
	}
	return s
}

// List collects findings. The zero value is ready for use.
type List struct {
	items []Finding
}

// Errorf adds an error at place p.
func (l *List) Errorf(p Position, expected, format string, args ...any) {
	l.add(Finding{Position: p, Severity: Error, Message: fmt.Sprintf(format, args...), Expected: expected})
}

// Warnf adds a warning at place p.
func (l *List) Warnf(p Position, expected, format string, args ...any) {
	l.add(Finding{Position: p, Severity: Warning, Message: fmt.Sprintf(format, args...), Expected: expected})
}

func (l *List) add(f Finding) { l.items = append(l.items, f) }

// All returns the findings ordered by file, line and column.
func (l *List) All() []Finding {
	out := slices.Clone(l.items)
	slices.SortStableFunc(out, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.Position.File, b.Position.File),
			cmp.Compare(a.Position.Line, b.Position.Line),
			cmp.Compare(a.Position.Column, b.Position.Column),
		)
	})
	return out
}

// Err returns an *InputError that holds all findings if one of them is an
// error, and nil otherwise.
func (l *List) Err() error {
	if !slices.ContainsFunc(l.items, func(f Finding) bool { return f.Severity == Error }) {
		return nil
	}
	return &InputError{Findings: l.All()}
}

// InputError reports input that can't be used.
type InputError struct {
	Findings []Finding
}

// Error lists the findings, one a line.
func (e *InputError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
