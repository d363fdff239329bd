package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// newSharedSuspects returns evidence of a content with crashes that another one shares.
func newSharedSuspects(crashes int) *Evidence {
	e := NewEvidence()
	for i := range crashes {
		addCrash(e, at(i), fmt.Sprint("s", i), 1, 2)
	}
	return e
}

func TestTrialIsClaimedBeforeItBegins(t *testing.T) {
	is := is.New(t)
	e := newSharedSuspects(trialCrashes)
	is.True(e.NeedsTrial(at(10), 1))
	claim, next := e.ClaimTrial(at(10), 1, 7)
	is.Equal(claim, ClaimPending) // others may not have heard of the crash yet
	claim, next = e.ClaimTrial(next, 1, 7)
	is.Equal(claim, ClaimPending)
	is.True(!e.BeginTrial(next.Add(-1), 1, 7))
	claim, _ = e.ClaimTrial(next, 1, 7)
	is.Equal(claim, ClaimHolds)
	is.True(e.BeginTrial(next, 1, 7))
	is.True(!e.BeginTrial(next, 1, 7)) // a trial is a single send
}

func TestContentThatWasServedInATrialIsClear(t *testing.T) {
	is := is.New(t)
	e := newSharedSuspects(trialCrashes)
	for _, id := range []uint64{7, 8} {
		runTrial(is, e, at(10_000*int(id)), id)
		e.EndTrial(at(10_000*int(id)+2000), 1, id, false)
	}
	is.Equal(e.Check(at(90_000), 1), Quarantined)
	e.Absolve(1)
	is.Equal(e.Check(at(90_001), 1), Clear)
	is.True(!e.NeedsTrial(at(90_001), 1))
}

// runTrial claims and begins a trial of content 1.
func runTrial(is *is.I, e *Evidence, now time.Time, id uint64) {
	is.Helper()
	_, next := e.ClaimTrial(now, 1, id)
	claim, _ := e.ClaimTrial(next, 1, id)
	is.Equal(claim, ClaimHolds)
	is.True(e.BeginTrial(next, 1, id))
}

// A trial whose server was crashed by a content that is in quarantine since is followed by another.
func TestTrialBesideAGuiltyContentIsRepeated(t *testing.T) {
	is := is.New(t)
	e := newSharedSuspects(trialCrashes)
	for _, id := range []uint64{7, 8} {
		now := at(10_000 * int(id))
		runTrial(is, e, now, id)
		addCrash(e, now.Add(time.Second), fmt.Sprint("t", id), 1, 2)
		e.EndTrial(now.Add(time.Second), 1, id, false)
	}
	is.Equal(e.Check(at(90_000), 1), Quarantined)
	for i := range quarantineCrashes {
		addCrash(e, at(90_000+i), fmt.Sprint("u", i), 2)
	}
	is.Equal(e.Check(at(91_000), 2), Quarantined)
	is.True(e.Check(at(91_000), 1) != Quarantined)
	runTrial(is, e, at(92_000), 9)
	e.EndTrial(at(93_000), 1, 9, false)
	is.Equal(e.Check(at(94_000), 1), Quarantined)
}

// Instances that hear of each other within half of claimDelay send a content maxSentTrials times at
// most, however many of them try it, in whatever order and for how long.
func TestTrialsOfAllInstancesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick = 50 * time.Millisecond
		instances := make([]*Evidence, rapid.IntRange(2, 6).Draw(t, "instances"))
		claims := make([]uint64, len(instances))
		for i := range instances {
			instances[i] = newSharedSuspects(trialCrashes)
		}
		type message struct {
			due     time.Time
			to      int
			reports []ContentReport
		}
		var messages []message
		sends := 0
		isRejected := rapid.Bool().Draw(t, "servers reject the content")
		for step := range 160 {
			now := at(1000).Add(time.Duration(step) * tick)
			messages = slices.DeleteFunc(messages, func(m message) bool {
				if m.due.After(now) {
					return false
				}
				for _, r := range m.reports {
					instances[m.to].Merge(now, r)
				}
				return true
			})
			for i, e := range instances {
				before := e.Revision()
				if rapid.IntRange(0, 3).Draw(t, "asks") > 0 && e.Check(now, 1) != Quarantined {
					if claims[i] == 0 {
						claims[i] = 8*rapid.Uint64Range(1, 1<<40).Draw(t, "id") + uint64(i)
					}
					switch claim, _ := e.ClaimTrial(now, 1, claims[i]); claim {
					case ClaimDenied:
						claims[i] = 0
					case ClaimHolds:
						if e.BeginTrial(now, 1, claims[i]) {
							sends++
							if !isRejected {
								addCrash(e, now, fmt.Sprint("trial-", sends), 1)
							}
							e.EndTrial(now, 1, claims[i], isRejected)
						}
						claims[i] = 0
					}
				}
				if e.Revision() == before {
					continue
				}
				reports, _ := e.Since(0, false, maxContents)
				for to := range instances {
					due := now.Add(time.Duration(rapid.IntRange(1, int(claimDelay/2-tick)/1e6).Draw(t, "delay")) * time.Millisecond)
					messages = append(messages, message{due: due, to: to, reports: reports})
				}
			}
		}
		if sends > maxSentTrials {
			t.Fatalf("the content was sent %d times in trials", sends)
		}
	})
}

// Guards against a trial whose instance ends before it can report what became of it: the content is sent
// again once the crash is known, and not much later if there was none.
func TestTrialOfAnInstanceThatEndsBlocksNoOther(t *testing.T) {
	for name, hasCrashed := range map[string]bool{"crash": true, "no crash": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newSharedSuspects(trialCrashes)
			runTrial(is, e, at(1000), 7)
			claim, _ := e.ClaimTrial(at(1700), 1, 8)
			is.Equal(claim, ClaimDenied)
			now := at(1000).Add(trialLifetime)
			if hasCrashed {
				addCrash(e, at(1800), "t", 1)
				now = at(1800).Add(crashNotice)
			}
			runTrial(is, e, now, 9)
		})
	}
}
