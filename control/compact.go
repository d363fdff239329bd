package control

import (
	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/rotisserie/eris"
)

const (
	// minSnapshotBytes and maxSnapshotEntries bound the part of the log that follows a snapshot,
	// and with it the time that a restart takes.
	minSnapshotBytes   = 256 << 10
	maxSnapshotEntries = 4096
	// entryOverheadBytes is the estimated size of an entry in the log without its data.
	entryOverheadBytes = 32
)

// snapshotPolicy decides when a snapshot is due. It waits until the log has grown by the size of
// the last snapshot, so that snapshots at most double the amount of data written to disk.
type snapshotPolicy struct {
	lastSnapshotBytes int
	// logBytes and logEntries count what was applied since the last snapshot.
	logBytes   int
	logEntries int
}

func (p *snapshotPolicy) recordApplied(e consensus.Entry) {
	p.logBytes += len(e.Data) + entryOverheadBytes
	p.logEntries++
}

func (p *snapshotPolicy) isDue() bool {
	return p.logBytes >= max(minSnapshotBytes, p.lastSnapshotBytes) || p.logEntries >= maxSnapshotEntries
}

// encodedState is the replicated state at a log index in encoded form, or the error of encoding it.
type encodedState struct {
	node  *consensus.Node
	index uint64
	data  []byte
	err   error
}

// compact replaces the applied part of the log with a snapshot. The state is encoded in another
// goroutine, because encoding a large state would delay heartbeats for longer than an election
// timeout.
func (h *Host) compact() error {
	select {
	case e := <-h.encoded:
		h.isEncoding = false
		return h.saveEncoded(e)
	default:
	}
	if h.isEncoding || !h.snapshotPolicy.isDue() {
		return nil
	}
	h.isEncoding = true
	h.snapshotPolicy = snapshotPolicy{lastSnapshotBytes: h.snapshotPolicy.lastSnapshotBytes}
	go encodeImage(h.node, h.node.Applied(), h.state.Image(), h.encoded)
	return nil
}

// encodeImage sends the encoded image to out, whose buffer has space for it.
func encodeImage(node *consensus.Node, index uint64, image replica.Image, out chan<- encodedState) {
	data, err := image.Encode()
	out <- encodedState{node: node, index: index, data: data, err: err}
}

func (h *Host) saveEncoded(e encodedState) error {
	if e.err != nil {
		return eris.Wrap(e.err, "control: encode the state")
	}
	if e.node != h.node {
		return nil // the data folder was reset in the meantime
	}
	s, rest, ok := h.node.Compact(e.index, e.data)
	if !ok {
		return nil
	}
	if err := h.saveSnapshot(s, h.node.HardState(), rest); err != nil {
		return eris.Wrap(err, "control: save a snapshot")
	}
	h.snapshotPolicy.lastSnapshotBytes = len(e.data)
	h.log.V(1).Info("saved a snapshot", "index", s.Index, "bytes", len(e.data))
	return nil
}
