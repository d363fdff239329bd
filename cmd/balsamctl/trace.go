package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/balsamlb/balsamlb/operator"
	"github.com/balsamlb/balsamlb/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
)

var (
	errMissingRequest = usageError("name the request, by the X-Request-Id of its answer")
	errNoLines        = errors.New("the instance has no log line about the request; ask the instance whose name the request id begins with")
)

// tailInterval is the time between two requests for new lines.
const tailInterval = 500 * time.Millisecond

func newTrace() *ffcli.Command {
	fs := newFlagSet("trace")
	connection := addConnectionFlags(fs)
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name: "trace", ShortUsage: "balsamctl trace [flags] REQUEST", ShortHelp: "follow one request through its decisions",
		FlagSet: fs, Options: envOptions(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return errMissingRequest
			}
			client, err := connection.client()
			if err != nil {
				return err
			}
			lines, err := client.Trace(args[0])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return errNoLines
			}
			if *asJSON {
				return printJSON(lines)
			}
			printLines(lines)
			return nil
		},
	}
}

func newTail() *ffcli.Command {
	fs := newFlagSet("tail")
	connection := addConnectionFlags(fs)
	part := fs.String("part", "", "show only lines of this part, such as route (empty: all)")
	return &ffcli.Command{
		Name: "tail", ShortUsage: "balsamctl tail [flags]", ShortHelp: "show decisions as an instance makes them",
		FlagSet: fs, Options: envOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			client, err := connection.client()
			if err != nil {
				return err
			}
			return tail(ctx, client, *part)
		},
	}
}

func tail(ctx context.Context, client *operator.Client, part string) error {
	last, err := client.LastDecision()
	if err != nil {
		return err
	}
	ticker := time.NewTicker(tailInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		d, err := client.DecisionsAfter(last)
		if err != nil {
			return err
		}
		last = d.Last
		printLines(filterByPart(d.Lines, part))
	}
}

func filterByPart(lines []trace.Line, part string) []trace.Line {
	if part == "" {
		return lines
	}
	var out []trace.Line
	for _, l := range lines {
		if l.Part == part {
			out = append(out, l)
		}
	}
	return out
}

func printLines(lines []trace.Line) {
	for _, l := range lines {
		request := ""
		if l.Request != "" {
			request = " request=" + l.Request
		}
		fmt.Printf("%s %s: %s%s %s\n", l.At.Format("15:04:05.000"), l.Part, l.Message, request, l.Fields)
	}
}
