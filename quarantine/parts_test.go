package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// addPartCrash records that a server crashed while it ran a request with each of the prompts.
func addPartCrash(e *Evidence, now time.Time, server string, prompts ...[]Part) {
	e.AddServerCrash(now, crashOf(server))
	for _, parts := range prompts {
		e.AddPartCrash(now, crashOf(server), true, parts)
	}
}

func isHeld(e *Evidence, now time.Time, parts ...Part) bool {
	_, _, ok := e.HeldPart(now, parts)
	return ok
}

// Guards against the incident BUDGET: unlike requests with one part crash server after server.
func TestPartIsHeldBackAfterFourCrashes(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for i := range 4 {
		is.True(!isHeld(e, at(1000*i), 1, 9))
		addPartCrash(e, at(1000*i), fmt.Sprint("s", i), []Part{1, 9}, []Part{1, Part(100 + i)})
		e.ClearParts(at(1000*i+1), []Part{1, 2})
	}
	is.True(isHeld(e, at(3001), 9))
	is.True(isHeld(e, at(3001), 5, 9, 1)) // in another order
	for _, p := range []Part{1, 2, 100, 103} {
		is.True(!isHeld(e, at(3001), p))
	}
	is.True(!isHeld(e, at(3000).Add(TTL), 9))
	e.RemoveExpired(at(3000).Add(TTL))
	is.Equal(e.Len(), 0)
}

// A run that began before a crash says nothing of a part that has begun to crash servers since.
func TestOnlyLaterSoundRunsClearAPart(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for i := range 4 {
		addPartCrash(e, at(1000*(i+1)), fmt.Sprint("s", i), []Part{9})
		is.True(!e.ClearParts(at(0), []Part{9}))
	}
	is.True(isHeld(e, at(4001), 9))
	is.True(e.ClearParts(at(4001), []Part{9}))
	is.True(!isHeld(e, at(4002), 9))
	is.True(!e.ClearParts(at(4003), []Part{9}))
}

// A crash that becomes known after a sound run that began later doesn't count.
func TestSoundRunClearsCrashesThatAreReportedLater(t *testing.T) {
	is := is.New(t)
	e, peer := NewEvidence(), NewEvidence()
	addPartCrash(e, at(0), "s0", []Part{9})
	e.ClearParts(at(5000), []Part{9})
	for i := range 4 {
		addPartCrash(peer, at(1000*i), fmt.Sprint("s", i), []Part{9})
	}
	exchangeParts(at(6000), peer, e)
	is.True(!isHeld(e, at(6000), 9))
	exchangeParts(at(6000), e, peer)
	is.True(!isHeld(peer, at(6000), 9))
}

// Parts that are in the prompts of the same requests can't be told apart until one of them is sound,
// or crashes servers without the other. Requests with one of them are served.
func TestPartsOfTheSameCrashesAreHeldBackTogether(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for i := range 4 {
		addPartCrash(e, at(1000*i), fmt.Sprint("s", i), []Part{1, 9})
	}
	is.True(isHeld(e, at(3001), 1, 9))
	is.True(!isHeld(e, at(3001), 1, 8))
	is.True(!isHeld(e, at(3001), 9))
	addPartCrash(e, at(4000), "t", []Part{9})
	is.True(isHeld(e, at(4001), 9))
	is.True(!isHeld(e, at(4001), 1))
}

// Guards against a part that is held back for crashes that another one explains.
func TestPartBesideCrashingOneIsServed(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for i := range 9 {
		prompts := [][]Part{{1, 9}}
		if i > 2 {
			prompts = append(prompts, []Part{1, 8}) // 6 of 9 crashes
		}
		addPartCrash(e, at(1000*i), fmt.Sprint("s", i), prompts...)
		e.ClearParts(at(1000*i+1), []Part{1})
	}
	is.True(isHeld(e, at(9000), 9))
	is.True(!isHeld(e, at(9000), 8))
	is.True(!isHeld(e, at(9000), 1))
}

func TestTwoCrashingPartsAreHeldBack(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for i := range 10 {
		addPartCrash(e, at(300*i), fmt.Sprint("s", i), []Part{1, Part(8 + i%2)}, []Part{1, 2})
		e.ClearParts(at(300*i+1), []Part{1, 2})
	}
	is.True(isHeld(e, at(3000), 8))
	is.True(isHeld(e, at(3000), 9))
	is.True(!isHeld(e, at(3000), 1, 2))
}

