// Package findings collects the errors and warnings of configuration files,
// each with its position, so that one run reports all of them.
package findings

import (
	"fmt"
	"sort"
	"strings"
)

// Severity is the severity of a finding. Only an Error rejects the input.
type Severity string

const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is one problem at one position. Line and Column count from 1; a zero
// Line means that the finding concerns the whole file.
type Finding struct {
	File     string   `json:"file"`
	Line     int      `json:"line"`
	Column   int      `json:"column"`
	Severity Severity `json:"severity"`
	Message  string   `json:"message"`
	// Allowed describes the values accepted at this position. It may be empty.
	Allowed string `json:"allowed,omitempty"`
}

// String formats the finding as file:line:column: severity: message, followed
// by the allowed values if there are any.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	fmt.Fprintf(&b, ": %s: %s", f.Severity, f.Message)
	if f.Allowed != "" {
		fmt.Fprintf(&b, " (allowed: %s)", f.Allowed)
	}
	return b.String()
}

// List is a collection of findings. It implements error, but may hold only
// warnings; Err returns it as an error only if it holds an Error.
type List []Finding

// Errorf appends an error at the given position.
func (l *List) Errorf(file string, line, column int, allowed, format string, args ...any) {
	*l = append(*l, Finding{file, line, column, Error, fmt.Sprintf(format, args...), allowed})
}

// Warnf appends a warning at the given position.
func (l *List) Warnf(file string, line, column int, allowed, format string, args ...any) {
	*l = append(*l, Finding{file, line, column, Warning, fmt.Sprintf(format, args...), allowed})
}

// Sort orders the findings by file, line and column.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i], l[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

// HasErrors reports whether any finding rejects the input.
func (l List) HasErrors() bool {
	for _, f := range l {
		if f.Severity == Error {
			return true
		}
	}
	return false
}

// Err returns the list if any finding rejects the input, and nil otherwise.
func (l List) Err() error {
	if !l.HasErrors() {
		return nil
	}
	return l
}

// Error formats all findings, warnings included, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
