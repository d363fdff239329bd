package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func crashOf(server string) Crash { return Crash{Server: server, Incarnation: 1} }

// addCrash records that a server crashed while it ran the contents.
func addCrash(e *Evidence, now time.Time, server string, contents ...Fingerprint) {
	e.AddServerCrash(now, crashOf(server))
	for _, f := range contents {
		e.AddContentCrash(now, f, crashOf(server), true)
	}
}

// Guards against the incident BUDGET: a content that crashed three servers is sent again.
func TestContentIsInQuarantineAfterThreeCrashes(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	is.Equal(e.Check(at(0), 1), Clear)
	addCrash(e, at(0), "a", 1, 2)
	is.Equal(e.Check(at(1), 1), Clear)
	addCrash(e, at(100), "b", 1, 3)
	is.Equal(e.Check(at(101), 1), Suspect)
	addCrash(e, at(200), "c", 1, 4)
	is.Equal(e.Check(at(201), 1), Quarantined)
	for f := Fingerprint(2); f <= 4; f++ {
		is.Equal(e.Check(at(201), f), Clear)
	}
	is.Equal(e.Check(at(200).Add(TTL), 1), Clear)
	e.RemoveExpired(at(200).Add(TTL))
	is.Equal(e.Len(), 0)
}

// Contents that were part of the same crashes can't be told apart until one of them crashes a server
// without the others.
func TestSuspectsAreToldApartByTheNextCrash(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	contents := []Fingerprint{1, 2, 3, 4, 5}
	for i := range 3 {
		addCrash(e, at(100*i), fmt.Sprint("s", i), contents...)
	}
	for _, f := range contents {
		is.Equal(e.Check(at(300), f), Suspect)
	}
	addCrash(e, at(400), "t", 3)
	is.Equal(e.Check(at(401), 3), Quarantined)
	for _, f := range []Fingerprint{1, 2, 4, 5} {
		is.Equal(e.Check(at(401), f), Clear)
	}
}

// Guards against the incident BUDGET of shared crashes: a content with many crashes is clear again once a
// popular part of the prompts beside it is held to blame for them.
func TestContentWithManyCrashesStaysInQuarantine(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	const guilty, popular = Fingerprint(1), Part(9)
	for i := range 20 {
		now := at(100 * i)
		crash := crashOf(fmt.Sprint("s", i))
		e.AddServerCrash(now, crash)
		for f := guilty; f < guilty+4; f++ { // others come and go; each meets a few crashes
			other := f + Fingerprint(1000*(i/3))
			if f == guilty {
				other = guilty
			}
			e.AddContentCrash(now, other, crash, true)
			e.AddPartCrash(now, crash, true, []Part{popular})
		}
		if i >= 2*quarantineCrashes {
			is.Equal(e.Check(now.Add(soundRunDelay), guilty), Quarantined)
		}
	}
}

func TestCrashesWithACommonCauseAreExcused(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for i := range 2 { // two racks, minutes apart
		now := at(60_000 * i)
		for s := range 4 {
			e.AddServerCrash(now, crashOf(fmt.Sprint("rack-", i, "-", s)))
		}
		addCrash(e, now, fmt.Sprint("rack-", i, "-0"), 1)
	}
	addCrash(e, at(200_000), "single", 1)
	is.Equal(e.Check(at(200_001), 1), Clear)
	addCrash(e, at(300_000), "second", 1)
	is.Equal(e.Check(at(300_001), 1), Suspect)
}

// A content that crashes servers is found also if other servers crash all the time.
func TestCommonCauseExcusesFewCrashes(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	crashes := 0
	for i := 0; e.Check(at(10_000*i), 1) != Quarantined; i++ {
		for s := range 4 {
			e.AddServerCrash(at(10_000*i), crashOf(fmt.Sprint("other-", i, "-", s)))
		}
		addCrash(e, at(10_000*i), fmt.Sprint("s", i), 1)
		crashes++
		is.True(crashes <= quarantineCrashes+maxExcused)
	}
}

// Guards against blaming a draft that is rerouted past the servers of a data centre that is cut off.
func TestUnreachableServersOfACutCountForNoContent(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for i := range 6 { // the draft finds them one after the other
		e.AddContentCrash(at(200*i), 1, crashOf(fmt.Sprint("cut-", i)), false)
		is.Equal(e.Check(at(200*i+1), 1), Clear)
	}
	e.AddServerCrash(at(1200), crashOf("cut-6")) // another draft finds one that this draft didn't use
	is.Equal(e.Check(at(5000), 1), Clear)
	e.ConfirmCrash(crashOf("cut-0"))
	e.ConfirmCrash(crashOf("cut-1"))
	is.Equal(e.Check(at(5000), 1), Suspect)
}

