package main

import (
	"fmt"
	"io"

	"github.com/balsamlb/balsamlb/operator"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func newCredits() *ffcli.Command {
	return query[[]operator.CreditCount]{
		name: "credits", usage: "credits [flags]", help: "show answered requests by member and kind",
		get:   (*operator.Client).Credits,
		print: printCredits,
	}.command()
}

func printCredits(w io.Writer, counts []operator.CreditCount) {
	fmt.Fprintln(w, "MEMBER\tKIND\tANSWERED")
	for _, c := range counts {
		fmt.Fprintf(w, "%s\t%s\t%d\n", c.Member, c.Kind, c.Count)
	}
}
