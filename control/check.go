package control

import (
	"errors"
	"fmt"

	"github.com/balsamlb/balsamlb/formlevel"
	"github.com/balsamlb/balsamlb/internal/build"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/storage"
)

// OpenStorage opens the data folder of an instance. It returns a storage.FormError, and leaves the folder
// as it is, if this build can't use the content.
func OpenStorage(folder, instance string) (*storage.Log, storage.Stored, error) {
	return storage.Open(storage.Options{Folder: folder, Instance: instance, Build: build.Name(), Check: checkStored})
}

// checkStored returns a storage.FormError if this build can't apply what the folder holds.
func checkStored(s storage.Stored) error {
	err := checkSnapshot(s.Snapshot.Data, formlevel.Supported)
	if err == nil {
		err = checkEntries(s.Entries, formlevel.Supported)
	}
	var level *formlevel.Error
	if errors.As(err, &level) {
		return &storage.FormError{Form: level.Form()}
	}
	return err
}

// checkSnapshot returns an error if this build can't restore the snapshot.
func checkSnapshot(data []byte, own formlevel.Level) error {
	version, err := replica.SnapshotVersion(data)
	if err != nil {
		return err
	}
	if len(data) > 0 && version != replica.SupportedSnapshotVersion {
		return &storage.FormError{Form: fmt.Sprintf("a snapshot of version %d", version)}
	}
	level, err := replica.SnapshotLevel(data)
	if err != nil {
		return err
	}
	if level > own {
		return &formlevel.Error{What: "a snapshot", Level: level, Supported: own}
	}
	return nil
}