// A server that falls silent and never returns counts as crashed after a while.
func TestUnreachableServerCountsAfterADelay(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for i := range 3 {
		e.AddContentCrash(at(100*i), 1, crashOf(fmt.Sprint("s", i)), false)
	}
	is.Equal(e.Check(at(300), 1), Clear)
	is.Equal(e.Check(at(200).Add(presumedDelay), 1), Quarantined)
}

// Copies of a content that crash several servers at once don't excuse each other.
func TestBatchOfOneContentHasNoCommonCause(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for s := range 7 {
		addCrash(e, at(s), fmt.Sprint("s", s), 1)
	}
	is.Equal(e.Check(at(10), 1), Quarantined)
}

func TestServerThatIsAliveCountsForNoContent(t *testing.T) {
	is := is.New(t)
	e, peer := NewEvidence(), NewEvidence()
	for i := range 3 {
		addCrash(e, at(i), fmt.Sprint("s", i), 1)
	}
	exchange(at(10), e, peer)
	is.Equal(peer.Check(at(10), 1), Quarantined)
	e.VoidCrash(crashOf("s0"))
	is.Equal(e.Check(at(10), 1), Suspect)
	exchange(at(10), e, peer)
	is.Equal(peer.Check(at(10), 1), Suspect)
	exchange(at(10), peer, e) // an older report doesn't bring the crash back
	is.Equal(e.Check(at(10), 1), Suspect)
}

func TestServedOrReleasedContentIsAbsolvedEverywhere(t *testing.T) {
	is := is.New(t)
	e, peer := NewEvidence(), NewEvidence()
	for i := range 3 {
		addCrash(e, at(i), fmt.Sprint("s", i), 1)
	}
	exchange(at(10), e, peer)
	is.Equal(len(peer.List(at(10))), 1)
	is.True(peer.Absolve(1))
	is.True(!peer.Absolve(1))
	exchange(at(11), peer, e)
	is.Equal(e.Check(at(11), 1), Clear)
	for i := range 3 { // new crashes count
		addCrash(e, at(20+i), fmt.Sprint("t", i), 1)
	}
	is.Equal(e.Check(at(30), 1), Quarantined)
}

// exchange reports everything that one instance knows to another.
func exchange(now time.Time, from, to *Evidence) {
	reports, _ := from.Since(0, false, maxContents)
	for _, r := range reports {
		to.Merge(now, r)
	}
}

// A single crash is reported only if asked for: most requests that were on a crashed server are
// served on another one.
func TestSingleCrashIsNotReported(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	addCrash(e, at(0), "s", 1, 2)
	reports, _ := e.Since(0, false, 10)
	is.Equal(len(reports), 0)
	e.Share(2)
	reports, _ = e.Since(0, true, 10)
	is.Equal(len(reports), 1)
	is.Equal(reports[0].Fingerprint, Fingerprint(2))
}

func TestReportsAreBoundedAndResumed(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for f := range 25 {
		addCrash(e, at(f), fmt.Sprint("s", f), Fingerprint(f))
		e.Share(Fingerprint(f))
	}
	var got []Fingerprint
	revision := uint64(0)
	for revision < e.Revision() {
		var reports []ContentReport
		reports, revision = e.Since(revision, false, 10)
		is.True(len(reports) <= 10)
		for _, r := range reports {
			got = append(got, r.Fingerprint)
		}
	}
	is.Equal(len(got), 25)
	slices.Sort(got)
	is.Equal(len(slices.Compact(got)), 25)
}

func TestEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for f := range 10_000 {
		addCrash(e, at(f), fmt.Sprint("s", f), Fingerprint(f))
		if f%500 == 0 {
			for i := range 2 * maxCrashesPerContent {
				addCrash(e, at(f), fmt.Sprint("s", f, "-", i), Fingerprint(f))
			}
		}
		is.True(e.Len() <= maxContents)
	}
	is.True(len(e.history.crashes) <= maxServerCrashes)
	for _, r := range e.contents {
		is.True(len(r.crashes) <= maxCrashesPerContent)
	}
}

