package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

var (
	errNoServerName = errors.New("name the backend server to drain")
	errConflict     = errors.New("the configuration has changed since; look at it and apply again")
	errFaults       = errors.New("the configuration is not valid")
)

func newStatus() *ffcli.Command {
	fs := newFlagSet("status")
	instance := instanceFlag(fs)
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name: "status", ShortUsage: "balsamctl status [flags]", ShortHelp: "show instances and backend servers",
		FlagSet: fs, Options: envOptions(),
		Exec: func(context.Context, []string) error {
			s, err := operator.NewClient(*instance).Status()
			if err != nil {
				return err
			}
			if *asJSON {
				return printJSON(s)
			}
			return printStatus(s)
		},
	}
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func printStatus(s operator.Status) error {
	fmt.Printf("instance %s in %s, configuration version %d, %d requests in flight\n", s.Instance, s.DataCentre, s.ConfigVersion, s.InFlight)
	if s.Control != nil {
		fmt.Printf("control: %s in term %d, leader %s, commit %d\n", s.Control.Role, s.Control.Term, s.Control.Leader, s.Control.Commit)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nINSTANCE\tDATA CENTRE\tALIVE\tCONFIG\tHEARD")
	for _, i := range s.Instances {
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d ms ago\n", i.Name, i.DataCentre, i.Alive, i.ConfigVersion, i.HeardMs)
	}
	fmt.Fprintln(w, "\nSERVER\tDATA CENTRE\tADDRESS\tMODEL\tLAYERS\tIN FLIGHT\tLEAVING\tLEASE")
	for _, b := range s.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d-%d\t%d\t%t\t%d ms\n", b.Name, b.DataCentre, b.Address, b.Model, b.From, b.To, b.InFlight, b.Leaving, b.LeaseMs)
	}
	return w.Flush()
}

func newConfig() *ffcli.Command {
	return &ffcli.Command{
		Name: "config", ShortUsage: "balsamctl config <check|apply|show>", ShortHelp: "check, change and show the configuration",
		FlagSet:     newFlagSet("config"),
		Subcommands: []*ffcli.Command{newConfigCheck(), newConfigApply(), newConfigShow()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
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
	instance := instanceFlag(fs)
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
			return applyConfig(operator.NewClient(*instance), c, *expect)
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
		return errConflict
	}
	fmt.Printf("accepted as version %d\n", r.Version)
	return nil
}

func newConfigShow() *ffcli.Command {
	fs := newFlagSet("show")
	instance := instanceFlag(fs)
	return &ffcli.Command{
		Name: "show", ShortUsage: "balsamctl config show [flags]", ShortHelp: "show the configuration in force",
		FlagSet: fs, Options: envOptions(),
		Exec: func(context.Context, []string) error {
			d, err := operator.NewClient(*instance).Config()
			if err != nil {
				return err
			}
			return printJSON(d)
		},
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

// readConfig reads base.ini and the overlays beside it.
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

func newDrain() *ffcli.Command {
	fs := newFlagSet("drain")
	instance := instanceFlag(fs)
	off := fs.Bool("off", false, "end the drain")
	return &ffcli.Command{
		Name: "drain", ShortUsage: "balsamctl drain [flags] SERVER", ShortHelp: "give a backend server no new work",
		FlagSet: fs, Options: envOptions(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return errNoServerName
			}
			if err := operator.NewClient(*instance).Drain(operator.DrainRequest{Server: args[0], On: !*off}); err != nil {
				return err
			}
			fmt.Printf("drain of %s: %t\n", args[0], !*off)
			return nil
		},
	}
}

func newCredits() *ffcli.Command {
	fs := newFlagSet("credits")
	instance := instanceFlag(fs)
	return &ffcli.Command{
		Name: "credits", ShortUsage: "balsamctl credits [flags]", ShortHelp: "show answered requests by member and kind",
		FlagSet: fs, Options: envOptions(),
		Exec: func(context.Context, []string) error {
			counts, err := operator.NewClient(*instance).Credits()
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
