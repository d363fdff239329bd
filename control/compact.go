package control

import (
	"github.com/balsamlb/balsamlb/consensus"
	"github.com/rotisserie/eris"
)

const (
	// minSnapshotBytes and maxSnapshotEntries bound the log after a snapshot, and so the time
	// of a restart.
	minSnapshotBytes   = 256 << 10
	maxSnapshotEntries = 4096
	// entryOverheadBytes is what an entry takes besides its data.
	entryOverheadBytes = 32
)

// snapshotPolicy decides when a snapshot is due: when as much was written to the log as the
// last snapshot holds, so that snapshots at most double what is written.
type snapshotPolicy struct {
	// last is the size of the last snapshot in bytes.
	last    int
	bytes   int
	entries int
}

func (p *snapshotPolicy) applied(e consensus.Entry) {
	p.bytes += len(e.Data) + entryOverheadBytes
	p.entries++
}

func (p *snapshotPolicy) isDue() bool {
	return p.bytes >= max(minSnapshotBytes, p.last) || p.entries >= maxSnapshotEntries
}

// compact lets a snapshot stand for the applied part of the log.
func (h *Host) compact() error {
	if !h.snapshots.isDue() {
		return nil
	}
	data, err := h.state.Snapshot()
	if err != nil {
		return eris.Wrap(err, "control: encode the state")
	}
	s, rest := h.node.Compact(data)
	if err := h.storage.SaveSnapshot(s, h.node.HardState(), rest); err != nil {
		return eris.Wrap(err, "control: save a snapshot")
	}
	h.snapshots = snapshotPolicy{last: len(data)}
	h.log.V(1).Info("saved a snapshot", "index", s.Index, "bytes", len(data))
	return nil
}
