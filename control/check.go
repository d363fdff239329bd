package control

import (
	"fmt"

	"github.com/balsamlb/balsamlb/internal/build"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/storage"
)

// OpenStorage opens the data folder of an instance. It returns a storage.FormError, and leaves the folder
// as it is, if this build can't use the content.
func OpenStorage(folder, instance string) (*storage.Log, storage.Stored, error) {
	return storage.Open(storage.Options{Folder: folder, Instance: instance, Build: build.Name(), Check: checkStored})
}

func checkStored(s storage.Stored) error {
	return checkSnapshot(s.Snapshot.Data)
}

// checkSnapshot returns a storage.FormError if this build can't restore the snapshot.
func checkSnapshot(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	version, err := replica.SnapshotVersion(data)
	if err != nil {
		return err
	}
	if version != replica.SupportedSnapshotVersion {
		return &storage.FormError{Form: fmt.Sprintf("a snapshot of version %d", version)}
	}
	return nil
}
