package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/operator"
	"github.com/peterbourgon/ff/v3/ffcli"
)

var errMissingFingerprint = usageError("name the fingerprint to release; see balsamctl quarantine list")

func newQuarantine() *ffcli.Command {
	return &ffcli.Command{
		Name: "quarantine", ShortUsage: "balsamctl quarantine <list|release>", ShortHelp: "show and release requests, and parts of prompts, that crash backend servers",
		FlagSet:     newFlagSet("quarantine"),
		Subcommands: []*ffcli.Command{newQuarantineList(), newQuarantineRelease()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func newQuarantineList() *ffcli.Command {
	return query[[]operator.QuarantineEntry]{
		name: "list", usage: "quarantine list [flags]", help: "show suspects, and requests and parts of prompts in quarantine",
		get:   (*operator.Client).Quarantine,
		print: printQuarantine,
	}.command()
}

func printQuarantine(w io.Writer, entries []operator.QuarantineEntry) {
	fmt.Fprintln(w, "FINGERPRINT\tSTATE\tDIED\tEXPIRES IN")
	for _, e := range entries {
		state := "suspect"
		if e.Quarantined {
			state = "quarantined"
		}
		if len(e.With) > 0 {
			state += " with " + strings.Join(e.With, " ")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Fingerprint, state, strings.Join(e.Servers, " "), time.Until(e.Expires).Round(time.Second))
	}
}

func newQuarantineRelease() *ffcli.Command {
	fs := newFlagSet("release")
	connection := addConnectionFlags(fs)
	return &ffcli.Command{
		Name: "release", ShortUsage: "balsamctl quarantine release [flags] FINGERPRINT", ShortHelp: "let a request, or a part of prompts, run again",
		FlagSet: fs, Options: envOptions(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return errMissingFingerprint
			}
			client, err := connection.client()
			if err != nil {
				return err
			}
			if err := client.Release(args[0]); err != nil {
				return err
			}
			fmt.Println("released", args[0])
			return nil
		},
	}
}

func newMove() *ffcli.Command {
	return &ffcli.Command{
		Name: "move", ShortUsage: "balsamctl move status", ShortHelp: "show how services move by their dates",
		FlagSet:     newFlagSet("move"),
		Subcommands: []*ffcli.Command{newMoveStatus()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func newMoveStatus() *ffcli.Command {
	return query[[]operator.MoveStatus]{
		name: "status", usage: "move status [flags]", help: "show progress, forecast and risk of each move",
		get:   (*operator.Client).Moves,
		print: printMoves,
	}.command()
}

func printMoves(w io.Writer, moves []operator.MoveStatus) {
	fmt.Fprintln(w, "MOVE\tSERVICE\tDONE\tDRAINED\tTOTAL\tDATE\tFORECAST\tWARNING")
	for _, m := range moves {
		forecast := "unknown"
		if !m.Forecast.IsZero() {
			forecast = m.Forecast.Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n",
			m.Name, m.Service, m.Done, m.Drained, m.Total, m.Date.Format(time.RFC3339), forecast, m.Risk)
	}
}