// A content that crashes servers alone is held back by itself, not by the parts of its prompt.
func TestPartsOfOneCrashingContentAreServed(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for i := range 6 {
		addPartCrash(e, at(1000*i), fmt.Sprint("s", i), []Part{1, 9})
		e.AddContentCrash(at(1000*i), 5, crashOf(fmt.Sprint("s", i)), true)
	}
	is.Equal(e.Check(at(6000), 5), Quarantined)
	is.True(!isHeld(e, at(6000), 1, 9))
	addPartCrash(e, at(6000), "t", []Part{1, 9}) // another content
	is.True(isHeld(e, at(6001), 1, 9))
}

// Contents that were on servers that a part has crashed aren't blamed.
func TestCrashesOfAPartCountForNoContent(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for i := range 6 {
		server := fmt.Sprint("s", i)
		addPartCrash(e, at(1000*i), server, []Part{9})
		if i < 4 {
			e.AddContentCrash(at(1000*i), 5, crashOf(server), true)
		}
	}
	is.Equal(e.Check(at(6000), 5), Clear)
}

// A rack crashes while its servers run a popular part, and no later run is known.
func TestCrashedRackCountsLittleForAPopularPart(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for i := range 8 {
		addPartCrash(e, at(10*i), fmt.Sprint("rack", i), []Part{1})
	}
	for i := range 3 { // servers of the rack that ran nothing
		e.AddServerCrash(at(100), crashOf(fmt.Sprint("idle", i)))
	}
	is.True(!isHeld(e, at(5000), 1))
}

func TestBatchOfRequestsWithAPartIsNoRack(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for i := range 8 {
		addPartCrash(e, at(i), fmt.Sprint("s", i), []Part{1, 9})
	}
	e.ClearParts(at(100), []Part{1})
	is.True(isHeld(e, at(0).Add(soundRunDelay), 9))
}

func TestPartCrashesAreVoidedConfirmedAndReleased(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for i := range 4 {
		e.AddPartCrash(at(1000*i), crashOf(fmt.Sprint("s", i)), false, []Part{9})
	}
	is.True(!isHeld(e, at(3600), 9)) // the last one is only presumed
	e.ConfirmCrash(crashOf("s3"))
	is.True(isHeld(e, at(3600), 9))
	e.VoidCrash(crashOf("s0"))
	is.True(!isHeld(e, at(3600), 9))
	addPartCrash(e, at(4000), "t", []Part{9})
	is.True(isHeld(e, at(4001), 9))
	is.True(e.ReleasePart(9))
	is.True(!isHeld(e, at(4001), 9))
	is.True(!e.ReleasePart(9))
	is.True(!e.ReleasePart(77))
}

// exchangeParts sends what one instance knows of parts to another one.
func exchangeParts(now time.Time, from, to *Evidence) {
	reports, _ := from.PartsSince(0, false, maxPartCrashes)
	for _, r := range reports {
		to.MergeParts(now, r)
	}
}

// Instances that have exchanged what they know agree, in whatever order reports arrive and however
// often.
func TestInstancesAgreeOnParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := []*Evidence{NewEvidence(), NewEvidence(), NewEvidence()}
		now := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.IntRange(0, 800).Draw(t, "pause")
			e := instances[rapid.IntRange(0, 2).Draw(t, "instance")]
			server := fmt.Sprint("s", rapid.IntRange(0, 12).Draw(t, "server"))
			part := Part(rapid.IntRange(1, 4).Draw(t, "part"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				e.ClearParts(at(now), []Part{part})
			case 1:
				e.VoidCrash(crashOf(server))
			case 2:
				e.ConfirmCrash(crashOf(server))
			case 3:
				e.ReleasePart(part)
			case 4:
				exchangeParts(at(now), e, instances[rapid.IntRange(0, 2).Draw(t, "to")])
			default:
				e.AddPartCrash(at(now), crashOf(server), rapid.Bool().Draw(t, "confirmed"), []Part{part, 5})
			}
		}
		for range 3 {
			for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
				for to := range instances {
					exchangeParts(at(now), instances[i], instances[to])
					exchangeParts(at(now), instances[i], instances[to])
				}
			}
		}
		for _, e := range instances[1:] {
			if a, b := describe(instances[0]), describe(e); !slices.Equal(a, b) {
				t.Fatalf("instances differ:\n%v\n%v", a, b)
			}
		}
		before := *instances[0].parts.revision
		exchangeParts(at(now), instances[1], instances[0])
		if *instances[0].parts.revision != before {
			t.Fatal("a report that is already known is a change")
		}
	})
}

