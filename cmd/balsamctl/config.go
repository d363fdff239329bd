package main

import (
	"context"
	"crypto/rand"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

var (
	errConflict = errors.New("the configuration has changed since; look at it and apply again")
	errFaults   = errors.New("the configuration is not valid")
)

func newConfig() *ffcli.Command {
	return &ffcli.Command{
		Name: "config", ShortUsage: "balsamctl config <check|diff|apply|history|status|rollback|show>", ShortHelp: "check, change and show the configuration",
		FlagSet: newFlagSet("config"),
		Subcommands: []*ffcli.Command{
			newConfigCheck(),
			newConfigDiff(),
			newConfigApply(),
			newConfigHistory(),
			newConfigStatus(),
			newConfigRollback(),
			newConfigShow(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func newConfigCheck() *ffcli.Command {
	fs := newFlagSet("check")
	folder := fs.String("folder", ".", "folder of base.ini and one INI file for each data centre")
	return &ffcli.Command{
		Name: "check", ShortUsage: "balsamctl config check [flags]", ShortHelp: "check a configuration without a daemon",
		FlagSet: fs, Options: envOptions(),
		Exec: func(context.Context, []string) error {
			base, overlays, err := readConfig(*folder)
			if err != nil {
				return err
			}
			if err := printFaults(operator.CheckConfig(base, overlays)); err != nil {
				return err
			}
			fmt.Println("the configuration is valid")
			return nil
		},
	}
}

func newConfigApply() *ffcli.Command {
	fs := newFlagSet("apply")
	connection := addConnectionFlags(fs)
	folder := fs.String("folder", ".", "folder of base.ini and one INI file for each data centre")
	expect := fs.Int64("expect", -1, "version that the change was made against (-1: the one in force)")
	id := fs.String("id", "", "id of the change, to send it again after a lost answer (empty: a new one)")
	author := fs.String("author", os.Getenv("USER"), "who makes the change")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "balsamctl config apply [flags]", ShortHelp: "change the configuration",
		FlagSet: fs, Options: envOptions(),
		Exec: func(context.Context, []string) error {
			base, overlays, err := readConfig(*folder)
			if err != nil {
				return err
			}
			c := config.Change{ID: *id, Base: base, Overlays: overlays, Author: *author}
			if c.ID == "" {
				c.ID = rand.Text()
			}
			client, err := connection.client()
			if err != nil {
				return err
			}
			return applyConfig(client, c, *expect)
		},
	}
}

func applyConfig(client *operator.Client, c config.Change, expect int64) error {
	if expect < 0 {
		cur, err := client.Config()
		if err != nil {
			return err
		}
		expect = int64(cur.Version)
	}
	c.Expect = uint64(expect)
	r, err := client.Change(c)
	if err != nil {
		return eris.Wrapf(err, "the answer was lost; send the change again with -id %s -expect %d", c.ID, c.Expect)
	}
	if err := printFaults(r.Faults); err != nil {
		return err
	}
	if !r.Accepted {
		fmt.Printf("version %d by %q is in force\n", r.Version, r.Current.Author)
		printSection("changed since the version that you expected:", r.Since)
		printSection("from the version in force to your change:", r.Difference)
		return errConflict
	}
	fmt.Printf("accepted as version %d\n", r.Version)
	return nil
}

func newConfigShow() *ffcli.Command {
	fs := newFlagSet("show")
	connection := addConnectionFlags(fs)
	return &ffcli.Command{
		Name: "show", ShortUsage: "balsamctl config show [flags]", ShortHelp: "show the configuration in force",
		FlagSet: fs, Options: envOptions(),
		Exec: func(context.Context, []string) error {
			client, err := connection.client()
			if err != nil {
				return err
			}
			d, err := client.Config()
			if err != nil {
				return err
			}
			return printJSON(d)
		},
	}
}

func printSection(title, text string) {
	if text != "" {
		fmt.Printf("%s\n%s", title, text)
	}
}

func printFaults(faults []string) error {
	if len(faults) == 0 {
		return nil
	}
	for _, f := range faults {
		fmt.Println(f)
	}
	return errFaults
}

// readConfig reads base.ini and the overlays in the same folder.
func readConfig(folder string) (string, map[string]string, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.ini"))
	if err != nil {
		return "", nil, err
	}
	overlays := make(map[string]string)
	base := ""
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return "", nil, err
		}
		name := strings.TrimSuffix(filepath.Base(path), ".ini")
		if name == "base" {
			base = string(data)
			continue
		}
		overlays[name] = string(data)
	}
	if base == "" {
		return "", nil, eris.Errorf("no base.ini in %s", folder)
	}
	return base, overlays, nil
}
