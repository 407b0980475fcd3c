package cli

import (
	"context"
	"encoding/json"

	"github.com/pelletier/go-toml/v2"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/ctl"
)

const (
	formatJSON  = "json"
	formatTable = "table"
	formatTOML  = "toml"
)

type getCommand struct {
	Version uint64 `help:"Version to print. Default: the newest." placeholder:"N"`
	Output  string `help:"Format: toml, ready for apply, or json." short:"o" enum:"toml,json" default:"toml"`
}

// Run prints one version.
func (c *getCommand) Run(a *app) error {
	return a.withClient(func(ctx context.Context, client *ctl.Client) error {
		snapshot, err := client.Config(ctx, config.Version(c.Version))
		if err != nil {
			return err
		}
		if c.Output == formatJSON {
			return a.printJSON(snapshot)
		}
		raw, err := toml.Marshal(snapshot.Declarations)
		if err != nil {
			return err
		}
		if snapshot.Version == 0 {
			a.printf("# version 0, none was accepted yet\n")
			return nil
		}
		a.printf("# version %d, patch %s\n%s", snapshot.Version, snapshot.PatchID, raw)
		return nil
	})
}

type diffCommand struct {
	Dir    string `help:"Directory of *.toml declarations." short:"f" required:"" type:"existingdir" placeholder:"DIR"`
	Output string `help:"Format: table or json." short:"o" enum:"table,json" default:"table"`
}

// Run prints what apply would change.
func (c *diffCommand) Run(a *app) error {
	want, err := ctl.LoadDir(c.Dir)
	if err != nil {
		return err
	}
	return a.withClient(func(ctx context.Context, client *ctl.Client) error {
		plan, err := client.Plan(ctx, want)
		if err != nil {
			return err
		}
		if c.Output == formatJSON {
			err = a.printJSON(diffDocument{Base: plan.Base, Differences: append([]config.DiffRow{}, plan.Rows...)})
		} else {
			a.printDifferences(plan.Rows)
		}
		if err == nil && !plan.Empty() {
			return &ctl.Error{Exit: ctl.ExitDifferent, Summary: "there are differences"}
		}
		return err
	})
}

// diffDocument is the JSON form of a diff.
type diffDocument struct {
	Base        config.Version   `json:"base"`
	Differences []config.DiffRow `json:"differences"`
}

type historyCommand struct {
	Limit  int    `help:"Number of versions." default:"20"`
	Output string `help:"Format: table or json." short:"o" enum:"table,json" default:"table"`
}

// Run lists accepted versions.
func (c *historyCommand) Run(a *app) error {
	return a.withClient(func(ctx context.Context, client *ctl.Client) error {
		entries, err := client.History(ctx, c.Limit)
		if err != nil {
			return err
		}
		if c.Output == formatJSON {
			return a.printJSON(entries)
		}
		return a.printHistory(entries)
	})
}

type statusCommand struct {
	All    bool   `help:"List every router, target and workspace, even of a large fleet."`
	Output string `help:"Format: table or json." short:"o" enum:"table,json" default:"table"`
}

// Run shows the state of the fleet.
func (c *statusCommand) Run(a *app) error {
	return a.withClient(func(ctx context.Context, client *ctl.Client) error {
		status, err := client.Status(ctx, true)
		if err != nil {
			return err
		}
		if c.Output == formatJSON {
			return a.printJSON(status)
		}
		return a.printStatus(status, c.All)
	})
}

func (a *app) printJSON(document any) error {
	encoder := json.NewEncoder(a.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(document)
}

func (a *app) printDifferences(rows []config.DiffRow) {
	for _, row := range rows {
		a.printf("%s\n", row)
	}
}
