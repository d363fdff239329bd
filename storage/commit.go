package storage

import (
	"encoding/binary"
	"fmt"

	"github.com/balsamlb/balsamlb/consensus"
)

const commitPrefix = "commit-"

func commitName(segment uint64) string { return fmt.Sprintf("%s%016x", commitPrefix, segment) }

// commitFile appends the commits that Save is given without anything that needs a sync, one frame each.
// It is a file of its own beside the newest segment, because an unsynced frame in the log could be lost
// while a frame after it is kept, and the log would then count as corrupted.
//
// The file is never synced: it outlives the process, and a loss of power after the operating system has
// written it. The next Save that syncs writes the commit to the log, too. A write that fails is not
// reported and ends the use of the file until the next segment: without it, a start only has to wait
// until a leader tells the commit.
type commitFile struct {
	file   File
	framer framer
	failed bool
}

// save appends the commit to the file beside the segment.
func (c *commitFile) save(fs FS, folder string, identity Identity, p consensus.Position) {
	if c.failed {
		return
	}
	if c.file == nil {
		file, err := fs.Create(join(folder, commitName(identity.LastSegment)))
		if err != nil {
			c.failed = true
			return
		}
		c.file, c.framer = file, newFramer(identity.Disk, identity.LastSegment)
	}
	body := binary.AppendUvarint(binary.AppendUvarint(nil, p.Term), p.Index)
	_, err := c.file.Write(c.framer.appendFrame(nil, body))
	c.failed = err != nil
}

// close closes the file before a new segment begins, whose first frame holds the commit.
func (c *commitFile) close() {
	if c.file != nil {
		_ = c.file.Close()
	}
	*c = commitFile{}
}

// readCommit adds the latest commit beside the newest segment for which the log holds the entry. The
// rest of the file after an invalid frame is ignored, and so is a file that can't be read.
func (l *Log) readCommit(s *Stored) {
	data, err := l.fs.ReadFile(join(l.folder, commitName(l.identity.LastSegment)))
	if err != nil {
		return
	}
	f := newFramer(l.identity.Disk, l.identity.LastSegment)
	for {
		body, size, ok := f.decodeFrame(data)
		if !ok {
			return
		}
		data = data[size:]
		d := decoder{remaining: body}
		p := consensus.Position{Term: d.readUvarint(), Index: d.readUvarint()}
		if !d.failed && p.Index > s.HardState.Commit.Index && s.holds(p) {
			s.HardState.Commit = p
		}
	}
}

// holds reports whether the log holds the entry at the position.
func (s *Stored) holds(p consensus.Position) bool {
	first := s.Snapshot.Index + 1
	return p.Index >= first && p.Index < first+uint64(len(s.Entries)) && s.Entries[p.Index-first].Term == p.Term
}
