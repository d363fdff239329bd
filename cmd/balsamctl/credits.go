package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newCredits() *ffcli.Command {
	fs := newFlagSet("credits")
	access := addAccess(fs)
	return &ffcli.Command{
		Name: "credits", ShortUsage: "balsamctl credits [flags]", ShortHelp: "show answered requests by member and kind",
		FlagSet: fs, Options: envOptions(),
		Exec: func(context.Context, []string) error {
			client, err := access.client()
			if err != nil {
				return err
			}
			counts, err := client.Credits()
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "MEMBER\tKIND\tANSWERED")
			for _, c := range counts {
				fmt.Fprintf(w, "%s\t%s\t%d\n", c.Member, c.Kind, c.Count)
			}
			return w.Flush()
		},
	}
}
