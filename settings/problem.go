package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one thing that is wrong in a settings file.
type Problem struct {
	// File is the path as given to Load; empty for settings that did not come
	// from a file.
	File string
	// Line is the line in the file, from 1; zero if it is not known.
	Line int
	// Key is the dotted key, for example "limits.read_timeout"; empty if the
	// problem is not about one key.
	Key string
	// Reason says what is wrong and what would be right.
	Reason string
}

// String returns the problem as "file:line: key: reason", without the parts that are empty.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File)
		if p.Line > 0 {
			fmt.Fprintf(&b, ":%d", p.Line)
		}
		b.WriteString(": ")
	}
	if p.Key != "" {
		b.WriteString(p.Key)
		b.WriteString(": ")
	}
	b.WriteString(p.Reason)
	return b.String()
}

// Problems is the error of Load and Validate: all problems that were found. Its text has one
// line for each.
type Problems []Problem

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// hasKey reports whether one of the problems is about the key.
func (ps Problems) hasKey(key string) bool {
	return slices.ContainsFunc(ps, func(p Problem) bool { return p.Key == key })
}

// InFile returns the problems with the file's name set.
func (ps Problems) InFile(file string) Problems {
	for i := range ps {
		ps[i].File = file
	}
	return ps
}
