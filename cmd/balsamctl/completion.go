package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

var errMissingShell = usageError("name the shell: bash, zsh or fish")

func newCompletion() *ffcli.Command {
	return &ffcli.Command{
		Name: "completion", ShortUsage: "balsamctl completion <bash|zsh|fish>", ShortHelp: "print a completion script for a shell",
		FlagSet: newFlagSet("completion"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return errMissingShell
			}
			script, err := completion(args[0], newRoot())
			if err != nil {
				return err
			}
			fmt.Print(script)
			return nil
		},
	}
}

// commandWords lists the subcommands and flags that may follow a command.
type commandWords struct {
	path  string // the command with its parents, such as "config apply"
	words []string
}

func completion(shell string, root *ffcli.Command) (string, error) {
	table := collectWords("", root, nil)
	switch shell {
	case "bash":
		return bashScript(table), nil
	case "zsh":
		return "autoload -U +X bashcompinit && bashcompinit\n" + bashScript(table), nil
	case "fish":
		return fishScript(table), nil
	default:
		return "", errMissingShell
	}
}

func collectWords(path string, c *ffcli.Command, table []commandWords) []commandWords {
	w := commandWords{path: path}
	for _, sub := range c.Subcommands {
		w.words = append(w.words, sub.Name)
	}
	c.FlagSet.VisitAll(func(f *flag.Flag) { w.words = append(w.words, "-"+f.Name) })
	table = append(table, w)
	for _, sub := range c.Subcommands {
		table = collectWords(strings.TrimSpace(path+" "+sub.Name), sub, table)
	}
	return table
}

func bashScript(table []commandWords) string {
	var b strings.Builder
	b.WriteString("_balsamctl() {\n  local path=\"\" word\n  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n")
	b.WriteString("    [[ $word == -* ]] || path=\"${path:+$path }$word\"\n  done\n  case \"$path\" in\n")
	for _, w := range table {
		fmt.Fprintf(&b, "    %q) COMPREPLY=($(compgen -W %q -- \"${COMP_WORDS[COMP_CWORD]}\")) ;;\n", w.path, strings.Join(w.words, " "))
	}
	b.WriteString("  esac\n}\ncomplete -o default -F _balsamctl balsamctl\n")
	return b.String()
}

func fishScript(table []commandWords) string {
	var b strings.Builder
	for _, w := range table {
		fmt.Fprintf(&b, "complete -c balsamctl -f -n %q -a %q\n", fishCondition(w.path, table), strings.Join(w.words, " "))
	}
	return b.String()
}

// fishCondition returns the condition under which the words of the command are offered: all words of its
// path have been seen, but none of its subcommands, and no command that has a subcommand of that name.
func fishCondition(path string, table []commandWords) string {
	if path == "" {
		return "__fish_use_subcommand"
	}
	var terms, others []string
	for word := range strings.FieldsSeq(path) {
		terms = append(terms, "__fish_seen_subcommand_from "+word)
	}
	for _, w := range table {
		parent, sub, ok := strings.Cut(w.path, " ")
		switch {
		case !ok:
		case parent == path:
			others = append(others, sub)
		case sub == path:
			others = append(others, parent)
		}
	}
	if len(others) > 0 {
		terms = append(terms, "not __fish_seen_subcommand_from "+strings.Join(others, " "))
	}
	return strings.Join(terms, "; and ")
}
