// Package finding collects problems in operator input, each with its position in
// a file, so that they can all be reported together.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a position in an input file. Line and Column start at 1; 0 means
// unknown.
type Position struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// String formats the position as file:line:column and omits the unknown parts.
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

// Severity is the severity of a finding. Input with an Error is rejected.
type Severity string

// The severities, most severe first.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is a problem in operator input.
type Finding struct {
	Position Position `json:"place"`
	Severity Severity `json:"severity"`
	// Message describes the problem.
	Message string `json:"message"`
	// Expected describes a valid value; it may be empty.
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

// Errorf adds an error at position p. The message is formatted as by
// fmt.Sprintf.
func (l *List) Errorf(p Position, expected, format string, args ...any) {
	l.add(Finding{Position: p, Severity: Error, Message: fmt.Sprintf(format, args...), Expected: expected})
}

// Warnf adds a warning at position p. The message is formatted as by
// fmt.Sprintf.
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

// Err returns an *InputError with all findings, warnings included, if one of them
// is an error, and nil otherwise.
func (l *List) Err() error {
	if !slices.ContainsFunc(l.items, func(f Finding) bool { return f.Severity == Error }) {
		return nil
	}
	return &InputError{Findings: l.All()}
}

// InputError is the error for rejected input.
type InputError struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *InputError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
