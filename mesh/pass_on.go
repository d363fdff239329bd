package mesh

import (
	"context"
	"fmt"
)

// AwaitPassedOn waits until a majority of the voters has been written what this control instance knows of a server. This
// instance counts if it is a voter. The error wraps that of ctx.
func (m *Mesh) AwaitPassedOn(ctx context.Context, server string) error {
	for {
		isPassedOn, changed := m.isPassedOn(server)
		if isPassedOn {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("mesh: pass on what backend server %s said: %w", server, ctx.Err())
		}
	}
}

// isPassedOn reports whether AwaitPassedOn may return, and returns a channel that is closed when that may have changed.
func (m *Mesh) isPassedOn(server string) (bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	revision := m.directory.RevisionOf(server)
	knowing := map[string]bool{m.options.ControlAddress: true}
	for f := range m.controlFeeds {
		if f.writtenRevision >= revision {
			knowing[f.control] = true
		}
	}
	n := 0
	for _, voter := range m.voters {
		if knowing[voter] {
			n++
		}
	}
	return len(m.voters) == 0 || n > len(m.voters)/2, m.passedOn
}