// describe lists what is known of parts.
func describe(e *Evidence) []string {
	var out []string
	for c, x := range e.parts.crashes {
		for p, use := range x.parts {
			out = append(out, fmt.Sprint(c, x.at.Sub(epoch), x.isConfirmed, x.isVoid, p, use.isCleared))
		}
	}
	slices.Sort(out)
	return out
}

// Whatever else runs on the servers: requests with a part that crashes each of them reach at most
// three more later than 3 s after the fifth crash, and no other part is held back.
func TestCrashingPartIsFoundAmongBystanders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		guilty := []Part{900, 901}[:rapid.IntRange(1, 2).Draw(t, "guilty")]
		e := NewEvidence()
		now := 0
		crashes := make(map[Part]int)
		late := make(map[Part]int)
		fifth := make(map[Part]int)
		trials := Trials{Cycle: 4 * time.Second}
		mayRun := func(parts []Part) bool {
			if !isHeld(e, at(now), parts...) {
				return true
			}
			_, ok := e.TryPart(at(now), parts, trials)
			return ok
		}
		prompt := func() []Part {
			return []Part{1 + Part(rng.IntN(2)), 10 + Part(rng.IntN(20)), 100 + Part(rng.IntN(200))}
		}
		for i := range 200 {
			now += 100 + rng.IntN(900)
			g := guilty[rng.IntN(len(guilty))]
			bad := []Part{1 + Part(rng.IntN(2)), g, 100 + Part(rng.IntN(200))}
			if mayRun(bad) {
				prompts := [][]Part{bad}
				for range rng.IntN(20) {
					if p := prompt(); mayRun(p) {
						prompts = append(prompts, p)
					}
				}
				if crashes[g]++; crashes[g] == 5 {
					fifth[g] = now
				}
				if crashes[g] > 5 && now > fifth[g]+3000 {
					late[g]++
				}
				addPartCrash(e, at(now), fmt.Sprint("s", i), prompts...)
			}
			begun := now + 50
			for range 30 { // on the other servers
				if p := prompt(); mayRun(p) {
					e.ClearParts(at(begun), p)
				}
			}
		}
		for _, g := range guilty {
			if late[g] > 3 {
				t.Fatalf("part %v crashed %d servers, %d of them late", g, crashes[g], late[g])
			}
		}
		for p := Part(1); p < 30; p++ {
			if isHeld(e, at(now+2000), p) {
				t.Fatalf("part %v is held back", p)
			}
		}
	})
}

// Requests with ever other parts don't push a part out that crashes servers.
func TestPartEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	for i := range 4 {
		addPartCrash(e, at(1000*i), fmt.Sprint("s", i), []Part{9})
	}
	is.True(isHeld(e, at(4000), 9))
	for i := range 2 * maxPartCrashes {
		var parts []Part
		for n := range 2 * maxPartsPerCrash {
			parts = append(parts, Part(1000+i*1000+n))
		}
		addPartCrash(e, at(5000+i), fmt.Sprint("t", i), parts)
	}
	is.True(len(e.parts.crashes) <= maxPartCrashes)
	is.True(len(e.parts.parts) <= maxPartCrashes*maxPartsPerCrash)
	is.True(isHeld(e, at(6000), 9))
	reports, _ := e.PartsSince(0, false, 32)
	is.Equal(len(reports), 32)
}

func TestParsePart(t *testing.T) {
	is := is.New(t)
	is.Equal(ParsePart("5c1e07a2"), Part(0x5c1e07a2))
	is.Equal(ParsePart("5C1E07A2").String(), "5c1e07a2")
	is.True(ParsePart("0123456789abcdef0") != ParsePart("123456789abcdef1"))
	is.True(ParsePart("not hexadecimal") != ParsePart("nor this"))
}
