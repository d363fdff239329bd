package storage

import (
	"fmt"
	"slices"
	"testing"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/matryer/is"
)

// step is one call of a log, and what is stored after it.
type step struct {
	run    func(l *Log) error
	stored Stored
}

// stopSteps returns calls that create, append to, overwrite, rotate and compact a log.
func stopSteps() []step {
	hard := func(term uint64) consensus.HardState { return consensus.HardState{Term: term, Vote: "galle-1"} }
	save := func(h *consensus.HardState, e []consensus.Entry, rotate bool) func(*Log) error {
		return func(l *Log) error {
			if rotate {
				l.segmentSize = maxSegmentBytes
			}
			return l.Save(h, e)
		}
	}
	snapshot := func(index uint64, h consensus.HardState, rest []consensus.Entry) func(*Log) error {
		return func(l *Log) error {
			return l.SaveSnapshot(consensus.Snapshot{Index: index, Term: 1, Data: []byte("state")}, h, rest)
		}
	}
	h1, h2, h3 := hard(1), hard(2), hard(3)
	at := func(index uint64) consensus.Snapshot { return consensus.Snapshot{Index: index} }
	return []step{
		{save(&h1, nil, false), Stored{HardState: h1}},
		{save(nil, entries(1, 1, 4), false), Stored{HardState: h1, Entries: entries(1, 1, 4)}},
		{save(&h2, entries(2, 4, 6), true), Stored{HardState: h2, Entries: slices.Concat(entries(1, 1, 3), entries(2, 4, 6))}},
		{snapshot(3, h2, entries(2, 4, 6)), Stored{HardState: h2, Snapshot: at(3), Entries: entries(2, 4, 6)}},
		{save(nil, entries(2, 7, 7), false), Stored{HardState: h2, Snapshot: at(3), Entries: entries(2, 4, 7)}},
		{snapshot(9, h3, nil), Stored{HardState: h3, Snapshot: at(9)}},
		{save(nil, entries(3, 10, 11), true), Stored{HardState: h3, Snapshot: at(9), Entries: entries(3, 10, 11)}},
	}
}

// describeStored returns what must not be lost, for comparison.
func describeStored(s Stored) string {
	var terms []uint64
	for _, e := range s.Entries {
		terms = append(terms, e.Term)
	}
	return fmt.Sprint(s.HardState, s.Snapshot.Index, indexes(s.Entries), terms)
}

// The process stops before each change that the file system sees, and then before each change of the next
// start. Each start then finds what was acknowledged, or this and the call that was interrupted, or this and
// the hard state of that call: a term and a vote may be stored before they are acknowledged.
func TestStopAtAnyChangeLosesNothingAcknowledged(t *testing.T) {
	for _, keep := range []int{0, 1, 9} { // unsynced bytes that survive
		for _, removesAtOnce := range []bool{false, true} {
			t.Run(fmt.Sprint(keep, removesAtOnce), func(t *testing.T) { checkStops(t, keep, removesAtOnce) })
		}
	}
}

func checkStops(t *testing.T, keep int, removesAtOnce bool) {
	is := is.New(t)
	points := 0
	for first, finished := 0, false; !finished; first++ {
		for second, restarted := 0, false; !restarted; second++ {
			points++
			m := newMemFS()
			m.stopAfter, m.removesAtOnce = first, removesAtOnce
			before := Stored{}
			allowed := []string{describeStored(before)}
			l, _, err := reopen(m)
			for _, s := range stopSteps() {
				if err != nil {
					break
				}
				if err = s.run(l); err == nil {
					before, allowed = s.stored, nil
				}
				allowed = append(allowed, describeStored(s.stored))
				before.HardState = s.stored.HardState
				allowed = append(allowed, describeStored(before))
			}
			finished = err == nil
			m.crash(keep)
			m.stopAfter = second
			_, _, err = reopen(m)
			restarted = err == nil
			m.crash(keep)
			l, s := mustOpen(t, m)
			if !slices.Contains(allowed, describeStored(s)) {
				t.Fatalf("stops before the changes %d and %d: stored %s, allowed %v", first, second, describeStored(s), allowed)
			}
			// The log goes on.
			next := s.Snapshot.Index + uint64(len(s.Entries)) + 1
			is.NoErr(l.Save(nil, entries(9, next, next)))
			m.crash(keep)
			_, again := mustOpen(t, m)
			is.Equal(indexes(again.Entries), append(indexes(s.Entries), next))
		}
	}
	t.Logf("%d combinations of two stops", points)
}
