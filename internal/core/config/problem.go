package config

import "fmt"

// Position is a line of a file. Line is 0 if the position is the file as a whole.
type Position struct {
	File string
	Line int
}

// String returns the position as file:line.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// Problem is one error in the configuration.
type Problem struct {
	Position
	// Field is the path of the field, such as organisations[2].rate; it is empty if
	// the problem is not in a single field.
	Field   string
	Message string
}

// Error implements error.
func (p *Problem) Error() string {
	if p.Field == "" {
		return fmt.Sprintf("%s: %s", p.Position, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.Position, p.Field, p.Message)
}
