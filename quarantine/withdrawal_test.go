package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// loseLease simulates a closed connection of a server whose lease then runs out.
func loseLease(t *Tracker, now time.Time, server, request string) []Finding {
	t.Ended(now, request, server, true)
	return t.PresumeCrashed(now, server, 1)
}

func presumed(server string, incarnation uint64, at time.Time) Finding {
	c := PresumedCrash{Crash: Crash{Server: server, Incarnation: incarnation}, At: at}
	return Finding{Fingerprint: 7, Servers: []string{server}, Presumed: []PresumedCrash{c}, Expires: at.Add(TTL)}
}

// Guards against a content that is blamed for servers that were only silent.
func TestReturnWithdrawsPresumedCrash(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	for i, server := range []string{"a", "b", "c"} {
		tr.Started(at(10*i), newRun("r", 7, server))
		is.Equal(len(loseLease(tr, at(10*i+1), server, "r")), 1)
		is.Equal(tr.Check(at(10*i+2), 7), Suspect)
		is.Equal(tr.Returned(at(10*i+3), Crash{Server: server, Incarnation: 1}), []Fingerprint{7})
		is.Equal(tr.Check(at(10*i+4), 7), Clear)
	}
	is.Equal(len(tr.List(at(100))), 0)
	is.True(!tr.HasRecentCrash(at(100)))
}

// Guards against withdrawing too much: two servers whose leases run out and that don't return, or return
// as another incarnation, put the content in quarantine.
func TestOnlyTheSameIncarnationWithdraws(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	for i, server := range []string{"a", "b"} {
		tr.Started(at(10*i), newRun("r", 7, server))
		loseLease(tr, at(10*i+1), server, "r")
		is.Equal(len(tr.Returned(at(10*i+2), Crash{Server: server, Incarnation: 2})), 0)
	}
	is.Equal(tr.Check(at(100), 7), Quarantined)
}

func TestCertainCrashIsNotWithdrawn(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	tr.Started(at(0), newRun("r", 7, "a"))
	crash(tr, at(1), "a", "r")
	is.Equal(len(tr.Returned(at(2), Crash{Server: "a", Incarnation: 1})), 0)
	is.Equal(tr.Check(at(3), 7), Suspect)
	// A presumed crash becomes certain when another connection is refused.
	tr.Started(at(10), newRun("again", 7, "b"))
	loseLease(tr, at(11), "b", "again")
	out := tr.Crashed(at(12), "b", 1)
	is.Equal(len(out), 1)
	is.Equal(len(out[0].Presumed), 0)
	is.Equal(len(tr.Returned(at(13), Crash{Server: "b", Incarnation: 1})), 0)
	is.Equal(tr.Check(at(14), 7), Quarantined)
}

// Guards against a server that is safe to crash once it was silent: it returns and then ends.
func TestCrashAfterReturnCounts(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	tr.Started(at(0), newRun("r", 7, "a"))
	loseLease(tr, at(1), "a", "r")
	tr.Returned(at(2), Crash{Server: "a", Incarnation: 1})
	// The lease that was seen at the return was granted before the crash, and runs out as well.
	is.Equal(len(tr.PresumeCrashed(at(3), "a", 1)), 1)
	is.Equal(tr.Check(at(4), 7), Suspect)
	// The same from another instance.
	peer := NewTracker()
	peer.Returned(at(2), Crash{Server: "a", Incarnation: 1})
	peer.Merge(at(4), presumed("a", 1, at(3)))
	is.Equal(peer.Check(at(5), 7), Suspect)
}

// Guards against a late finding that brings back a withdrawn crash.
func TestFindingFromBeforeTheReturnDoesNotCount(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	tr.Returned(at(2), Crash{Server: "a", Incarnation: 1})
	tr.Merge(at(500), presumed("a", 1, at(1)))
	is.Equal(tr.Check(at(501), 7), Clear)
}

// A peer that sees only the findings and the returns arrives at the same records in any order, and
// whether it is told once or twice.
func TestWithdrawalCommutesWithMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.SampledFrom([]string{"a", "b", "c"})
		incarnations := rapid.Uint64Range(1, 2)
		var steps []func(*Tracker)
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			server, incarnation, when := servers.Draw(t, "server"), incarnations.Draw(t, "incarnation"), at(rapid.IntRange(0, 5).Draw(t, "at"))
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				steps = append(steps, func(tr *Tracker) { tr.Returned(when, Crash{Server: server, Incarnation: incarnation}) })
			case 1:
				f := presumed(server, incarnation, when)
				steps = append(steps, func(tr *Tracker) { tr.Merge(at(10), f) })
			default:
				f := Finding{Fingerprint: 7, Servers: []string{server}, Expires: when.Add(TTL)}
				steps = append(steps, func(tr *Tracker) { tr.Merge(at(10), f) })
			}
		}
		one, other := NewTracker(), NewTracker()
		for _, step := range steps {
			step(one)
		}
		for _, step := range rapid.Permutation(slices.Concat(steps, steps)).Draw(t, "order") {
			step(other)
		}
		if a, b := state(one), state(other); a != b {
			t.Fatalf("%s, in another order %s", a, b)
		}
	})
}

// state describes what a tracker holds against content 7, regardless of order.
func state(t *Tracker) string {
	now := at(20)
	var crashes []string
	if r, ok := t.records[7]; ok {
		for _, c := range r.crashes {
			crashes = append(crashes, fmt.Sprint(c.Server, c.Incarnation, c.isCertain, c.At.Sub(epoch)))
		}
		crashes = append(crashes, r.expires.Sub(epoch).String())
	}
	slices.Sort(crashes)
	return fmt.Sprint(t.Check(now, 7), crashes)
}