// Evidence merges to the same verdicts, whatever the order of the reports.
func TestInstancesAgreeAfterAnExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		instances := []*Evidence{NewEvidence(), NewEvidence(), NewEvidence()}
		steps := rapid.IntRange(1, 30).Draw(t, "steps")
		for i := range steps {
			e := instances[rapid.IntRange(0, 2).Draw(t, "instance")]
			f := Fingerprint(rapid.IntRange(1, 4).Draw(t, "content"))
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				e.Absolve(f)
			case 1:
				e.ConfirmCrash(crashOf(fmt.Sprint("s", rapid.IntRange(0, 9).Draw(t, "server"))))
			case 2:
				e.VoidCrash(crashOf(fmt.Sprint("s", rapid.IntRange(0, 9).Draw(t, "server"))))
			case 3:
				exchange(at(1000*i), e, instances[rapid.IntRange(0, 2).Draw(t, "peer")])
			default:
				server := crashOf(fmt.Sprint("s", rapid.IntRange(0, 9).Draw(t, "server")))
				e.AddContentCrash(at(1000*i), f, server, rapid.Bool().Draw(t, "is confirmed"))
				e.Share(f)
			}
		}
		now := at(1000 * steps)
		for range 2 { // each instance has told each other what it heard
			for _, from := range instances {
				for _, to := range instances {
					exchange(now, from, to)
				}
			}
		}
		for f := Fingerprint(1); f <= 4; f++ {
			counts := make([]int, len(instances))
			for i, e := range instances {
				if r, ok := e.contents[f]; ok {
					counts[i] = r.count()
					for _, c := range r.crashes {
						if !c.Void && c.IsConfirmed {
							counts[i] += 100
						}
					}
				}
			}
			is.Equal(counts[0], counts[1])
			is.Equal(counts[0], counts[2])
		}
	})
}

// Requests share servers, one content crashes its server each time, and suspects run in trials. The
// content is found after few crashes, and all others are served.
func TestCrashingContentIsFoundAndOthersAreServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		e := NewEvidence()
		const culprit = Fingerprint(0)
		others := rapid.IntRange(1, 20).Draw(t, "others")
		servers := rapid.IntRange(1, 8).Draw(t, "servers")
		pending := []Fingerprint{culprit}
		for i := range others {
			pending = append(pending, Fingerprint(i+1))
		}
		crashes := 0
		claims := make(map[Fingerprint]uint64)
		now := epoch
		for round := range 400 {
			now = at(1000 * round)
			running := make([][]Fingerprint, servers)
			for _, f := range pending {
				if e.Check(now, f) == Quarantined {
					continue
				}
				if e.NeedsTrial(now, f) {
					if claims[f] == 0 {
						claims[f] = 64*rapid.Uint64Range(1, 1<<40).Draw(t, "claim") + uint64(f)
					}
					claim, _ := e.ClaimTrial(now, f, claims[f])
					if claim == ClaimDenied {
						claims[f] = 0
					}
					if claim != ClaimHolds || !e.BeginTrial(now, f, claims[f]) {
						continue
					}
				}
				s := rapid.IntRange(0, servers-1).Draw(t, "server")
				running[s] = append(running[s], f)
			}
			for s, contents := range running {
				crash := Crash{Server: fmt.Sprint("s", s), Incarnation: uint64(round)}
				if slices.Contains(contents, culprit) {
					crashes++
					for _, f := range contents {
						e.AddContentCrash(now, f, crash, true)
						e.EndTrial(now, f, claims[f], false)
						claims[f] = 0
					}
					continue
				}
				for _, f := range contents {
					e.Absolve(f)
					pending = slices.DeleteFunc(pending, func(g Fingerprint) bool { return g == f })
				}
			}
			if len(pending) == 1 && e.Check(now, culprit) == Quarantined {
				break
			}
		}
		is.Equal(pending, []Fingerprint{culprit})
		is.Equal(e.Check(now, culprit), Quarantined)
		is.True(crashes <= trialCrashes+maxTrials+1)
	})
}

func TestFingerprintOfPartsIsUnambiguous(t *testing.T) {
	is := is.New(t)
	base := NewFingerprint("kandy", "desk", []byte("x"), "POST", "shop", "/hold/1")
	is.Equal(NewFingerprint("kandy", "desk", []byte("x"), "POST", "shop", "/hold/1"), base)
	for _, other := range []Fingerprint{
		NewFingerprint("kand", "ydesk", []byte("x"), "POST", "shop", "/hold/1"),
		NewFingerprint("kandy", "desk", []byte("xPOST"), "", "shop", "/hold/1"),
		NewFingerprint("kandy", "desk", []byte("x"), "POST", "shop", "/hold/2"),
		NewFingerprint("kandy", "desk", []byte("x")),
	} {
		is.True(other != base)
	}
}

// BenchmarkCheckOfContentWithoutCrashes measures what a request costs whose content never crashed a
// server, while others are known that did.
func BenchmarkCheckOfContentWithoutCrashes(b *testing.B) {
	e := NewEvidence()
	addCrash(e, at(0), "s", 7)
	body := make([]byte, 1500)
	b.ReportAllocs()
	for b.Loop() {
		if e.Check(at(1), NewFingerprint("kandy", "desk", body, "POST", "shop", "/hold/1")) != Clear {
			b.Fatal("not clear")
		}
	}
}

