// Package lint checks a decoded configuration before it is put in force. It reports
// errors, entries that can never match, limits that contradict each other, and
// differences from another version. The rules work on a View, which each configuration
// format fills by an adapter of its own.
package lint

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity classifies a finding.
type Severity string

const (
	// Error marks a value that hosts reject, or read as something else than it says.
	Error Severity = "error"
	// Warning marks a valid value that has no effect, or that another one contradicts.
	Warning Severity = "warning"
	// Change marks a difference from another version. It is no fault.
	Change Severity = "change"
)

// Path is the file and field that a finding is about.
type Path struct {
	File string `json:"file"`
	// Line is 0 if the value is not in the file, or the line is not known.
	Line int `json:"line,omitempty"`
	// Field is empty if the finding is not about a single field.
	Field string `json:"field,omitempty"`
}

// String returns the path as file:line: field.
func (p Path) String() string {
	s := p.File
	if p.Line > 0 {
		s = fmt.Sprintf("%s:%d", s, p.Line)
	}
	if p.Field != "" {
		s += ": " + p.Field
	}
	return s
}

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Path     Path     `json:"path"`
	Message  string   `json:"message"`
}

// String returns the finding in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Path, f.Severity, f.Message)
}

// Check applies all rules to a configuration. The findings are sorted by path.
func Check(v *View) []Finding {
	c := newChecker(v)
	c.faults()
	c.matches()
	c.limits()
	Sort(c.found)
	return c.found
}

// Sort sorts findings by path.
func Sort(list []Finding) {
	slices.SortStableFunc(list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Path.File, b.Path.File), cmp.Compare(a.Path.Line, b.Path.Line), cmp.Compare(a.Path.Field, b.Path.Field))
	})
}

// Count returns the number of findings of a severity.
func Count(list []Finding, s Severity) int {
	n := 0
	for _, f := range list {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// checker collects the findings on one configuration.
type checker struct {
	*View
	services map[string]*Service
	found    []Finding
}

func newChecker(v *View) *checker {
	c := &checker{View: v, services: make(map[string]*Service, len(v.Services))}
	for i := range v.Services {
		c.services[v.Services[i].Name] = &v.Services[i]
	}
	return c
}

// fail records an error.
func (c *checker) fail(p Path, format string, args ...any) {
	c.found = append(c.found, Finding{Error, p, fmt.Sprintf(format, args...)})
}

// warn records a warning.
func (c *checker) warn(p Path, format string, args ...any) {
	c.found = append(c.found, Finding{Warning, p, fmt.Sprintf(format, args...)})
}
