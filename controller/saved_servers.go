package controller

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
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

// runSaveServers saves the known servers to a file whenever they change. If saving fails, a restarted
// instance must wait until the servers announce themselves again, and no drain or leave is acknowledged here.
func (c *Controller) runSaveServers(ctx context.Context) error {
	if c.options.DataFolder == "" {
		return nil
	}
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	failed := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		err := c.saveServers()
		if (err != nil) != failed {
			failed = err != nil
			c.options.Log.Info("saving backend servers", "works", !failed, "reason", errorText(err))
		}
	}
}

// savedServers is the state of the file of servers. mu also keeps two writes of the file apart.
type savedServers struct {
	mu       sync.Mutex
	revision uint64 // of the mesh when the file was written
}

// saveServers saves the known servers, unless the file holds them already.
func (c *Controller) saveServers() error {
	if c.options.DataFolder == "" {
		return nil
	}
	c.saved.mu.Lock()
	defer c.saved.mu.Unlock()
	revision := c.options.Mesh.Revision()
	if revision == c.saved.revision {
		return nil
	}
	data, err := c.options.Mesh.EncodeServers()
	if err != nil {
		return err
	}
	if err := storage.WriteFile(c.options.DataFolder, serversFile, data); err != nil {
		return err
	}
	c.saved.revision = revision
	return nil
}

// errorText returns the text of an error for a log line, "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
