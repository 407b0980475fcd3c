package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/walnutcove/walnutcove/standin/engine"
	"github.com/walnutcove/walnutcove/standin/platform"
	"github.com/walnutcove/walnutcove/standin/service"
)

// listeningLine is printed once a stand-in accepts connections. Tests that start the
// program wait for it.
const listeningLine = "listening on %s\n"

// viewLine is printed for each view of the platform, before listeningLine.
const viewLine = "view %d at %s\n"

type platformCommand struct {
	Listen string `default:"127.0.0.1:9000" help:"Address to listen on (ip:port)."`
	Views  int    `help:"Views to serve on ports of their own, each with its own peer addresses (POST /_view)."`
}

func (c *platformCommand) run(ctx context.Context, out io.Writer, _ *slog.Logger) error {
	server := platform.New(platform.Options{})
	for n := range c.Views {
		view, err := server.StartView("127.0.0.1:0")
		if err != nil {
			return err
		}
		defer view.Close()
		fmt.Fprintf(out, viewLine, n+1, view.Address())
	}
	address, err := server.Start(c.Listen)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, listeningLine, address)
	<-ctx.Done()
	return server.Close()
}

type engineCommand struct {
	Listen        string        `default:"127.0.0.1:9101" help:"Address to listen on (ip:port)."`
	Name          string        `default:"engine" help:"Name in the journal."`
	Slots         int           `default:"8" help:"Requests run at once."`
	MaxQueued     int           `help:"Requests queued at most; 0 means no bound."`
	Step          time.Duration `default:"2ms" help:"Time in which each running request gets a token."`
	Resumes       bool          `help:"Resume broken streams by offset."`
	ChecksFencing bool          `help:"Refuse orders with an old fencing number."`
	LoadLag       time.Duration `help:"Period at which the load report is renewed."`
	LoadTime      time.Duration `help:"Time that a model takes to load; 0 means at once."`
	PrefixEntries int           `default:"64" help:"Prompt prefixes cached."`
	PrefixGap     float64       `help:"Part of the cached prefixes left out of reports."`
}

func (c *engineCommand) run(ctx context.Context, out io.Writer, _ *slog.Logger) error {
	e := engine.New(engine.Options{
		Name:          c.Name,
		Slots:         c.Slots,
		MaxQueued:     c.MaxQueued,
		Step:          c.Step,
		Resumes:       c.Resumes,
		ChecksFencing: c.ChecksFencing,
		LoadLag:       c.LoadLag,
		LoadTime:      c.LoadTime,
		PrefixEntries: c.PrefixEntries,
		PrefixGap:     c.PrefixGap,
	})
	address, err := e.Start(c.Listen)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, listeningLine, address)
	<-ctx.Done()
	e.Close()
	return nil
}

type serviceCommand struct {
	Listen    string        `default:"127.0.0.1:9201" help:"Address to listen on (ip:port)."`
	Name      string        `default:"service" help:"Name in the journal."`
	Slots     int           `default:"4" help:"Calls run at once."`
	MaxQueued int           `help:"Calls queued at most; 0 means no bound."`
	Duration  time.Duration `default:"20ms" help:"How long a call runs."`
}

func (c *serviceCommand) run(ctx context.Context, out io.Writer, _ *slog.Logger) error {
	s := service.New(service.Options{Name: c.Name, Slots: c.Slots, MaxQueued: c.MaxQueued, Duration: c.Duration})
	address, err := s.Start(c.Listen)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, listeningLine, address)
	<-ctx.Done()
	s.Close()
	return nil
}
