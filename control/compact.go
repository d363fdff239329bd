package control

import (
	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/replica"
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

// encodedState is the state at an index, encoded for a snapshot.
type encodedState struct {
	node  *consensus.Node
	index uint64
	data  []byte
	err   error
}

// compact lets a snapshot stand for the applied part of the log. The state is encoded aside,
// or a large one would hold up heartbeats for longer than an election timeout.
func (h *Host) compact() error {
	select {
	case e := <-h.encoded:
		h.isEncoding = false
		return h.saveSnapshot(e)
	default:
	}
	if h.isEncoding || !h.snapshots.isDue() {
		return nil
	}
	h.isEncoding = true
	h.snapshots = snapshotPolicy{last: h.snapshots.last}
	go encode(h.node, h.node.Applied(), h.state.Image(), h.encoded)
	return nil
}

// encode sends the encoded image to out, which has room for it.
func encode(node *consensus.Node, index uint64, image replica.Image, out chan<- encodedState) {
	data, err := image.Encode()
	out <- encodedState{node: node, index: index, data: data, err: err}
}

func (h *Host) saveSnapshot(e encodedState) error {
	if e.err != nil {
		return eris.Wrap(e.err, "control: encode the state")
	}
	if e.node != h.node {
		return nil // the folder was begun anew meanwhile
	}
	s, rest, ok := h.node.Compact(e.index, e.data)
	if !ok {
		return nil
	}
	if err := h.storage.SaveSnapshot(s, h.node.HardState(), rest); err != nil {
		return eris.Wrap(err, "control: save a snapshot")
	}
	h.snapshots.last = len(e.data)
	h.log.V(1).Info("saved a snapshot", "index", s.Index, "bytes", len(e.data))
	return nil
}
