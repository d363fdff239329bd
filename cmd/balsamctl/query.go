package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"text/tabwriter"

	"github.com/balsamlb/balsamlb/operator"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// query is a command that reads something from an instance and prints it.
type query[T any] struct {
	name  string
	usage string
	help  string
	get   func(*operator.Client) (T, error)
	// print writes the answer as a table with columns separated by tabs; printTable aligns them.
	print func(io.Writer, T)
}

func (q query[T]) command() *ffcli.Command {
	fs := newFlagSet(q.name)
	connection := addConnectionFlags(fs)
	asJSON := addJSON(fs)
	return &ffcli.Command{
		Name: q.name, ShortUsage: "balsamctl " + q.usage, ShortHelp: q.help,
		FlagSet: fs, Options: envOptions(),
		Exec: func(context.Context, []string) error {
			client, err := connection.client()
			if err != nil {
				return err
			}
			answer, err := q.get(client)
			if err != nil {
				return err
			}
			if *asJSON {
				return printJSON(answer)
			}
			return printTable(os.Stdout, func(w io.Writer) { q.print(w, answer) })
		},
	}
}

// addJSON adds the flag that selects JSON output.
func addJSON(fs *flag.FlagSet) *bool { return fs.Bool("json", false, "print JSON") }

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

const (
	tabWidth   = 4
	tabPadding = 2
)

// printTable writes the output of f with its tab-separated columns aligned.
func printTable(out io.Writer, f func(io.Writer)) error {
	w := tabwriter.NewWriter(out, 0, tabWidth, tabPadding, ' ', 0)
	f(w)
	return w.Flush()
}
