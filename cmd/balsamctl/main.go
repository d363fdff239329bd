// Command balsamctl is the command line client for operators. It also emulates backend servers,
// generates load and runs benchmarks.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes of balsamctl.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	root := newRoot()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		fmt.Fprintln(os.Stderr, "balsamctl:", err)
		return exitUsage
	}
	err := root.Run(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.As(err, new(usageError)):
		fmt.Fprintln(os.Stderr, "balsamctl:", err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "balsamctl:", err)
		return exitFailure
	}
}

func newRoot() *ffcli.Command {
	fs := newFlagSet("balsamctl")
	return &ffcli.Command{
		Name:       "balsamctl",
		ShortUsage: "balsamctl <command> [flags]",
		ShortHelp:  "operate balsamlb",
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			newStatus(),
			newConfig(),
			newDrain(),
			newCredits(),
			newQuarantine(),
			newMove(),
			newTrace(),
			newTail(),
			newBackup(),
			newRestore(),
			newCompletion(),
			newEmulate(),
			newLoad(),
			newBench(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// usageError is an error in the arguments of a command. It makes balsamctl exit with exitUsage.
type usageError string

func (e usageError) Error() string { return string(e) }

func newFlagSet(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }

// envOptions lets environment variables with the prefix BALSAMCTL_ set flags.
func envOptions() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix("BALSAMCTL")} }
