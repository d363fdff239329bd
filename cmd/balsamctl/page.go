package main

import (
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// page returns the text of docs/CLI.md, which describes every command.
func page() string {
	var b strings.Builder
	b.WriteString("# balsamctl\n\n")
	fmt.Fprintf(&b, "Exit codes: %d done, %d failed, %d wrong use. Every flag can also be set by a variable, such as\n`BALSAMCTL_INSTANCE` for `-instance`.\n", exitOK, exitFailure, exitUsage)
	writeCommand(&b, newRoot())
	return b.String()
}

func writeCommand(b *strings.Builder, c *ffcli.Command) {
	if len(c.Subcommands) == 0 {
		fmt.Fprintf(b, "\n## `%s`\n\n%s\n", c.ShortUsage, toSentence(c.ShortHelp))
		writeFlags(b, c.FlagSet)
	}
	for _, sub := range c.Subcommands {
		writeCommand(b, sub)
	}
}

func writeFlags(b *strings.Builder, fs *flag.FlagSet) {
	first := true
	fs.VisitAll(func(f *flag.Flag) {
		if first {
			b.WriteString("\n| flag | default | meaning |\n|---|---|---|\n")
			first = false
		}
		fmt.Fprintf(b, "| `-%s` | %s | %s |\n", f.Name, f.DefValue, f.Usage)
	})
}

func toSentence(text string) string {
	return strings.ToUpper(text[:1]) + text[1:] + "."
}
