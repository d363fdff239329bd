package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/balsamlb/balsamlb/storage"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

const (
	errMissingFolder  = usageError("name the data folder with -data-folder")
	errMissingArchive = usageError("name the archive")
)

func newBackup() *ffcli.Command {
	fs := newFlagSet("backup")
	folder := fs.String("data-folder", "", "data folder of an instance that does not run")
	return &ffcli.Command{
		Name: "backup", ShortUsage: "balsamctl backup [flags] ARCHIVE", ShortHelp: "write a data folder to an archive",
		FlagSet: fs, Options: envOptions(),
		Exec: func(_ context.Context, args []string) error {
			if *folder == "" {
				return errMissingFolder
			}
			if len(args) != 1 {
				return errMissingArchive
			}
			if err := writeArchive(*folder, args[0]); err != nil {
				return err
			}
			fmt.Printf("wrote %s to %s\n", *folder, args[0])
			return nil
		},
	}
}

// partialSuffix marks an archive that is being written.
const partialSuffix = ".partial"

// writeArchive writes the data folder to the archive. An earlier archive at the path is replaced only
// once the new one is complete.
func writeArchive(folder, path string) error {
	partial := path + partialSuffix
	err := writeFile(partial, func(out *os.File) error {
		if err := storage.Archive(folder, out); err != nil {
			return err
		}
		return eris.Wrap(out.Sync(), "sync the archive")
	})
	if err == nil {
		err = eris.Wrap(os.Rename(partial, path), "rename the complete archive")
	}
	if err != nil {
		_ = os.Remove(partial)
		return err
	}
	return eris.Wrap(storage.OS{}.SyncDir(filepath.Dir(path)), "sync the folder of the archive")
}

func newRestore() *ffcli.Command {
	fs := newFlagSet("restore")
	folder := fs.String("data-folder", "", "data folder to fill, which must be empty or missing")
	return &ffcli.Command{
		Name: "restore", ShortUsage: "balsamctl restore [flags] ARCHIVE", ShortHelp: "fill a data folder from an archive",
		FlagSet: fs, Options: envOptions(),
		Exec: func(_ context.Context, args []string) error {
			if *folder == "" {
				return errMissingFolder
			}
			if len(args) != 1 {
				return errMissingArchive
			}
			in, err := os.Open(args[0])
			if err != nil {
				return eris.Wrap(err, "open the archive")
			}
			defer in.Close()
			if err := storage.Restore(in, *folder); err != nil {
				return err
			}
			fmt.Printf("filled %s from %s\n", *folder, args[0])
			return nil
		},
	}
}
