package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/ctl"
	"github.com/walnutcove/walnutcove/operator"
)

// changeFlags are the flags of all commands that make a version.
type changeFlags struct {
	ID     string `help:"Patch id, a UUID. Give the id of an earlier try whose outcome is unknown to send it again; otherwise a fresh one is made."`
	Author string `help:"Who makes the change; kept in the history. Default: the user's name." env:"WALNUT_AUTHOR"`
	Note   string `help:"Why; kept in the history." short:"m"`

	Wait        bool          `help:"Return only when the version is in force on every listed VM."`
	WaitTimeout time.Duration `help:"Time limit of --wait." default:"60s"`
}

func (f changeFlags) patchID() string {
	if f.ID != "" {
		return f.ID
	}
	return config.NewPatchID()
}

func (f changeFlags) author() string {
	if f.Author != "" {
		return f.Author
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return ""
}

// reportAccepted prints an accepted version and, with --wait, waits until it is in force.
func (a *app) reportAccepted(client *ctl.Client, flags changeFlags, accepted operator.PatchAccepted) error {
	a.printf("accepted version=%d patch=%s\n", accepted.Version, accepted.ID)
	return a.waitIfAsked(client, flags, accepted.Version)
}

func (a *app) waitIfAsked(client *ctl.Client, flags changeFlags, version config.Version) error {
	if !flags.Wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), flags.WaitTimeout)
	defer cancel()
	routers, err := client.Wait(ctx, version)
	if err != nil {
		return err
	}
	a.printf("in-force version=%d routers=%d\n", version, routers)
	return nil
}

type applyCommand struct {
	Dir        string `help:"Directory of *.toml declarations." short:"f" required:"" type:"existingdir" placeholder:"DIR"`
	DryRun     bool   `help:"Print the differences and send nothing."`
	AllowEmpty bool   `help:"Allow declarations without any workspace, pool or target, which remove everything."`
	changeFlags
}

// Run makes the configuration equal to the declarations in the directory.
func (c *applyCommand) Run(a *app) error {
	want, err := ctl.LoadDir(c.Dir)
	if err != nil {
		return err
	}
	if !c.AllowEmpty && len(want.Workspaces)+len(want.Pools)+len(want.Targets) == 0 {
		return usageError("%s declares nothing, which would remove everything; use --allow-empty if this is meant", c.Dir)
	}
	return a.withClient(func(ctx context.Context, client *ctl.Client) error {
		plan, err := client.Plan(ctx, want)
		if err != nil {
			return err
		}
		if c.DryRun {
			a.printDifferences(plan.Rows)
			a.printf("dry-run base=%d differences=%d removed=%d\n", plan.Base, len(plan.Rows), plan.Removed())
			return nil
		}
		if plan.Empty() {
			a.printf("unchanged version=%d\n", plan.Base)
			return a.waitIfAsked(client, c.changeFlags, plan.Base)
		}
		accepted, err := a.submit(ctx, client, c.changeFlags, plan.Base, plan.Changes)
		if err != nil {
			return adviseReapply(err)
		}
		return a.reportAccepted(client, c.changeFlags, accepted)
	})
}

// adviseReapply replaces the advice after an unknown outcome by running apply again: it
// compares with the newest version first, so it does nothing if the patch was accepted.
func adviseReapply(err error) error {
	var e *ctl.Error
	if errors.As(err, &e) && e.Exit == ctl.ExitUnknown {
		e.Next = "run the same apply again; it changes nothing if the patch was accepted"
	}
	return err
}

func (a *app) submit(ctx context.Context, client *ctl.Client, flags changeFlags, base config.Version, changes []byte) (operator.PatchAccepted, error) {
	patch := config.Patch{
		ID:      flags.patchID(),
		Base:    base,
		Author:  flags.author(),
		Note:    flags.Note,
		Changes: changes,
	}
	a.progress("sending patch=%s base=%d\n", patch.ID, patch.Base)
	return client.Submit(ctx, patch)
}

type patchCommand struct {
	Base uint64 `help:"Version that the patch was made against; 0 if none exists." required:"" placeholder:"N"`
	File string `arg:"" help:"File with the JSON merge patch, or - for standard input."`
	changeFlags
}

// Run sends one merge patch.
func (c *patchCommand) Run(a *app) error {
	changes, err := a.readPatch(c.File)
	if err != nil {
		return err
	}
	return a.withClient(func(ctx context.Context, client *ctl.Client) error {
		accepted, err := a.submit(ctx, client, c.changeFlags, config.Version(c.Base), changes)
		if err != nil {
			return err
		}
		return a.reportAccepted(client, c.changeFlags, accepted)
	})
}

// readPatch reads the merge patch in a file or on standard input and checks its form before
// anything is sent.
func (a *app) readPatch(name string) ([]byte, error) {
	var raw []byte
	var err error
	if name == "-" {
		raw, err = io.ReadAll(a.In)
	} else {
		raw, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, usageError("the patch cannot be read: %v", err)
	}
	patch, err := config.Patch{ID: config.NewPatchID(), Changes: raw}.Normalise()
	if err != nil {
		return nil, &ctl.Error{Exit: ctl.ExitInvalid, Summary: err.Error(), Next: "correct the patch; nothing was sent", Cause: err}
	}
	return patch.Changes, nil
}

type rollbackCommand struct {
	Version uint64 `arg:"" help:"Version whose declarations are restored." placeholder:"N"`
	Base    uint64 `help:"Newest version that you have seen. Default: read from the fleet." placeholder:"N"`
	changeFlags
}

// Run makes a new version with the declarations of an older one.
func (c *rollbackCommand) Run(a *app) error {
	return a.withClient(func(ctx context.Context, client *ctl.Client) error {
		base, err := c.base(ctx, client)
		if err != nil {
			return err
		}
		request := operator.RollbackRequest{
			ID:     c.patchID(),
			Base:   base,
			To:     config.Version(c.Version),
			Author: c.author(),
			Note:   c.Note,
		}
		if request.Note == "" {
			request.Note = fmt.Sprintf("rollback to version %d", c.Version)
		}
		a.progress("sending patch=%s base=%d\n", request.ID, request.Base)
		accepted, err := client.Rollback(ctx, request)
		if err != nil {
			return err
		}
		return a.reportAccepted(client, c.changeFlags, accepted)
	})
}

func (c *rollbackCommand) base(ctx context.Context, client *ctl.Client) (config.Version, error) {
	if c.Base > 0 {
		return config.Version(c.Base), nil
	}
	newest, err := client.Config(ctx, 0)
	if err != nil {
		return 0, err
	}
	return newest.Version, nil
}

type drainCommand struct {
	Node string `arg:"" help:"Name of the router."`
}

// Run starts the graceful shutdown of a router.
func (c *drainCommand) Run(a *app) error {
	return a.withClient(func(ctx context.Context, client *ctl.Client) error {
		if err := client.Drain(ctx, c.Node); err != nil {
			return err
		}
		a.printf("draining node=%s\n", c.Node)
		return nil
	})
}
