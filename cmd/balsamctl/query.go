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

// query is a command that asks an instance and prints the answer.
type query[T any] struct {
	name  string
	usage string
	help  string
	get   func(*operator.Client) (T, error)
	// print writes the answer for people. Columns are separated by tabs.
	print func(io.Writer, T)
}

func (q query[T]) command() *ffcli.Command {
	fs := newFlagSet(q.name)
	access := addAccess(fs)
	asJSON := addJSON(fs)
	return &ffcli.Command{
		Name: q.name, ShortUsage: "balsamctl " + q.usage, ShortHelp: q.help,
		FlagSet: fs, Options: envOptions(),
		Exec: func(context.Context, []string) error {
			client, err := access.client()
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

// addJSON adds the flag that every command with an answer has.
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

// printTable aligns the columns of what f writes.
func printTable(out io.Writer, f func(io.Writer)) error {
	w := tabwriter.NewWriter(out, 0, tabWidth, tabPadding, ' ', 0)
	f(w)
	return w.Flush()
}
