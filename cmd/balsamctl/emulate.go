package main

import (
	"context"
	"os"

	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/peterbourgon/ff/v3/ffcli"
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
