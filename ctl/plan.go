package ctl

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/walnutcove/walnutcove/config"
)

// Plan is the difference between the newest version and a directory of
// declarations.
type Plan struct {
	// Base is the version compared with.
	Base config.Version
	// Changes is the merge patch from Base to the directory.
	Changes json.RawMessage
	// Rows are the differences in readable form; empty if there are none.
	Rows []config.DiffRow
}

// Empty reports whether there is nothing to change.
func (p Plan) Empty() bool { return len(p.Rows) == 0 }

// Removed counts the objects that the plan removes.
func (p Plan) Removed() int {
	count := 0
	for _, row := range p.Rows {
		if row.Kind == config.ChangeRemoved {
			count++
		}
	}
	return count
}

// LoadDir reads and validates a directory of TOML declarations.
func LoadDir(dir string) (config.Declarations, error) {
	declarations, err := config.LoadDir(dir)
	if err == nil {
		return declarations, nil
	}
	return config.Declarations{}, &Error{
		Exit:    ExitInvalid,
		Summary: "the declarations in " + dir + " are not valid",
		Details: errorLines(err),
		Next:    "correct the files named above; nothing was sent",
		Cause:   err,
	}
}

// errorLines returns one line for each error that err joins.
func errorLines(err error) []string {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []string{err.Error()}
	}
	var all []string
	for _, one := range joined.Unwrap() {
		all = append(all, one.Error())
	}
	return all
}

// Plan compares declarations with the newest version.
func (c *Client) Plan(ctx context.Context, wanted config.Declarations) (Plan, error) {
	newest, err := c.Config(ctx, 0)
	if err != nil {
		return Plan{}, err
	}
	changes, rows, err := config.Diff(newest.Declarations, wanted)
	if err != nil {
		return Plan{}, &Error{Exit: ExitFailure, Summary: "the difference cannot be written as a patch", Cause: err}
	}
	if len(changes) > config.MaxPatchBytes {
		return Plan{}, &Error{
			Exit:    ExitInvalid,
			Summary: fmt.Sprintf("the difference has %d bytes, over the limit of %d for one patch", len(changes), config.MaxPatchBytes),
			Next:    "apply the directory in steps, a part of its files first",
		}
	}
	return Plan{Base: newest.Version, Changes: changes, Rows: rows}, nil
}
