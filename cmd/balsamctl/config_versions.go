package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

// errDiffers makes config diff exit with 1 when there is a difference, as diff does.
var errDiffers = errors.New("the configurations differ")

func newConfigDiff() *ffcli.Command {
	fs := newFlagSet("diff")
	connection := addConnectionFlags(fs)
	folder := fs.String("folder", ".", "folder to compare the version in force with")
	from := fs.Uint64("from", 0, "version to compare from (0: the one in force); only a control instance knows older ones")
	to := fs.Uint64("to", 0, "version to compare with instead of the folder (0: the folder)")
	return &ffcli.Command{
		Name: "diff", ShortUsage: "balsamctl config diff [flags]", ShortHelp: "compare the version in force with a folder, or two versions",
		LongHelp: "Exits with 1 when there is a difference.", FlagSet: fs, Options: envOptions(),
		Exec: func(context.Context, []string) error {
			client, err := connection.client()
			if err != nil {
				return err
			}
			a, err := fetchVersion(client, *from)
			if err != nil {
				return err
			}
			b, err := comparedDocument(client, *to, *folder)
			if err != nil {
				return err
			}
			if text := config.Diff(a, b); text != "" {
				fmt.Print(text)
				return errDiffers
			}
			fmt.Println("no difference")
			return nil
		},
	}
}

// comparedDocument returns the given version, or the configuration in the folder for version 0.
func comparedDocument(client *operator.Client, version uint64, folder string) (config.Document, error) {
	if version > 0 {
		return fetchVersion(client, version)
	}
	base, overlays, err := readConfig(folder)
	return config.Document{Base: base, Overlays: overlays}, err
}

// fetchVersion returns the given version, or the version in force for 0.
func fetchVersion(client *operator.Client, version uint64) (config.Document, error) {
	if version == 0 {
		return client.Config()
	}
	documents, err := client.History()
	if err != nil {
		return config.Document{}, err
	}
	for _, d := range documents {
		if d.Version == version {
			return d, nil
		}
	}
	return config.Document{}, eris.Errorf("version %d is not kept; see balsamctl config history", version)
}

func newConfigHistory() *ffcli.Command {
	return query[[]config.Document]{
		name: "history", usage: "config history [flags]", help: "list the versions that a control instance keeps",
		get:   (*operator.Client).History,
		print: printHistory,
	}.command()
}

func printHistory(w io.Writer, documents []config.Document) {
	fmt.Fprintln(w, "VERSION\tACCEPTED\tAUTHOR\tCHANGE\tCHECKED BY")
	for _, d := range documents {
		if d.Version == 0 {
			continue // the empty configuration before the first change
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", d.Version, d.At.Format(time.RFC3339), d.Author, d.ChangeID, d.Schema)
	}
}

func newConfigStatus() *ffcli.Command {
	return query[operator.Status]{
		name: "status", usage: "config status [flags]", help: "show the version in force at each instance",
		get:   (*operator.Client).Status,
		print: printConfigStatus,
	}.command()
}

func printConfigStatus(w io.Writer, s operator.Status) {
	fmt.Fprintf(w, "version %d is in force at %s; it was known to be the newest %d ms ago\n", s.ConfigVersion, s.Instance, s.ConfigAgeMs)
	newest := uint64(0)
	for _, i := range s.Instances {
		newest = max(newest, i.ConfigVersion)
	}
	fmt.Fprintln(w, "INSTANCE\tDATA CENTRE\tALIVE\tVERSION\tBEHIND\tHEARD")
	for _, i := range s.Instances {
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d\t%d ms ago\n", i.Name, i.DataCentre, i.Alive, i.ConfigVersion, newest-i.ConfigVersion, i.LastSeenMs)
	}
}

func newConfigRollback() *ffcli.Command {
	fs := newFlagSet("rollback")
	connection := addConnectionFlags(fs)
	to := fs.Uint64("to", 0, "version whose text is applied again, as a new version")
	id := fs.String("id", "", "id of the change, to send it again after a lost answer (empty: a new one)")
	expect := fs.Int64("expect", -1, "version that the change was made against (-1: the one in force)")
	author := fs.String("author", os.Getenv("USER"), "who makes the change")
	return &ffcli.Command{
		Name: "rollback", ShortUsage: "balsamctl config rollback -to VERSION [flags]", ShortHelp: "apply the text of an older version as a new one",
		FlagSet: fs, Options: envOptions(),
		Exec: func(context.Context, []string) error {
			client, err := connection.client()
			if err != nil {
				return err
			}
			if *to == 0 {
				return eris.New("name the version with -to")
			}
			d, err := fetchVersion(client, *to)
			if err != nil {
				return err
			}
			c := config.Change{ID: *id, Base: d.Base, Overlays: d.Overlays, Author: *author}
			if c.ID == "" {
				c.ID = rand.Text()
			}
			return applyConfig(client, c, *expect)
		},
	}
}
