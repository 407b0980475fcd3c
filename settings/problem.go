package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	// File is the path as given to Load; empty for settings that did not come
	// from a file.
	File string
	// Line is the line in the file, from 1; zero if it is not known.
	Line int
	// Key is the dotted key, for example "limits.read_timeout"; empty if the
	// fault is not about one key.
	Key string
	// Reason says what is wrong and what would be right.
	Reason string
}

// String returns the problem as "file:line: key: reason", without what is empty.
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

// Problems is the error of Load and Validate: every fault that was found, one
// a line.
type Problems []Problem

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// names says whether a problem is about the key.
func (ps Problems) names(key string) bool {
	return slices.ContainsFunc(ps, func(p Problem) bool { return p.Key == key })
}

// InFile returns the problems with the file's name set.
func (ps Problems) InFile(file string) Problems {
	for i := range ps {
		ps[i].File = file
	}
	return ps
}