// Contents that share all their crashes are tried one at a time; each gets its trial.
func TestPrimeSuspectsAreTriedApart(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	contents := []Fingerprint{30, 10, 20}
	for i := range trialCrashes {
		addCrash(e, at(i), fmt.Sprint("s", i), contents...)
	}
	claims := make(map[Fingerprint]uint64)
	ends := make(map[Fingerprint]time.Time)
	tried := make(map[Fingerprint]int)
	for ms, nextID := 1, uint64(1); ms < 20_000; ms += 50 {
		now := at(ms)
		for _, f := range contents {
			if end, isRunning := ends[f]; isRunning {
				if !now.Before(end) {
					e.EndTrial(now, f, claims[f], true) // it has not run
					delete(ends, f)
					claims[f] = 0
				}
				continue
			}
			if claims[f] == 0 {
				claims[f], nextID = nextID, nextID+1
			}
			claim, _ := e.ClaimTrial(now, f, claims[f])
			switch {
			case claim == ClaimHolds && e.BeginTrial(now, f, claims[f]):
				ends[f] = now.Add(time.Second)
				tried[f]++
			case claim == ClaimDenied:
				claims[f] = 0
			}
		}
		is.True(len(ends) <= 1)
	}
	for _, f := range contents {
		is.True(tried[f] > 0)
	}
}

// Guards against an innocent content that meets the crashes of two guilty ones and a third cause.
func TestContentBesideTwoGuiltyOnesIsClear(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	const first, second, innocent = 1, 2, 3
	for i := range 4 {
		addCrash(e, at(20_000*i), fmt.Sprint("a", i), first)
		addCrash(e, at(20_000*i+10_000), fmt.Sprint("b", i), second)
	}
	for i := range 2 {
		e.AddContentCrash(at(20_000*i), innocent, crashOf(fmt.Sprint("a", i)), true)
		e.AddContentCrash(at(20_000*i+10_000), innocent, crashOf(fmt.Sprint("b", i)), true)
	}
	now := at(80_000)
	is.Equal(e.Check(now, first), Quarantined)
	is.Equal(e.Check(now, second), Quarantined)
	is.Equal(e.Check(now, innocent), Clear)
}

// Guards against a record full of crashes that don't count: further ones must still be recorded.
func TestConfirmedCrashesReplacePresumedOnes(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for i := range maxCrashesPerContent { // a cut, in which other servers are unreachable, too
		e.AddContentCrash(at(i), 1, crashOf(fmt.Sprint("cut-", i)), false)
		e.AddServerCrash(at(i), crashOf(fmt.Sprint("other-", i)))
	}
	is.Equal(e.Check(at(10_000), 1), Clear)
	for i := range 3 {
		addCrash(e, at(20_000+100*i), fmt.Sprint("s", i), 1)
	}
	is.Equal(e.Check(at(21_000), 1), Quarantined)
	is.True(len(e.contents[1].crashes) <= maxCrashesPerContent)
}

// Guards against a report of a presumed crash that arrives after the server has gone on. Only a
// confirmed crash of that incarnation counts from then on.
func TestWithdrawnCrashCountsOnlyIfConfirmed(t *testing.T) {
	now := time.Unix(1000, 0)
	crash := Crash{Server: "s", Incarnation: 1}
	parts := []Part{7, 8}
	ways := map[string]func(e *Evidence, isConfirmed bool){
		"recorded here": func(e *Evidence, isConfirmed bool) {
			e.AddContentCrash(now, 5, crash, isConfirmed)
			e.AddPartCrash(now, crash, isConfirmed, parts)
		},
		"reported by another instance": func(e *Evidence, isConfirmed bool) {
			e.Merge(now, ContentReport{Fingerprint: 5, Crashes: []ContentCrash{{Crash: crash, At: now, IsConfirmed: isConfirmed}}})
			e.MergeParts(now, PartReport{Crash: crash, At: now, IsConfirmed: isConfirmed, Parts: parts})
		},
	}
	for name, report := range ways {
		for _, isConfirmed := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", confirmed ", isConfirmed), func(t *testing.T) {
				is := is.New(t)
				e := NewEvidence()
				e.VoidCrash(crash)
				report(e, isConfirmed)
				is.Equal(e.Absolve(5), isConfirmed)
				is.Equal(e.ReleasePart(7), isConfirmed)
			})
		}
	}
}
