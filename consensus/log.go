package consensus

import "slices"

// entryLog is the part of the log that is kept in memory.
type entryLog struct {
	// offset is the position directly before the first entry.
	offset   Position
	entries  []Entry
	snapshot Snapshot
	// memberships holds the membership of the snapshot and the memberships in the entries, oldest
	// first.
	memberships []loggedMembership
	// stable is the index of the last entry that the caller has saved durably.
	stable  uint64
	commit  uint64
	applied uint64
}

// loggedMembership is a membership and its position in the log.
type loggedMembership struct {
	position   Position
	membership Membership
}

// restore replaces the whole log with a snapshot.
func (l *entryLog) restore(s Snapshot) {
	*l = entryLog{
		offset:      Position{Term: s.Term, Index: s.Index},
		snapshot:    s,
		memberships: []loggedMembership{{position: Position{Term: s.Term, Index: s.Index}, membership: s.Membership}},
		stable:      s.Index,
		commit:      s.Index,
		applied:     s.Index,
	}
}

// restoreCommit marks the log as committed up to a position that was saved as committed. It does so only
// if the log holds the entry at that very position, which then follows the same entries as when the
// position was saved. Without that entry, the log may have lost its end, and may instead end with
// entries that were never committed.
func (l *entryLog) restoreCommit(p Position) {
	if term, ok := l.termAt(p.Index); ok && term == p.Term {
		l.commit = max(l.commit, p.Index)
	}
}

// commitPosition returns the position of the last committed entry.
func (l *entryLog) commitPosition() Position {
	term, _ := l.termAt(l.commit)
	return Position{Term: term, Index: l.commit}
}

// last returns the index of the last entry.
func (l *entryLog) last() uint64 { return l.offset.Index + uint64(len(l.entries)) }

// lastPosition returns the position of the last entry.
func (l *entryLog) lastPosition() Position {
	last := l.last()
	term, _ := l.termAt(last)
	return Position{Term: term, Index: last}
}

// termAt returns the term of the entry at the index. It returns false if the entry was compacted
// or does not exist yet.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	switch {
	case index == l.offset.Index:
		return l.offset.Term, true
	case index < l.offset.Index || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset.Index-1].Term, true
}

// between returns the entries after index from, up to and including index to.
func (l *entryLog) between(from, to uint64) []Entry {
	return slices.Clone(l.entries[from-l.offset.Index : to-l.offset.Index])
}

func (l *entryLog) append(entries ...Entry) {
	for _, e := range entries {
		l.entries = append(l.entries, e)
		if e.Kind != EntryMembership {
			continue
		}
		if m, err := DecodeMembership(e.Data); err == nil {
			l.memberships = append(l.memberships, loggedMembership{position: Position{Term: e.Term, Index: e.Index}, membership: m})
		}
	}
}

// truncate removes the entries from the index on, together with their memberships.
func (l *entryLog) truncate(index uint64) {
	l.entries = l.entries[:index-l.offset.Index-1]
	l.stable = min(l.stable, index-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].position.Index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// store appends the entries that the log lacks. It truncates the log only at an entry that
// conflicts. A delayed append may match the log but end before it. Such an append must not remove
// the entries that were acknowledged later.
func (l *entryLog) store(entries []Entry) {
	for i, e := range entries {
		if e.Index <= l.offset.Index {
			continue
		}
		if term, ok := l.termAt(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= l.last() {
			l.truncate(e.Index)
		}
		l.append(entries[i:]...)
		return
	}
}

// membership returns the newest membership in the log, committed or not.
func (l *entryLog) membership() Membership {
	return l.memberships[len(l.memberships)-1].membership
}

// compact replaces the log up to and including the index with a snapshot of the state. The entry
// at the index must be applied. keep is the number of replaced entries that stay in memory for
// followers that lag slightly.
func (l *entryLog) compact(index uint64, data []byte, keep uint64) Snapshot {
	term, _ := l.termAt(index)
	for len(l.memberships) > 1 && l.memberships[1].position.Index <= index {
		l.memberships = l.memberships[1:]
	}
	l.snapshot = Snapshot{Index: index, Term: term, Membership: l.memberships[0].membership, Data: data}
	if index <= l.offset.Index+keep {
		return l.snapshot
	}
	cut := index - keep
	term, _ = l.termAt(cut)
	l.entries = slices.Clone(l.entries[cut-l.offset.Index:])
	l.offset = Position{Term: term, Index: cut}
	return l.snapshot
}
