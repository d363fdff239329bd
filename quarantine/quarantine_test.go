package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func newRun(request string, f Fingerprint, server string) Run {
	return Run{Request: request, Fingerprint: f, Server: server, Incarnation: 1}
}

// crash simulates the crash of a server that is running the requests.
func crash(t *Tracker, now time.Time, server string, requests ...string) []Finding {
	for _, r := range requests {
		t.Ended(now, r, server, true)
	}
	return t.Crashed(now, server, 1)
}

func TestCrashesOfTwoServersQuarantineContentRegardlessOfID(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	f := NewFingerprint("kandy", "draft", []byte("bad"))
	tr.Started(at(0), newRun("first", f, "a"))
	crash(tr, at(1), "a", "first")
	is.Equal(tr.Check(at(2), f), Suspect)
	tr.Started(at(2), newRun("sent again", NewFingerprint("kandy", "draft", []byte("bad")), "b"))
	out := crash(tr, at(3), "b", "sent again")
	is.Equal(tr.Check(at(4), f), Quarantined)
	is.Equal(out[0].Servers, []string{"a", "b"})
	is.Equal(tr.Check(at(4), NewFingerprint("galle", "draft", []byte("bad"))), Clear)
	is.Equal(tr.Check(at(3).Add(TTL), f), Clear)
}

func TestRepeatedCrashOfOneServerDoesNotQuarantine(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	for i := range 3 {
		tr.Started(at(10*i), Run{Request: fmt.Sprint(i), Fingerprint: 7, Server: "a", Incarnation: uint64(i)})
		tr.Ended(at(10*i+1), fmt.Sprint(i), "a", true)
		tr.Crashed(at(10*i+2), "a", uint64(i))
	}
	is.Equal(tr.Check(at(100), 7), Suspect)
}

// Guards against the incident BUDGET of shared crashes: suspects that share each server are never blamed.
func TestSuspectsThatShareTheirCrashesAreBlamedInTheEnd(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	crashes := 0
	for i := 0; tr.Check(at(100*i), 1) != Quarantined && i < 20; i++ {
		server := fmt.Sprint("s", i)
		tr.Started(at(100*i), newRun(fmt.Sprint("a", i), 1, server))
		tr.Started(at(100*i), newRun(fmt.Sprint("b", i), 2, server))
		crash(tr, at(100*i+1), server, fmt.Sprint("a", i), fmt.Sprint("b", i))
		crashes++
	}
	is.True(crashes <= trialCrashes)
}

func TestLostConnectionWithoutCrashIsNotCounted(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	tr.Started(at(0), newRun("r", 7, "a"))
	tr.Ended(at(1), "r", "a", true)
	is.Equal(tr.Check(at(2), 7), Clear)
	// A crash that is reported much later is unrelated.
	tr.Crashed(at(1).Add(crashReportTimeout+time.Millisecond), "a", 1)
	is.Equal(tr.Check(at(2), 7), Clear)
}

func TestSimultaneousCrashesCountOnce(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	tr.Started(at(0), newRun("r", 7, "a"))
	tr.Started(at(0), newRun("r", 7, "b"))
	crash(tr, at(1), "a", "r")
	crash(tr, at(2), "b", "r")
	is.Equal(tr.Check(at(3), 7), Suspect)
}

func TestCrashCountIsSharedBetweenInstances(t *testing.T) {
	is := is.New(t)
	local, peer := NewTracker(), NewTracker()
	local.Started(at(0), newRun("r", 7, "a"))
	for _, f := range crash(local, at(1), "a", "r") {
		peer.Merge(at(2), f)
	}
	is.Equal(peer.Check(at(3), 7), Suspect)
	peer.Started(at(3), newRun("again", 7, "b"))
	for _, f := range crash(peer, at(4), "b", "again") {
		local.Merge(at(5), f)
	}
	is.Equal(local.Check(at(6), 7), Quarantined)
	is.Equal(peer.Check(at(6), 7), Quarantined)
}

func TestReleasedRequestIgnoresOldFindings(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	old := Finding{Fingerprint: 7, Servers: []string{"a", "b"}, Expires: at(0).Add(TTL)}
	tr.Merge(at(0), old)
	is.Equal(len(tr.List(at(1))), 1)
	tr.Release(at(1), 7)
	tr.Merge(at(2), old)
	is.Equal(tr.Check(at(3), 7), Clear)
}

func TestCrashWithSeveralSuspectsBlamesNone(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	tr.Merge(at(0), Finding{Fingerprint: 1, Servers: []string{"x"}, Expires: at(0).Add(TTL)})
	tr.Merge(at(0), Finding{Fingerprint: 2, Servers: []string{"x"}, Expires: at(0).Add(TTL)})
	tr.Started(at(1), newRun("p", 1, "a"))
	tr.Started(at(1), newRun("q", 2, "a"))
	crash(tr, at(2), "a", "p", "q")
	is.Equal(tr.Check(at(3), 1), Suspect)
	is.Equal(tr.Check(at(3), 2), Suspect)
}

