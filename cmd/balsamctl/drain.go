package main

import (
	"context"
	"fmt"

	"github.com/balsamlb/balsamlb/operator"
	"github.com/peterbourgon/ff/v3/ffcli"
)

var errMissingServer = usageError("name the backend server to drain")

func newDrain() *ffcli.Command {
	fs := newFlagSet("drain")
	connection := addConnectionFlags(fs)
	off := fs.Bool("off", false, "end the drain")
	return &ffcli.Command{
		Name: "drain", ShortUsage: "balsamctl drain [flags] SERVER", ShortHelp: "give a backend server no new work",
		FlagSet: fs, Options: envOptions(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return errMissingServer
			}
			client, err := connection.client()
			if err != nil {
				return err
			}
			if err := client.Drain(operator.DrainRequest{Server: args[0], On: !*off}); err != nil {
				return err
			}
			fmt.Printf("drain of %s: %t\n", args[0], !*off)
			return nil
		},
	}
}
