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
	// serversFile holds the servers that were known last, in the data folder.
	serversFile = "servers"
	// rememberInterval is the shortest time between two writes of it. Servers announce
	// themselves about as often, and correct what was not written any more.
	rememberInterval = 500 * time.Millisecond
)

// recall takes the servers that were known when the process ended, so that gateways that start
// at the same time need not wait until each server has announced itself. Those that are not
// heard in time fall silent.
func (c *Controller) recall() error {
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
	n, err := c.options.Mesh.Recall(time.Now(), data)
	if err != nil {
		return eris.Wrapf(err, "controller: decode %s", path)
	}
	c.options.Log.Info("recalled the servers that were known last", "servers", n)
	return nil
}

// runRemember keeps the servers that are known in a file. One that can't be written costs no
// more than the time in which servers announce themselves anew.
func (c *Controller) runRemember(ctx context.Context) error {
	if c.options.DataFolder == "" {
		return nil
	}
	ticker := time.NewTicker(rememberInterval)
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
		err := c.remember()
		if err == nil {
			written = revision
		}
		if (err != nil) != failed {
			failed = err != nil
			c.options.Log.Info("remembering servers", "works", !failed, "reason", errorText(err))
		}
	}
}

func (c *Controller) remember() error {
	data, err := c.options.Mesh.EncodeServers()
	if err != nil {
		return err
	}
	return storage.WriteFile(c.options.DataFolder, serversFile, data)
}

// errorText is what a log line says of an error; "" for none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
