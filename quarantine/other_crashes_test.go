package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Guards against the incident BUDGET beside other trouble: a content that crashes each server that runs it
// is sent on and on while its crashes are only presumed and other servers crash as well. Its caller sends it
// again 500 ms after each crash; it may be sent three times later than 3 s after its third crash.
func TestContentIsHeldBackBesideOtherCrashes(t *testing.T) {
	const contactTime, allowed, never = 3 * time.Second, 3, time.Hour
	for name, test := range map[string]struct {
		confirmedAfter time.Duration // 0: at once
		othersEvery    time.Duration // other servers crash; 0: none
		companions     int           // contents that are part of each crash
	}{
		"alone":                                              {0, 0, 0},
		"alone, confirmed late":                              {4 * time.Second, 0, 0},
		"alone, never confirmed":                             {never, 0, 0},
		"others every 3 s":                                   {0, 3 * time.Second, 0},
		"others every 1 s":                                   {0, time.Second, 0},
		"others every 3 s, confirmed late":                   {4 * time.Second, 3 * time.Second, 0},
		"others every 1 s, confirmed late":                   {4 * time.Second, time.Second, 0},
		"others every 3 s, never confirmed":                  {never, 3 * time.Second, 0},
		"with two companions":                                {0, 0, 2},
		"with two companions, others every 1 s, late":        {4 * time.Second, time.Second, 2},
		"with two companions, others every 1 s, not at all":  {never, time.Second, 2},
		"with eight companions, others every 1 s, confirmed": {0, time.Second, 8},
	} {
		t.Run(name, func(t *testing.T) {
			a := &repeatedContent{evidence: NewEvidence(), confirmedAfter: test.confirmedAfter, companions: test.companions}
			lastOther := at(0)
			for ms := 0; ms < 120_000; ms += 50 {
				if now := at(ms); test.othersEvery > 0 && now.Sub(lastOther) >= test.othersEvery {
					lastOther = now
					a.evidence.AddServerCrash(now, crashOf(fmt.Sprint("other-", ms)))
				}
				a.step(at(ms))
			}
			late := 0
			for _, sent := range a.sent {
				if len(a.sent) > trialCrashes && sent.Sub(a.sent[trialCrashes-1]) > contactTime {
					late++
				}
			}
			if late > allowed {
				t.Errorf("sent %d times later than %v after its third crash, %d times in all; %d are allowed", late, contactTime, len(a.sent), allowed)
			}
		})
	}
}

// repeatedContent is a content that crashes each server that runs it and is sent again and again, as far as
// it may run.
type repeatedContent struct {
	evidence       *Evidence
	confirmedAfter time.Duration
	companions     int

	sent    []time.Time // each ends with a crash at once
	claim   uint64
	claims  uint64
	pending []ContentCrash // to be confirmed
}

func (a *repeatedContent) step(now time.Time) {
	for len(a.pending) > 0 && now.Sub(a.pending[0].At) >= a.confirmedAfter {
		a.evidence.ConfirmCrash(a.pending[0].Crash)
		a.pending = a.pending[1:]
	}
	if n := len(a.sent); n > 0 && now.Sub(a.sent[n-1]) < 500*time.Millisecond || !a.mayRun(now) {
		return
	}
	crash := crashOf(fmt.Sprint("s", len(a.sent)))
	a.sent = append(a.sent, now)
	for f := range Fingerprint(1 + a.companions) {
		a.evidence.AddContentCrash(now, 1+f, crash, a.confirmedAfter == 0)
	}
	if a.confirmedAfter > 0 {
		a.pending = append(a.pending, ContentCrash{Crash: crash, At: now})
	}
	if a.claim != 0 {
		a.evidence.EndTrial(now, 1, a.claim, false)
		a.claim = 0
	}
}

// mayRun reports whether the content may be sent now, and claims a trial if it needs one.
func (a *repeatedContent) mayRun(now time.Time) bool {
	if a.evidence.Check(now, 1) == Quarantined {
		return false
	}
	if !a.evidence.NeedsTrial(now, 1) {
		return true
	}
	if a.claim == 0 {
		a.claims++
		a.claim = a.claims
	}
	claim, _ := a.evidence.ClaimTrial(now, 1, a.claim)
	if claim == ClaimDenied {
		a.claim = 0
	}
	return claim == ClaimHolds && a.evidence.BeginTrial(now, 1, a.claim)
}
