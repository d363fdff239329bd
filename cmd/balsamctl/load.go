package main

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/internal/load"
	"github.com/peterbourgon/ff/v3/ffcli"
)

var errViolations = errors.New("at least one answer violated a guarantee")

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
			if len(r.Violations) > 0 {
				return errViolations
			}
			return nil
		},
	}
}
