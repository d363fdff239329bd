package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/internal/bench"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/internal/load"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/peterbourgon/ff/v3/ffcli"
)

var (
	errNoBench = usageError("name a benchmark; see balsamctl bench -help")
	errBroken  = errors.New("a promise was broken")
)

func newEmulate() *ffcli.Command {
	fs := newFlagSet("emulate")
	path := fs.String("fleet", "fleet.ini", "file of the emulated backend servers")
	return &ffcli.Command{
		Name: "emulate", ShortUsage: "balsamctl emulate [flags]", ShortHelp: "stand in for backend servers",
		FlagSet: fs, Options: envOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			data, err := os.ReadFile(*path)
			if err != nil {
				return err
			}
			f, err := settings.ParseFleet(*path, data)
			if err != nil {
				return err
			}
			return emulate.NewFleet(emulate.FromSettings(f)).Run(ctx)
		},
	}
}

func newBench() *ffcli.Command {
	fs := newFlagSet("bench")
	short := fs.Bool("short", false, "keep the run under 50 s")
	seed := fs.Uint64("seed", 1, "seed of the load and the faults")
	network := fs.String("net", "", "first two numbers of the loopback addresses to use (empty: free ones)")
	folder := fs.String("folder", "", "folder for settings, logs and data (empty: a temporary one)")
	var names []string
	for _, b := range bench.All() {
		names = append(names, b.Name+": "+b.Help)
	}
	return &ffcli.Command{
		Name: "bench", ShortUsage: "balsamctl bench [flags] NAME", ShortHelp: "measure the system on loopback",
		LongHelp: "Starts its own processes. The last line is one JSON object.\n\n" + strings.Join(names, "\n"),
		FlagSet:  fs, Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return errNoBench
			}
			// Flags may also follow the name.
			if err := fs.Parse(args[1:]); err != nil {
				return err
			}
			return runBench(ctx, args[0], bench.Options{Short: *short, Seed: *seed, Net: *network, Folder: *folder, Out: os.Stdout})
		},
	}
}

func runBench(ctx context.Context, name string, o bench.Options) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	o.Bin = filepath.Dir(self)
	if o.Folder == "" {
		if o.Folder, err = os.MkdirTemp("", "balsamlb-bench-"); err != nil {
			return err
		}
		defer os.RemoveAll(o.Folder)
	}
	return bench.Run(ctx, name, o)
}

func newLoad() *ffcli.Command {
	fs := newFlagSet("load")
	instances := fs.String("instances", "127.0.1.1:8080", "callers' addresses of instances, separated by commas")
	workspace := fs.String("workspace", "kandy", "workspace to send as")
	drafts := fs.Int("drafts", 20, "drafts to send")
	bookings := fs.Int("bookings", 20, "bookings to send, each twice")
	tokens := fs.Int("tokens", 16, "tokens a draft")
	concurrent := fs.Int("concurrent", 8, "requests at a time")
	seed := fs.Uint64("seed", 1, "seed of prompts and keys")
	deadline := fs.Duration("deadline", 10*time.Second, "deadline of each request")
	return &ffcli.Command{
		Name: "load", ShortUsage: "balsamctl load [flags]", ShortHelp: "send drafts and bookings and check the answers",
		FlagSet: fs, Options: envOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			r := load.Run(ctx, load.Options{
				Instances: strings.Split(*instances, ","), Workspace: *workspace,
				Drafts: *drafts, Bookings: *bookings, MaxTokens: *tokens,
				Concurrent: *concurrent, Seed: *seed, Deadline: *deadline,
			})
			if err := printJSON(r); err != nil {
				return err
			}
			if len(r.Broken) > 0 {
				return errBroken
			}
			return nil
		},
	}
}
