package controller

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/balsamlb/balsamlb/storage"
	"github.com/rotisserie/eris"
)

const (
	// serversFile is the file in the data folder that holds the known servers.
	serversFile = "servers"
	// saveInterval is the shortest time between two writes of the file. Servers announce
	// themselves about as often, so after a restart their announcements soon replace outdated
	// entries of the file.
	saveInterval = 500 * time.Millisecond
)

// loadServers loads the servers that were known when the process ended, so that gateways that
// start at the same time need not wait until each server has announced itself. Servers that don't
// announce themselves in time become silent.
func (c *Controller) loadServers() error {
	if c.options.DataFolder == "" {
		return nil
	}
	path := filepath.Join(c.options.DataFolder, serversFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return eris.Wrapf(err, "controller: read %s", path)
	}
	n, err := c.options.Mesh.RestoreServers(time.Now(), data)
	if err != nil {
		return eris.Wrapf(err, "controller: decode %s", path)
	}
	c.options.Log.Info("loaded the saved backend servers", "servers", n)
	return nil
}

// runSaveServers saves the known servers to a file whenever they change. If saving fails, the only
// consequence is that a restarted instance must wait until the servers announce themselves again.
func (c *Controller) runSaveServers(ctx context.Context) error {
	if c.options.DataFolder == "" {
		return nil
	}
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	written := c.options.Mesh.Revision()
	failed := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		revision := c.options.Mesh.Revision()
		if revision == written {
			continue
		}
		err := c.saveServers()
		if err == nil {
			written = revision
		}
		if (err != nil) != failed {
			failed = err != nil
			c.options.Log.Info("saving backend servers", "works", !failed, "reason", errorText(err))
		}
	}
}

func (c *Controller) saveServers() error {
	data, err := c.options.Mesh.EncodeServers()
	if err != nil {
		return err
	}
	return storage.WriteFile(c.options.DataFolder, serversFile, data)
}

// errorText returns the text of an error for a log line, "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