func TestCrashIsBlamedOnSuspectOnly(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	tr.Merge(at(0), Finding{Fingerprint: 1, Servers: []string{"x"}, Expires: at(0).Add(TTL)})
	tr.Started(at(1), newRun("suspect", 1, "a"))
	tr.Started(at(1), newRun("other", 2, "a"))
	crash(tr, at(2), "a", "suspect", "other")
	is.Equal(tr.Check(at(3), 1), Quarantined)
	is.Equal(tr.Check(at(3), 2), Clear)
}

// Requests share servers, and requests with one kind of content crash their server each time.
// That content is quarantined after two crashes, and every other request finishes.
func TestCrashingRequestStopsAfterTwoServersAndOthersFinish(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		tr := NewTracker()
		const culprit = Fingerprint(0)
		others := rapid.IntRange(1, 12).Draw(t, "innocents")
		servers := rapid.IntRange(4, 8).Draw(t, "servers")
		pending := []Fingerprint{culprit}
		for i := range others {
			pending = append(pending, Fingerprint(i+1))
		}
		finished := map[Fingerprint]bool{}
		crashedServers := map[string]bool{}
		crashes := 0
		now := epoch
		for round := 0; len(pending) > 0 && round < 100; round++ {
			now = now.Add(time.Second)
			running := map[string][]Fingerprint{}
			for _, f := range pending {
				if tr.Check(now, f) == Quarantined {
					continue
				}
				free := available(servers, crashedServers, tr.Reserved(now, f))
				if len(free) == 0 {
					continue
				}
				s := free[rapid.IntRange(0, len(free)-1).Draw(t, "server")]
				running[s] = append(running[s], f)
				tr.Started(now, newRun(fmt.Sprint(f), f, s))
			}
			now = now.Add(time.Second)
			for i := range servers {
				s := fmt.Sprint("s", i)
				crashed := slices.Contains(running[s], culprit)
				for _, f := range running[s] {
					tr.Ended(now, fmt.Sprint(f), s, crashed)
					if !crashed {
						finished[f] = true
						pending = slices.DeleteFunc(pending, func(g Fingerprint) bool { return g == f })
					}
				}
				if crashed {
					crashedServers[s] = true
					crashes++
					tr.Crashed(now, s, 1)
				}
			}
			if tr.Check(now, culprit) == Quarantined {
				pending = slices.DeleteFunc(pending, func(g Fingerprint) bool { return g == culprit })
			}
		}
		is.Equal(crashes, 2)
		is.Equal(tr.Check(now, culprit), Quarantined)
		for i := range others {
			is.True(finished[Fingerprint(i+1)])
			is.True(tr.Check(now, Fingerprint(i+1)) != Quarantined)
		}
	})
}

func available(servers int, crashed map[string]bool, reserved []string) []string {
	var out []string
	for i := range servers {
		s := fmt.Sprint("s", i)
		if !crashed[s] && !slices.Contains(reserved, s) {
			out = append(out, s)
		}
	}
	return out
}

func TestWaitingSuspectReservesNoServer(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	a, b := NewFingerprint("kandy", "draft", []byte("a")), NewFingerprint("kandy", "draft", []byte("b"))
	tr.Started(at(0), newRun("a", a, "s-1"))
	tr.Started(at(0), newRun("b", b, "s-1"))
	crash(tr, at(1), "s-1", "a", "b")
	tr.Started(at(2), newRun("a", a, "s-2"))
	is.Equal(tr.Reserved(at(2), b), []string{"s-2"})
	tr.SetWaiting("a", true)
	is.Equal(len(tr.Reserved(at(2), b)), 0)
	tr.SetWaiting("a", false)
	is.Equal(tr.Reserved(at(2), b), []string{"s-2"})
}

// Guards against quarantining a request for crashes of other causes: it runs while a rack and then a
// data centre are lost.
func TestRequestThatMeetsLostRacksIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	for rack := range 2 {
		now := 60_000 * rack
		server := fmt.Sprint("rack-", rack, "-0")
		tr.Started(at(now), newRun("r", 7, server))
		crash(tr, at(now+1), server, "r")
		for i := 1; i < 4; i++ {
			tr.AddServerCrash(at(now+500), Crash{Server: fmt.Sprint("rack-", rack, "-", i), Incarnation: 1})
		}
	}
	is.Equal(tr.Check(at(61_000), 7), Suspect)
	tr.Started(at(120_000), newRun("r", 7, "single"))
	crash(tr, at(120_001), "single", "r")
	is.Equal(tr.Check(at(121_000), 7), Suspect)
	tr.Started(at(130_000), newRun("r", 7, "second"))
	crash(tr, at(130_001), "second", "r")
	is.Equal(tr.Check(at(131_000), 7), Quarantined)
}
